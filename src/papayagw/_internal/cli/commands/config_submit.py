"""``papayagw config submit``: submit a site's files as the next version."""

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
    """Submit a base file and an overlay as the next configuration version."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
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
    """Validate the files and submit them as the next configuration version.

    Exit codes: 0 accepted, 1 refused, 2 a file or the command line is invalid, 3
    unknown: the change may take effect now or later, so check with `papayagw config
    status`.

    Parameters
    ----------
    base : str
        Base file of the site.
    overlay : str
        Overlay of the site.
    platform : list of str
        URLs of the platform, tried in turn.
    expect_version : int
        Refuse the change unless this version is in force. Without it, the change is
        applied to whichever version is in force.
    allow_breaking : bool
        Allow a change that breaks established flows.
    operator : str
        Name recorded with the submission; defaults to your login name.
    limit_ms : int
        Time limit of the submission in milliseconds, including retries while the
        platform doesn't respond.
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
