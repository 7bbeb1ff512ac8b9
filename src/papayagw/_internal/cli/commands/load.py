"""``papayagw load``: the load generator."""

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
    """Generate load on a site."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
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
    """Start requests at random times fixed by the seed, and report their outcomes.

    Latency is measured from the scheduled start of a request, so that the delays of
    a slow system are included. The exit code is 1 if any request was broken,
    crossed, doubled or answered with wrong bytes, or if the journals contradict
    an outcome.

    Parameters
    ----------
    profile : str
        Workload: valukoja or norrbo.
    targets : list of str
        Target endpoint of each service: order=127.0.4.1:7001,drawings=...
    rate : float
        Requests per second, summed over all kinds.
    seconds : float
        Time during which requests are started.
    seed : int
        Seed of the arrival times; the same seed gives the same arrivals.
    timeout_ms : int
        Time limit for the response to a request, in milliseconds.
    max_open : int
        Maximum number of open requests; further ones are counted but not sent.
    feed_lines : int
        Number of lines of a feed or stream; one is sent every 200 ms.
    backends : list of str
        Backend servers whose journals are read after the run, as ip:port.
    run_id : str
        Prefix of the request ids; use a new one for each run.
    as_json : bool
        Print JSON instead of a table.
    """
    if profile not in PROFILES:
        raise _usage_error(
            f"unknown profile {profile!r}", f"one of {', '.join(PROFILES)}"
        )
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
            raise _usage_error(
                f"unknown service {service!r}", f"one of {names}"
            ) from None
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
