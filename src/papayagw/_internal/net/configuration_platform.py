"""Configuration source that uses the platform's service and peers.

A few relays in each zone watch the service. All other nodes learn of a new version
from the control messages that nodes exchange anyway, and fetch the changes from the
node that advertised it. While the service is down, nodes keep the configuration in
force.
"""

from collections.abc import Callable, Sequence
from random import Random

import anyio
from returns.result import Failure, Result, Success

from papayagw._internal.core.backoff import Backoff
from papayagw._internal.core.configuration import ConfigurationLog, VersionOrder
from papayagw._internal.exceptions import PapayagwError, PlatformError, Step
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.configuration import IsRelay, OnChange
from papayagw._internal.net.configuration_peer import (
    ConfigurationServer,
    PeerConfigurationSource,
)
from papayagw._internal.net.configuration_store import (
    ConfigurationStore,
    StoredConfiguration,
    StoreError,
)
from papayagw._internal.store.protocol import ABSENT_REVISION

WATCH_LIMIT_MS = Millis(60_000)
"""Time for which the store is watched between two reads of the configuration."""

WATCH_RENEWAL_MS = Millis(2_500)
"""Duration of one watch call; a watch that was lost without an error ends after it.

A change must be in force everywhere within 4 s.
"""

FIRST_WATCH_LIMIT_MS = Millis(5_000)
"""Limit of the first watch, which is short.

A node that has just started may not know yet that other nodes are the relays.
"""

WATCH_JITTER_SHARE = 0.2
"""Share of its duration by which a watch may be longer or shorter."""

RELAY_CHECK_MS = Millis(1_000)
MAX_FETCH_BACKOFF_MS = Millis(1_000)

_PLATFORM = "platform"


class PlatformConfigurationSource:
    """Configuration from the platform's service and from peers.

    Parameters
    ----------
    store : ConfigurationStore
        The site's configuration in the platform's service.
    log : ConfigurationLog
        Configuration in force at this node, shared with `server`.
    peers : PeerConfigurationSource
        Client that fetches configurations from peers.
    server : ConfigurationServer
        Replies to queries of peers while this source runs.
    seeds : sequence of Endpoint
        Peers that are queried at the start.
    on_failure : callable
        Called with each error that is to be logged.
    random : Random
        Random generator for the jitter.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        log: ConfigurationLog,
        peers: PeerConfigurationSource,
        *,
        server: ConfigurationServer,
        seeds: Sequence[Endpoint] = (),
        on_failure: Callable[[PapayagwError], None] = lambda _: None,
        random: Random | None = None,
    ):
        self._store = store
        self._log = log
        self._peers = peers
        self._seeds = tuple(seeds)
        self._server = server
        self._on_failure = on_failure
        self._random = random or Random()
        self._on_change: OnChange = lambda _: None
        self._failing_sources: set[str] = set()
        self._advertised: tuple[int, Endpoint] | None = None
        self._advertised_event = anyio.Event()

    @property
    def log(self) -> ConfigurationLog:
        """Configuration in force at this node."""
        return self._log

    async def start(self) -> Configuration:
        """Return the newest configuration of the service and the seeds.

        Retry until there is one. The seeds are queried even if the service responds,
        because the service may have been restored from an older copy. The connections
        are closed afterwards, so that `run` may use another event loop.
        """
        backoff = Backoff(self._random)
        while True:
            failures: list[PapayagwError] = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read_store)
                for seed in self._seeds:
                    tasks.start_soon(self._fetch_from, seed, failures.append)
            if self._log.current is not None:
                await self._store.close()
                self._server.start()
                return self._log.current
            # An unresponsive seed matters only if no other source has a configuration.
            for failure in failures:
                self._report_peer_failure(failure)
            await anyio.sleep(to_seconds(backoff.next_wait()))

    async def run(self, on_change: OnChange, is_relay: IsRelay) -> None:
        """Call `on_change` with each later configuration, until cancelled."""
        self._on_change = on_change
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._server.run)
            tasks.start_soon(self._watch_store, is_relay)
            tasks.start_soon(self._fetch_advertised_versions)

    async def close(self) -> None:
        """Stop the server and close all connections."""
        self._server.close()
        await self._store.close()

    def on_advertised_version(self, version: int, peer: Endpoint) -> None:
        """Schedule a fetch from `peer` if the `version` that it advertises is newer."""
        if version <= self._log.version:
            return
        if self._advertised is None or version > self._advertised[0]:
            self._advertised = (version, peer)
            self._advertised_event.set()

    async def _watch_store(self, is_relay: IsRelay) -> None:
        backoff = Backoff(self._random)
        limit_ms = FIRST_WATCH_LIMIT_MS
        while True:
            if not is_relay():
                await anyio.sleep(self._random.random() * to_seconds(RELAY_CHECK_MS))
            elif await self._watch_once(self._add_jitter(limit_ms)):
                limit_ms = WATCH_LIMIT_MS
                backoff.reset()
            else:
                await anyio.sleep(to_seconds(backoff.next_wait()))

    def _add_jitter(self, limit_ms: Millis) -> Millis:
        spread = self._random.uniform(-WATCH_JITTER_SHARE, WATCH_JITTER_SHARE)
        return Millis(round(limit_ms * (1 + spread)))

    async def _watch_once(self, limit_ms: Millis) -> bool:
        """Read the store and watch it for `limit_ms`; return whether that succeeded.

        The watch is renewed every `WATCH_RENEWAL_MS`, each time from the last revision.
        """
        stored = await self._read_store()
        if stored is None or not await self._restore_lost_version(stored):
            return False
        revision = stored.store_revision
        end = anyio.current_time() + to_seconds(limit_ms)
        while anyio.current_time() < end:
            renewal_at = anyio.current_time() + to_seconds(WATCH_RENEWAL_MS)
            watched = await self._store.watch(
                revision, self._handle_stored, WATCH_RENEWAL_MS
            )
            if isinstance(watched, Failure):
                self._report_failure(watched.failure())
                return False
            previous, revision = revision, watched.unwrap()
            if revision < previous or anyio.current_time() < renewal_at:
                # The store was restored from an older copy, or ended the watch.
                return True
        return True

    async def _read_store(self) -> StoredConfiguration | None:
        result = await self._store.read()
        if isinstance(result, Failure):
            self._report_failure(result.failure())
            return None
        self._failing_sources.discard(_PLATFORM)
        stored = result.unwrap()
        self._handle_stored(Success(stored.configuration))
        return stored

    async def _restore_lost_version(self, stored: StoredConfiguration) -> bool:
        """Write the configuration in force back if the store has lost it.

        That is the case if the store holds an older one or none. Return False if the
        store has to be read again.
        """
        current = self._log.current
        stored_configuration = stored.configuration
        if current is None or (
            stored_configuration is not None
            and stored_configuration.version >= current.version
        ):
            return True
        expected_revision = (
            stored.key_revision if stored_configuration is not None else ABSENT_REVISION
        )
        result = await self._store.swap(current, expected_revision)
        if isinstance(result, Failure):
            self._report_failure(result.failure())
        return False

    async def _fetch_advertised_versions(self) -> None:
        backoff = Backoff(self._random, max_ms=MAX_FETCH_BACKOFF_MS)
        while True:
            await self._advertised_event.wait()
            self._advertised_event = anyio.Event()
            advertised, self._advertised = self._advertised, None
            if advertised is None or advertised[0] <= self._log.version:
                continue
            if await self._fetch_from(advertised[1], self._report_peer_failure):
                backoff.reset()
            else:
                await anyio.sleep(to_seconds(backoff.next_wait()))

    async def _fetch_from(
        self, peer: Endpoint, on_failure: Callable[[PapayagwError], None]
    ) -> bool:
        """Fetch and apply a newer configuration; return False if the fetch failed."""
        result = await self._peers.fetch(peer)
        if isinstance(result, Failure):
            on_failure(result.failure())
            return False
        self._failing_sources.discard(str(peer))
        configuration = result.unwrap()
        if configuration is not None:
            self._apply(configuration, str(peer))
        return True

    def _report_peer_failure(self, error: PapayagwError) -> None:
        self._report_failure(error, error.peer)

    def _report_failure(self, error: PapayagwError, peer: str = _PLATFORM) -> None:
        """Report only the first of consecutive failures of `peer`."""
        if peer not in self._failing_sources:
            self._failing_sources.add(peer)
            self._on_failure(error)

    def _handle_stored(self, result: Result[Configuration | None, StoreError]) -> None:
        if isinstance(result, Failure):
            self._on_failure(result.failure())
            return
        configuration = result.unwrap()
        if configuration is not None:
            self._apply(configuration, _PLATFORM)

    def _apply(self, configuration: Configuration, peer: str) -> None:
        order = self._log.apply_if_newer(configuration)
        if order is VersionOrder.NEWER:
            assert self._log.current is not None
            self._on_change(self._log.current)
        elif order in (VersionOrder.OLDER, VersionOrder.FORKED):
            self._on_failure(
                _make_refusal(configuration, self._log.version, order, peer)
            )


def _make_refusal(
    configuration: Configuration, version: int, order: VersionOrder, peer: str
) -> PlatformError:
    if order is VersionOrder.FORKED:
        what = f"version {version} of another submission than the one in force"
        remedy = "see config status and submit the missing change again"
    else:
        what = f"version {configuration.version}, older than {version} in force"
        remedy = (
            "the newer version is written back; find out why the service was restored"
        )
    return PlatformError(
        f"refused {what}", step=Step.PLATFORM, peer=peer, remedy=remedy
    )
