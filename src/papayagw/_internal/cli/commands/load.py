"""``papayagw load``: the load tool."""

from collections.abc import Callable, Mapping

import anyio

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.values import FlagList, split_list
from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.load.profiles import DEFAULT_FEED_LINES, PROFILES
from papayagw._internal.load.run import LoadPlan, LoadRun, check_targets
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.workload import BackendKind

DEFAULT_TIMEOUT_MS = Millis(10_000)


class LoadCommand:
    """Put load on a site."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return run_load


def run_load(
    profile: str,
    targets: FlagList,
    rate: float = 50.0,
    seconds: float = 10.0,
    seed: int = 1,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    max_open: int = 2_000,
    feed_lines: int = DEFAULT_FEED_LINES,
    backends: FlagList = "",
    run_id: str = "load",
    as_json: bool = False,
) -> int:
    """Start requests at fixed random times, and report how they ended.

    Latency counts from the time at which a request was due, so that a slow
    system can't hide its delays. The exit code is 1 if any request was broken,
    crossed, doubled or came back with wrong bytes.

    Parameters
    ----------
    profile : str
        The workload: valukoja or norrbo.
    targets : list of str
        Where each service's requests go: order=127.0.4.1:7001,drawings=...
    rate : float
        Requests a second, all kinds together.
    seconds : float
        How long requests are started.
    seed : int
        The same seed gives the same arrivals.
    timeout_ms : int
        How long a caller waits for an answer, in milliseconds.
    max_open : int
        Requests beyond these aren't sent, and are counted.
    feed_lines : int
        How many lines a feed or stream has; there is one each 200 ms.
    backends : list of str
        Backend servers whose journals are read at the end, as ip:port.
    run_id : str
        The start of each request's id; use a new one for each run.
    as_json : bool
        Print JSON in place of the table.
    """
    if profile not in PROFILES:
        raise _usage_error(f"no profile {profile!r}", f"one of {', '.join(PROFILES)}")
    plan = LoadPlan(
        workload=PROFILES[profile](feed_lines),
        targets=_read_targets(split_list(targets)),
        rate=float(rate),
        duration=Millis(round(float(seconds) * MILLIS_PER_SECOND)),
        timeout=Millis(timeout_ms),
        max_open=max_open,
        seed=seed,
        run_id=str(run_id),
        backends=tuple(_read_endpoint(backend) for backend in split_list(backends)),
    )
    check_targets(plan)
    report = anyio.run(LoadRun(plan).run)
    print(report.format_json() if as_json else report.format_table())
    return ExitCode.REFUSED if report.has_faults else ExitCode.OK


def _read_targets(words: tuple[str, ...]) -> Mapping[BackendKind, Endpoint]:
    targets = {}
    for word in words:
        service, _, endpoint = word.partition("=")
        try:
            kind = BackendKind(service)
        except ValueError:
            names = ", ".join(kind.value for kind in BackendKind)
            raise _usage_error(f"no service {service!r}", f"one of {names}") from None
        targets[kind] = _read_endpoint(endpoint)
    return targets


def _read_endpoint(text: str) -> Endpoint:
    try:
        return Endpoint.parse(text)
    except ValueError as error:
        raise _usage_error(str(error), "see --help") from None


def _usage_error(what: str, remedy: str) -> SettingsError:
    return SettingsError(what, step=Step.SETTINGS, remedy=remedy)


COMMAND = LoadCommand()
