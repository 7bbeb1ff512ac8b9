"""``papayagw config status``: the version in force at the platform and balancers."""

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass

import anyio
import httpx

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.platform_access import read_in_force
from papayagw._internal.cli.values import FlagList, split_list
from papayagw._internal.models.configuration import Configuration

_TIMEOUT_S = 2.0
_SHOWN_SUBMISSIONS = 5


@dataclass(frozen=True, slots=True)
class NodeVersion:
    """The version in force at one process.

    Attributes
    ----------
    node : str
        Where the process serves its status.
    version : int or None
        The version, or None if the process gave no answer.
    """

    node: str
    version: int | None


class ConfigStatusCommand:
    """Show the version in force."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return show_status


def show_status(
    site: str, platform: FlagList = (), nodes: FlagList = (), json: bool = False
) -> int:
    """Show the version that the platform holds and the one at each process.

    Exit codes: 0 all hold the same version, 1 one differs or gave no answer, 4 the
    platform gave no answer.

    Parameters
    ----------
    site : str
        The name of the site.
    platform : list of str
        URLs of the platform's service, tried in turn.
    nodes : list of str
        Admin addresses of processes, as ip:port with commas between them.
    json : bool
        Print JSON in place of a table.
    """
    return anyio.run(_show, site, split_list(platform), split_list(nodes), json)


async def _show(
    site: str, urls: tuple[str, ...], nodes: tuple[str, ...], as_json: bool
) -> int:
    configuration = await read_in_force(urls, site)
    versions = await _query_nodes(nodes)
    print(_format(configuration, versions, as_json))
    all_agree = all(node.version == configuration.version for node in versions)
    return ExitCode.OK if all_agree else ExitCode.REFUSED


async def _query_nodes(nodes: tuple[str, ...]) -> list[NodeVersion]:
    versions: dict[str, int | None] = {}

    async def query(client: httpx.AsyncClient, node: str) -> None:
        try:
            status = (await client.get(f"http://{node}/status")).json()
            versions[node] = int(status["configuration_version"])
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            versions[node] = None

    async with (
        httpx.AsyncClient(trust_env=False, timeout=_TIMEOUT_S) as client,
        anyio.create_task_group() as tasks,
    ):
        for node in nodes:
            tasks.start_soon(query, client, node)
    return [NodeVersion(node, versions[node]) for node in nodes]


def _format(
    configuration: Configuration, versions: list[NodeVersion], as_json: bool
) -> str:
    shown = configuration.history[:_SHOWN_SUBMISSIONS]
    if as_json:
        content = {
            "site": configuration.site.name,
            "version": configuration.version,
            "history": [asdict(item) for item in shown],
            "nodes": [asdict(node) for node in versions],
        }
        return json.dumps(content)
    lines = [f"{configuration.site.name}: version {configuration.version}"]
    lines += [
        f"  version {item.version} by {item.operator}, submission {item.submission_id}"
        for item in shown
    ]
    lines += [f"  {node.node:24} {_format_version(node.version)}" for node in versions]
    return "\n".join(lines)


def _format_version(version: int | None) -> str:
    return "no answer" if version is None else f"version {version}"


COMMAND = ConfigStatusCommand()
