"""``papayagw config submit``: make a site's files the next version."""

import getpass
import secrets
from collections.abc import Callable
from random import Random

import anyio

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.platform_access import open_store
from papayagw._internal.cli.site_files import read_site
from papayagw._internal.cli.values import FlagList, read_integer, split_list
from papayagw._internal.core.submission import (
    Accepted,
    Outcome,
    Proposal,
    Refused,
    Unknown,
)
from papayagw._internal.models.clock import Millis
from papayagw._internal.net.submission import submit

DEFAULT_LIMIT_MS = 15_000
_ID_BYTES = 16


class ConfigSubmitCommand:
    """Submit a base file and an overlay."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return submit_config


def submit_config(
    base: str,
    overlay: str | None = None,
    platform: FlagList = (),
    expect_version: int | None = None,
    allow_breaking: bool = False,
    operator: str = "",
    limit_ms: int = DEFAULT_LIMIT_MS,
) -> int:
    """Check the files and make them the next version, or say why not.

    Exit codes: 0 accepted, 1 refused, 2 a file can't be used, 3 unknown: the change
    may be in force now or later, so look at `papayagw config status`.

    Parameters
    ----------
    base : str
        The base file.
    overlay : str
        The overlay of one site.
    platform : list of str
        URLs of the platform's service, tried in turn.
    expect_version : int
        The version that you saw; another one in force is refused. Without it the
        change goes on top of whatever is in force.
    allow_breaking : bool
        Accept a change that breaks established flows.
    operator : str
        Who submits; your login name without it.
    limit_ms : int
        How long to go on where the platform gives no answer.
    """
    proposal = Proposal(
        site=read_site(base, overlay),
        submission_id=secrets.token_hex(_ID_BYTES),
        operator=operator or getpass.getuser(),
        expected_version=_read_version(expect_version),
        allows_breaking=allow_breaking is True,
    )
    limit = Millis(read_integer(limit_ms, "limit_ms"))
    outcome = anyio.run(_submit, split_list(platform), proposal, limit)
    print(_describe(outcome, proposal))
    return _EXIT_CODES[type(outcome)]


_EXIT_CODES = {
    Accepted: ExitCode.OK,
    Refused: ExitCode.REFUSED,
    Unknown: ExitCode.UNKNOWN,
}


def _read_version(value: int | None) -> int | None:
    return None if value is None else read_integer(value, "expect_version")


async def _submit(
    urls: tuple[str, ...], proposal: Proposal, limit_ms: Millis
) -> Outcome:
    async with open_store(urls, proposal.site.name) as store:
        return await submit(store, proposal, limit_ms, Random())


def _describe(outcome: Outcome, proposal: Proposal) -> str:
    match outcome:
        case Accepted(version):
            return f"accepted: version {version} of {proposal.site.name}"
        case Refused(reason):
            return f"refused: {reason}"
        case Unknown(reason):
            return f"unknown: {reason}; submission {proposal.submission_id}"


COMMAND = ConfigSubmitCommand()
