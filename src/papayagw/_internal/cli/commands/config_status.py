"""``papayagw config status``: the configuration version in force."""

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
_MAX_SHOWN_SUBMISSIONS = 5


@dataclass(frozen=True, slots=True)
class NodeVersion:
    """Configuration version in force at a node.

    Attributes
    ----------
    node : str
        Admin address of the node.
    version : int or None
        The version, or None if the node didn't respond.
    """

    node: str
    version: int | None


class ConfigStatusCommand:
    """Show the configuration version in force at the platform and at nodes."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return show_status


def show_status(
    site: str, platform: FlagList = (), nodes: FlagList = (), json: bool = False
) -> int:
    """Show the configuration version in force at the platform and at each node.

    Exit codes: 0 all versions are the same, 1 a node has another version or doesn't
    respond, 4 the platform doesn't respond or has no configuration.

    Parameters
    ----------
    site : str
        Name of the site.
    platform : list of str
        URLs of the platform, tried in turn.
    nodes : list of str
        Admin addresses of nodes, as ip:port, separated by commas.
    json : bool
        Print JSON instead of a table.
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
    shown = configuration.history[:_MAX_SHOWN_SUBMISSIONS]
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
