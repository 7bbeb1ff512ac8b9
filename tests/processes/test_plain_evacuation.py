"""Evacuation of a zone with real processes and the stand-in of the store."""

import pytest

from tests.lib.plain_fleet import PlainFleet
from tests.lib.processes import wait_until

EVACUATE_MS = 5_000
OPENINGS = 12


class ZonedFleet(PlainFleet):
    """A fleet whose agents are each in a zone of their own: zone-1 and zone-2."""

    def _settings(self, name):
        zone = "zone-" + name.partition("-")[2]
        settings = {**super()._settings(name), "zone": zone}
        return {**settings, "evacuation_ms": EVACUATE_MS}

    def wait_for_metric(self, line):
        """Wait until each balancer serves a line among its metrics."""
        for name in self.balancers:
            wait_until(
                lambda name=name: line in self.metrics(name).splitlines(),
                EVACUATE_MS / 1_000,
                f"{name}: no {line}",
            )


@pytest.fixture
def fleet(tmp_path, block):
    fleet = ZonedFleet(tmp_path, block)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def client(fleet):
    client = fleet.make_client()
    yield client
    client.close()


def count_new_flows(fleet, client):
    """Open flows one after the other; return how many each backend server got."""
    before = {name: len(one.flows) for name, one in fleet.backends.items()}
    for _ in range(OPENINGS):
        client.start_new_flow()
        assert client.open()
        assert client.request(b"request") is True
    return [len(one.flows) - before[name] for name, one in fleet.backends.items()]


def test_an_evacuated_zone_keeps_its_flows_and_gets_no_others(fleet, client):
    held = [fleet.make_client() for _ in range(OPENINGS)]
    assert all(one.open() for one in held)
    assert fleet.backends["agent-1"].flows
    fleet.store.put("op/evacuate/zone-1", b"{}")
    fleet.wait_for_metric("papayagw_evacuated_zones 1")
    assert count_new_flows(fleet, client) == [0, OPENINGS]
    assert all(one.request(b"held") is True for one in held)

    fleet.kill("balancer-1")
    fleet.start_process("balancer-1")
    fleet.wait_ready("balancer-1")
    assert count_new_flows(fleet, client) == [0, OPENINGS]

    fleet.store.remove("op/evacuate/zone-1")
    fleet.wait_for_metric("papayagw_evacuated_zones 0")
    first, second = count_new_flows(fleet, client)
    assert first > 0
    assert first + second == OPENINGS
    for one in held:
        one.close()
