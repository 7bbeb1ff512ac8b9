"""Cost of a node's control state by size of the fleet.

``python -m bench.control_cost`` measures, in this process alone, the memory of the
agent directory, and the processor time to merge an updated record, to choose an agent
for an opening, to read a site's settings and to apply a configuration. Each is measured
at several sizes and fitted with a line. One process is busy.
"""

import json
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import fire

from bench.usage import describe_machine, fit_line
from papayagw._internal.core.choice import RendezvousChooser
from papayagw._internal.core.configuration import ConfigurationLog
from papayagw._internal.core.directory import AgentDirectory
from papayagw._internal.models.agent import AgentRecord, Incarnation
from papayagw._internal.models.configuration import (
    KEY_BYTES,
    Configuration,
    FleetKey,
    Site,
    SubmissionEntry,
)
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId
from papayagw._internal.settings.development_keys import make_development_keys
from papayagw._internal.settings.site import load_site
from papayagw._internal.wire.configuration import (
    read_configuration,
    write_configuration,
)

HOSTS = (500, 1_000, 2_000, 4_000, 9_500)
SERVICES = (150, 300, 600, 1_200, 2_400)
HOSTS_PER_SERVICE = 4
UPDATES = 200
OPENINGS = 2_000
MICROS = 1_000_000


@dataclass(frozen=True, slots=True)
class Sweep:
    """The measurements of one cost at several sizes.

    Attributes
    ----------
    name : str
        The measured cost.
    unit : str
        Unit of `values`.
    sizes : tuple of int
        Numbers of agents or services.
    values : tuple of float
        Cost at each size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]


def make_records(hosts: int, sequence: int = 1) -> list[AgentRecord]:
    return [
        AgentRecord(
            Endpoint(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 4310),
            Incarnation(5_000),
            sequence,
            ServiceId(1 + number // HOSTS_PER_SERVICE),
            "abcd"[number % 4],
        )
        for number in range(hosts)
    ]


def make_directory(hosts: int) -> AgentDirectory:
    directory = AgentDirectory()
    for record in make_records(hosts):
        directory.merge(record)
    return directory


def measure_memory(hosts: int) -> float:
    """Return the memory in KB of a directory of `hosts` agents."""
    tracemalloc.start()
    directory = make_directory(hosts)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del directory
    return used / 1_024


def measure_record_update(hosts: int) -> float:
    """Return the processor time in us of merging one updated record."""
    directory = make_directory(hosts)
    updates = make_records(hosts, sequence=2)[:UPDATES]
    started = time.process_time()
    for record in updates:
        directory.merge(record)
    return (time.process_time() - started) * MICROS / len(updates)


def measure_choice(hosts: int) -> float:
    """Return the processor time in us of choosing an agent for one opening."""
    directory, chooser = make_directory(hosts), RendezvousChooser()
    keys = [number.to_bytes(8, "big") for number in range(OPENINGS)]
    services = hosts // HOSTS_PER_SERVICE
    started = time.process_time()
    for number, key in enumerate(keys):
        service_id = ServiceId(1 + number % services)
        chooser.choose(key, directory.find_ready(service_id))
    return (time.process_time() - started) * MICROS / OPENINGS


def measure_settings(services: int) -> float:
    """Return the processor time in ms of reading the settings of a site."""
    with tempfile.TemporaryDirectory() as name:
        base = write_site(Path(name), services)
        started = time.process_time()
        load_site(base).unwrap()
        return (time.process_time() - started) * 1_000


def make_configuration(services: int) -> Configuration:
    """Return a configuration with the given number of services."""
    site = Site(
        name="large",
        control_address=Endpoint("10.9.255.1", 4400),
        zones=("a", "b", "c", "d"),
        services=tuple(make_service(number) for number in range(1, services + 1)),
        keys=(FleetKey(1, bytes(KEY_BYTES)),),
    )
    return Configuration(1, site, (SubmissionEntry(1, "first", "operator"),))


def make_service(number: int, max_flows: int = 2_000) -> Service:
    address = Endpoint(f"10.8.{number >> 8}.{number & 255}", 10_000 + number)
    service_id = ServiceId(number)
    return Service(f"service-{number}", service_id, address, max_flows=max_flows)


def measure_encoded_size(services: int) -> float:
    """Return the size in KB of a full configuration as nodes send it to peers."""
    return len(write_configuration(make_configuration(services))) / 1_024


def measure_full_configuration(services: int) -> float:
    """Return the processor time in ms of decoding and applying a full configuration."""
    body = write_configuration(make_configuration(services))
    log = ConfigurationLog()
    started = time.process_time()
    log.apply_if_newer(read_configuration(body).unwrap())
    return (time.process_time() - started) * 1_000


def measure_change(services: int) -> float:
    """Return the processor time in ms of sending and applying a one-service change."""
    before = make_configuration(services)
    first = make_service(1, max_flows=1_000)
    site = replace(before.site, services=(first, *before.site.services[1:]))
    history = (SubmissionEntry(2, "second", "operator"), *before.history)
    sender, receiver = ConfigurationLog(), ConfigurationLog()
    sender.apply_if_newer(before)
    receiver.apply_if_newer(before)
    sender.apply_if_newer(Configuration(2, site, history))
    started = time.process_time()
    configuration = receiver.resolve_reply(sender.make_reply(receiver.query))
    if configuration is None:
        raise SystemExit(f"the change of one service among {services} did not apply")
    receiver.apply_if_newer(configuration)
    return (time.process_time() - started) * 1_000


def write_site(folder: Path, services: int) -> Path:
    make_development_keys(folder, ("order",))
    site = {
        "name": "large",
        "control_address": "10.9.255.1:4400",
        "zones": ["a", "b", "c", "d"],
        "keys": [{"id": 1, "file": "fleet.key"}],
        "services": {
            f"service-{number}": {
                "id": number,
                "address": f"10.8.{number >> 8}.{number & 255}:{10_000 + number}",
            }
            for number in range(1, services + 1)
        },
    }
    base = folder / "base.jsonc"
    base.write_text(json.dumps(site, indent=2), encoding="utf-8")
    return base


def sweep(
    name: str, unit: str, sizes: Sequence[int], measure: Callable[[int], float]
) -> Sweep:
    """Return the results of `measure` at each size, in the given order."""
    return Sweep(name, unit, tuple(sizes), tuple(measure(size) for size in sizes))


def measure_all() -> list[Sweep]:
    return [
        sweep("directory memory by hosts", "KB", HOSTS, measure_memory),
        sweep("a record that is news by hosts", "us CPU", HOSTS, measure_record_update),
        sweep("choice for an opening by hosts", "us CPU", HOSTS, measure_choice),
        sweep("reading settings by services", "ms CPU", SERVICES, measure_settings),
        sweep("whole configuration by services", "KB", SERVICES, measure_encoded_size),
        sweep(
            "taking in a whole one by services",
            "ms CPU",
            SERVICES,
            measure_full_configuration,
        ),
        sweep("taking in a change by services", "ms CPU", SERVICES, measure_change),
    ]


def main():
    """Measure and print the costs and the fitted lines."""
    print(f"{describe_machine()}; 1 busy process")
    for result in measure_all():
        line = fit_line(result.sizes, result.values)
        cells = "  ".join(
            f"{size}: {value:.1f}"
            for size, value in zip(result.sizes, result.values, strict=True)
        )
        print(f"{result.name} ({result.unit}): {cells}")
        print(f"    line: {line.base:.2f} + {line.slope:.4f} for each one more")


if __name__ == "__main__":
    fire.Fire(main)
