"""The configuration from the platform's service and from peers.

A few relays of each zone watch the service; every other node hears of a version on
the messages that nodes exchange anyway and fetches what changed from the node that
told it. While the service is down, nodes go on with what they hold.
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
    Stored,
    StoreError,
)
from papayagw._internal.store.protocol import ABSENT_REVISION

WATCH_LIMIT_MS = Millis(60_000)
"""A watch that died without notice is noticed after this time."""

FIRST_WATCH_LIMIT_MS = Millis(5_000)
"""A node that has just started may not know yet that others are relays."""

WATCH_JITTER = 0.2
"""By which share a watch may be longer or shorter."""

RELAY_CHECK_MS = Millis(1_000)
LONGEST_FETCH_WAIT_MS = Millis(1_000)

_PLATFORM = "platform"


class PlatformConfigurationSource:
    """The platform's service, and peers beside it.

    Parameters
    ----------
    store : ConfigurationStore
        The site's configuration in the service.
    log : ConfigurationLog
        What this node has in force, shared with the server for peers.
    peers : PeerConfigurationSource
        How peers are asked.
    server : ConfigurationServer
        Answers peers while this source runs.
    seeds : sequence of Endpoint
        Peers that are asked at the start.
    on_failure : callable
        Takes each error, for the log.
    random : Random
        The source of the jitter.
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
        self._silent: set[str] = set()
        self._rumour: tuple[int, Endpoint] | None = None
        self._rumoured = anyio.Event()

    @property
    def log(self) -> ConfigurationLog:
        """What this node has in force."""
        return self._log

    async def start(self) -> Configuration:
        """Return the newest configuration of the service and the seeds.

        The seeds are asked even if the service answers: it may have been restored
        from an older copy. The connections of the start aren't kept, so that `run`
        may be on a later loop.
        """
        backoff = Backoff(self._random)
        while True:
            failures: list[PapayagwError] = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read)
                for seed in self._seeds:
                    tasks.start_soon(self._fetch, seed, failures.append)
            if self._log.current is not None:
                await self._store.close()
                self._server.start()
                return self._log.current
            # A silent seed matters only where nothing else answers.
            for failure in failures:
                self._report_peer(failure)
            await anyio.sleep(to_seconds(backoff.next_wait()))

    async def run(self, on_change: OnChange, is_relay: IsRelay) -> None:
        """Call `on_change` with each later configuration, until cancelled."""
        self._on_change = on_change
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._server.run)
            tasks.start_soon(self._follow_store, is_relay)
            tasks.start_soon(self._follow_rumours)

    async def close(self) -> None:
        """Close the connections."""
        self._server.close()
        await self._store.close()

    def hear_version(self, version: int, peer: Endpoint) -> None:
        """Take in that `peer` has `version` in force, as its messages say."""
        if version <= self._log.version:
            return
        if self._rumour is None or version > self._rumour[0]:
            self._rumour = (version, peer)
            self._rumoured.set()

    async def _follow_store(self, is_relay: IsRelay) -> None:
        backoff = Backoff(self._random)
        limit_ms = FIRST_WATCH_LIMIT_MS
        while True:
            if not is_relay():
                await anyio.sleep(self._random.random() * to_seconds(RELAY_CHECK_MS))
            elif await self._watch(self._jitter(limit_ms)):
                limit_ms = WATCH_LIMIT_MS
                backoff.reset()
            else:
                await anyio.sleep(to_seconds(backoff.next_wait()))

    def _jitter(self, limit_ms: Millis) -> Millis:
        spread = self._random.uniform(-WATCH_JITTER, WATCH_JITTER)
        return Millis(round(limit_ms * (1 + spread)))

    async def _watch(self, limit_ms: Millis) -> bool:
        """Read the store, then watch it for a while; return whether it answered."""
        stored = await self._read()
        if stored is None or not await self._mend(stored):
            return False
        heard = await self._store.watch(
            stored.store_revision, self._take_answer, limit_ms
        )
        if isinstance(heard, Failure):
            self._report(heard.failure())
            return False
        return True

    async def _read(self) -> Stored | None:
        answer = await self._store.read()
        if isinstance(answer, Failure):
            self._report(answer.failure())
            return None
        self._silent.discard(_PLATFORM)
        stored = answer.unwrap()
        self._take_answer(Success(stored.configuration))
        return stored

    async def _mend(self, stored: Stored) -> bool:
        """Put back what is in force if the store has lost it.

        Returns False where the store has to be read again.
        """
        current = self._log.current
        held = stored.configuration
        if current is None or (held is not None and held.version >= current.version):
            return True
        expected = stored.key_revision if held is not None else ABSENT_REVISION
        answer = await self._store.swap(current, expected)
        if isinstance(answer, Failure):
            self._report(answer.failure())
        return False

    async def _follow_rumours(self) -> None:
        backoff = Backoff(self._random, max_ms=LONGEST_FETCH_WAIT_MS)
        while True:
            await self._rumoured.wait()
            self._rumoured = anyio.Event()
            rumour, self._rumour = self._rumour, None
            if rumour is None or rumour[0] <= self._log.version:
                continue
            if await self._fetch(rumour[1], self._report_peer):
                backoff.reset()
            else:
                await anyio.sleep(to_seconds(backoff.next_wait()))

    async def _fetch(
        self, peer: Endpoint, on_failure: Callable[[PapayagwError], None]
    ) -> bool:
        answer = await self._peers.fetch(peer)
        if isinstance(answer, Failure):
            on_failure(answer.failure())
            return False
        self._silent.discard(str(peer))
        configuration = answer.unwrap()
        if configuration is not None:
            self._take(configuration, str(peer))
        return True

    def _report_peer(self, error: PapayagwError) -> None:
        self._report(error, error.peer)

    def _report(self, error: PapayagwError, peer: str = _PLATFORM) -> None:
        """Report the first failure of each row, not those of the tries after it."""
        if peer not in self._silent:
            self._silent.add(peer)
            self._on_failure(error)

    def _take_answer(self, answer: Result[Configuration | None, StoreError]) -> None:
        if isinstance(answer, Failure):
            self._on_failure(answer.failure())
            return
        configuration = answer.unwrap()
        if configuration is not None:
            self._take(configuration, _PLATFORM)

    def _take(self, configuration: Configuration, peer: str) -> None:
        offer = self._log.apply_if_newer(configuration)
        if offer is VersionOrder.NEWER:
            assert self._log.current is not None
            self._on_change(self._log.current)
        elif offer in (VersionOrder.OLDER, VersionOrder.FORKED):
            self._on_failure(_refuse(configuration, self._log.version, offer, peer))


def _refuse(
    configuration: Configuration, version: int, offer: VersionOrder, peer: str
) -> PlatformError:
    if offer is VersionOrder.FORKED:
        what = f"version {version} of another submission than the one in force"
        remedy = "look at config status and submit the change that is missing again"
    else:
        what = f"version {configuration.version}, older than {version} in force"
        remedy = "it is put back; see why the service was restored"
    return PlatformError(
        f"refused {what}", step=Step.PLATFORM, peer=peer, remedy=remedy
    )
