"""Daemon with an admin endpoint, metrics and lifecycle logs."""

from collections.abc import Iterator

import anyio

from papayagw._internal.models.clock import to_seconds
from papayagw._internal.models.settings import ProcessSettings
from papayagw._internal.models.status import NodeState, StatusReport
from papayagw._internal.net.account import Account
from papayagw._internal.net.admin import AdminServer
from papayagw._internal.net.daemon import Daemon
from papayagw._internal.net.metrics_timer import FLUSH_INTERVAL_MS, MetricsTimer
from papayagw._internal.observe.logs import Log
from papayagw._internal.observe.metrics import StatsdMetrics


class ObservedDaemon:
    """Runs a daemon with its admin endpoint, its metrics and its lifecycle logs.

    Parameters
    ----------
    daemon : Daemon
        Daemon to run.
    account : Account
        Source of its status report and metrics.
    settings : ProcessSettings
        Addresses of the admin endpoint and of statsd; both are optional.
    log : Log
        Log for the start, the stop and configuration changes.
    """

    def __init__(
        self, daemon: Daemon, account: Account, settings: ProcessSettings, log: Log
    ):
        self._daemon = daemon
        self._account = account
        self._log = log
        self._state = NodeState.STARTING
        self._observers = tuple(self._make_observers(settings))

    def start(self) -> None:
        """Bind the sockets; an error here ends the process at once."""
        self._daemon.start()
        for observer in self._observers:
            observer.start()
        self._state = NodeState.READY
        self._log.info("started", **self._make_log_fields())

    def close(self) -> None:
        """Close the sockets."""
        self._daemon.close()
        for observer in self._observers:
            observer.close()
        self._log.info("stopped", **self._make_log_fields())

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            for observer in self._observers:
                tasks.start_soon(observer.run)
            tasks.start_soon(self._log_periodically)
            await self._daemon.run()

    async def drain(self) -> None:
        """Drain the daemon for a graceful shutdown, and return when it is done."""
        self._state = NodeState.DRAINING
        self._log.info("draining", **self._make_log_fields())
        await self._daemon.drain()
        self._log.info("drained", **self._make_log_fields())

    async def _log_periodically(self) -> None:
        version = self._account.configuration_version
        while True:
            await anyio.sleep(to_seconds(FLUSH_INTERVAL_MS))
            self._log.flush_suppressed()
            if self._account.configuration_version != version:
                version = self._account.configuration_version
                self._log.info("configuration in force", configuration_version=version)

    def _make_observers(
        self, settings: ProcessSettings
    ) -> Iterator[AdminServer | MetricsTimer]:
        if settings.admin is not None:
            yield AdminServer(settings.admin, self._report, self._log)
        if settings.statsd is not None:
            yield MetricsTimer(StatsdMetrics(settings.statsd), self._account)

    def _report(self) -> StatusReport:
        return self._account.report(self._state)

    def _make_log_fields(self) -> dict[str, object]:
        report = self._report()
        return {
            "role": report.role,
            "configuration_version": report.configuration_version,
            "flows": report.flows_open,
        }
