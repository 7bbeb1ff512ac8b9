from contextlib import asynccontextmanager, suppress
from random import Random

import anyio
import pytest
from returns.result import Success

from papayagw._internal.core.configuration import ConfigurationLog
from papayagw._internal.core.submission import Accepted, Proposal, Refused, Unknown
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.configuration import FleetKey
from papayagw._internal.net.configuration import FileConfigurationSource
from papayagw._internal.net.configuration_peer import (
    MAX_CONNECTIONS,
    ConfigurationServer,
    PeerConfigurationSource,
)
from papayagw._internal.net.configuration_platform import PlatformConfigurationSource
from papayagw._internal.net.configuration_store import ConfigurationStore
from papayagw._internal.net.submission import submit
from papayagw._internal.standins.memory_store import MemoryStore
from tests.lib.configurations import make_site
from tests.lib.limits import CHANGE_TIMEOUT_S
from tests.lib.samples import KEY, OLD_KEY, SITE, ManualClock
from tests.lib.settings import BASE, OVERLAY, SettingsFolder
from tests.lib.stores import find_free_endpoint


class SilentStore(MemoryStore):
    """Store that ends the first watch and leaves the second one unanswered.

    The first watch of a node is shorter than later ones.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.is_silent = anyio.Event()
        self._watch_count = 0

    async def watch(self, key, after, on_entry, timeout_ms):
        self._watch_count += 1
        if self._watch_count > 2:
            return await super().watch(key, after, on_entry, timeout_ms)
        if self._watch_count == 2:
            self.is_silent.set()
            await anyio.sleep(to_seconds(timeout_ms))
        return Success(after)


class Node:
    """Configuration source of a node, with a server for its peers."""

    def __init__(self, store, *, seeds=(), keys=(KEY,), relay=True):
        self.endpoint = find_free_endpoint()
        self.log = ConfigurationLog()
        self.failures = []
        self.server = ConfigurationServer(self.endpoint, self.log)
        self.source = PlatformConfigurationSource(
            ConfigurationStore(store, SITE.name),
            self.log,
            PeerConfigurationSource(self.log, keys),
            seeds=seeds,
            server=self.server,
            on_failure=self.failures.append,
            random=Random(1),
        )
        self.relay = relay
        self._changed = anyio.Event()

    async def start(self, tasks):
        await self.source.start()
        tasks.start_soon(self._run)

    async def wait_for_version(self, version):
        while self.log.version < version:
            await self._changed.wait()

    async def wait_for_failure(self, text):
        while not any(text in str(one) for one in self.failures):
            await anyio.sleep(0.01)

    async def _run(self):
        try:
            await self.source.run(self._on_change, lambda: self.relay)
        finally:
            with anyio.CancelScope(shield=True):
                await self.source.close()

    def _on_change(self, configuration):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


@asynccontextmanager
async def running_tasks():
    with anyio.fail_after(60):
        async with anyio.create_task_group() as tasks:
            yield tasks
            tasks.cancel_scope.cancel()


async def submit_max_flows(store, max_flows):
    proposal = Proposal(make_site(max_flows), f"id-of-{max_flows}", "anna")
    target = ConfigurationStore(store, SITE.name)
    return await submit(target, proposal, Millis(10_000), Random(1))


def test_relay_hears_each_version_from_the_store():
    async def main():
        store = MemoryStore(ManualClock())
        assert await submit_max_flows(store, 1) == Accepted(1)
        async with running_tasks() as tasks:
            node = Node(store)
            await node.start(tasks)
            assert node.log.version == 1
            for version in (2, 3):
                assert await submit_max_flows(store, version) == Accepted(version)
                await node.wait_for_version(version)
        assert node.log.current.site == make_site(3)

    anyio.run(main)


def test_relay_hears_a_change_in_time_although_its_watch_went_silent():
    async def main():
        store = SilentStore(ManualClock())
        await submit_max_flows(store, 1)
        async with running_tasks() as tasks:
            node = Node(store)
            await node.start(tasks)
            await store.is_silent.wait()
            await submit_max_flows(store, 2)
            with anyio.fail_after(CHANGE_TIMEOUT_S):
                await node.wait_for_version(2)

    anyio.run(main)


def test_other_node_hears_from_its_peer_and_never_watches():
    async def main():
        store = MemoryStore(ManualClock())
        await submit_max_flows(store, 1)
        async with running_tasks() as tasks:
            relay, other = Node(store), Node(store, relay=False)
            await relay.start(tasks)
            await other.start(tasks)
            await submit_max_flows(store, 2)
            await relay.wait_for_version(2)
            store.set_outage(True)
            other.source.on_advertised_version(2, relay.endpoint)
            await other.wait_for_version(2)
        assert other.log.current == relay.log.current
        assert store.counts.by_kind["watch"] == 1

    anyio.run(main)


@pytest.mark.parametrize("keys", [(KEY,), (OLD_KEY,), (OLD_KEY, KEY)])
def test_new_node_starts_from_a_peer_while_the_store_is_down(keys):
    async def main():
        store = MemoryStore(ManualClock())
        await submit_max_flows(store, 1)
        async with running_tasks() as tasks:
            old = Node(store)
            await old.start(tasks)
            store.set_outage(True)
            new = Node(store, seeds=(old.endpoint,), keys=keys)
            await new.start(tasks)
            assert new.log.current == old.log.current
            store.set_outage(False)
            await submit_max_flows(store, 2)
            await new.wait_for_version(2)

    anyio.run(main)


def test_stranger_gets_nothing_from_a_peer():
    async def main():
        store = MemoryStore(ManualClock())
        await submit_max_flows(store, 1)
        async with running_tasks() as tasks:
            node = Node(store)
            await node.start(tasks)
            log = ConfigurationLog()
            stranger = PeerConfigurationSource(log, [FleetKey(1, bytes(32))])
            result = await stranger.fetch(node.endpoint)
        assert "no reply" in result.failure().what
        assert node.server.refused == 1

    anyio.run(main)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x00",
        bytes(4),
        b"\xff" * 64,
        b"\x00\x00\x00\x10" + bytes(16),
        bytes(9_000),
    ],
)
def test_bad_input_is_counted_and_leaves_the_server_alone(payload):
    async def main():
        store = MemoryStore(ManualClock())
        await submit_max_flows(store, 1)
        async with running_tasks() as tasks:
            node = Node(store)
            await node.start(tasks)
            for _ in range(MAX_CONNECTIONS + 8):
                async with await anyio.connect_tcp(*node.endpoint.sockaddr) as stream:
                    await stream.send(payload)
                    await stream.send_eof()
                    with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                        await stream.receive()
            result = await PeerConfigurationSource(ConfigurationLog(), [KEY]).fetch(
                node.endpoint
            )
        assert result.unwrap().version == 1
        assert node.server.refused == MAX_CONNECTIONS + 8

    anyio.run(main)


def test_restored_store_is_refused_reported_and_put_right():
    async def main():
        store = MemoryStore(ManualClock())
        await submit_max_flows(store, 1)
        snapshot = store.values.snapshot()
        async with running_tasks() as tasks:
            node = Node(store)
            await node.start(tasks)
            await submit_max_flows(store, 2)
            await node.wait_for_version(2)
            store.values.restore(snapshot)
            await node.wait_for_failure("older than 2 in force")
            fresh = Node(store, seeds=(node.endpoint,))
            await fresh.start(tasks)
            assert fresh.log.version == 2
            stored = await ConfigurationStore(store, SITE.name).read()
            while stored.unwrap().configuration.version < 2:
                await anyio.sleep(0.01)
                stored = await ConfigurationStore(store, SITE.name).read()
            assert await submit_max_flows(store, 3) == Accepted(3)
            await node.wait_for_version(3)

    anyio.run(main)


def test_node_keeps_what_is_in_force_through_an_outage():
    async def main():
        store = MemoryStore(ManualClock())
        await submit_max_flows(store, 1)
        async with running_tasks() as tasks:
            node = Node(store)
            await node.start(tasks)
            store.set_outage(True)
            await node.wait_for_failure("outage")
            assert node.log.version == 1
            store.set_outage(False)
            await submit_max_flows(store, 2)
            await node.wait_for_version(2)

    anyio.run(main)


@pytest.mark.parametrize(
    ("lost", "down", "outcome"),
    [
        (0, False, Accepted),
        (3, False, Accepted),
        (99, False, Unknown),
        (0, True, Refused),
    ],
)
def test_operator_is_told_through_faults(lost, down, outcome):
    async def main():
        store = MemoryStore(ManualClock())
        store.lose_responses(lost)
        store.set_outage(down)
        proposal = Proposal(make_site(1), "id-of-anna", "anna")
        target = ConfigurationStore(store, SITE.name)
        limit = Millis(600 if outcome is not Accepted else 30_000)
        return await submit(target, proposal, limit, Random(1))

    assert isinstance(anyio.run(main), outcome)


def test_files_stand_in_for_the_platform(tmp_path):
    folder = SettingsFolder(tmp_path)
    base, overlay = folder.write("b.jsonc", BASE), folder.write("o.jsonc", OVERLAY)
    configuration = anyio.run(FileConfigurationSource(base, overlay).start)
    assert configuration.version == 0
    assert configuration.site.name == "ee-north"


def test_racing_operators_over_one_store():
    outcomes = {}

    async def race(store, number):
        outcomes[number] = await submit_max_flows(store, number + 1)

    async def main():
        store = MemoryStore(ManualClock())
        store.lose_responses(4)
        async with running_tasks(), anyio.create_task_group() as operators:
            for number in range(10):
                operators.start_soon(race, store, number)
        stored = await ConfigurationStore(store, SITE.name).read()
        return stored.unwrap().configuration

    last = anyio.run(main)
    accepted = {
        one.version: number
        for number, one in outcomes.items()
        if isinstance(one, Accepted)
    }
    assert len(outcomes) == 10
    assert sorted(accepted) == list(range(1, last.version + 1))
    for mark in last.history:
        assert mark.submission_id == f"id-of-{accepted[mark.version] + 1}"
