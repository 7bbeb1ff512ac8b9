"""Balance of work across backend servers and availability zones."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from papayagw._internal.models.burn import Balance, GroupLoad
from papayagw._internal.models.clock import to_seconds
from papayagw._internal.models.report import ServiceRecord, Side


def by_backend(record: ServiceRecord) -> str:
    """Return the backend server of a record as its group."""
    return record.instance


def by_zone(record: ServiceRecord) -> str:
    """Return the availability zone of a record as its group."""
    return record.zone


def measure_balance(
    records: Iterable[ServiceRecord], group: Callable[[ServiceRecord], str]
) -> Balance:
    """Return the load of each group and the ratio of the highest to the mean.

    The load is work divided by capacity over the recorded time of an instance, so
    that an instance that joined late doesn't appear idle. A backend server without
    capacity, such as a draining one, is left out.

    Parameters
    ----------
    records : iterable of ServiceRecord
        Records of one service.
    group : callable
        Returns the name of the group of a record.
    """
    grouped: dict[str, list[ServiceRecord]] = defaultdict(list)
    for record in records:
        if record.side is Side.AGENT and record.capacity > 0:
            grouped[group(record)].append(record)
    groups = tuple(_measure_group(name, grouped[name]) for name in sorted(grouped))
    total = sum(one.load for one in groups)
    if not total:
        return Balance(groups, 0.0)
    highest = max(one.load for one in groups)
    return Balance(groups, highest * len(groups) / total)


def _measure_group(name: str, records: list[ServiceRecord]) -> GroupLoad:
    """Return the load and the flow counts over the records of one group."""
    work = sum(record.work_ms for record in records)
    capacity_seconds = sum(
        record.capacity * to_seconds(record.duration_ms) for record in records
    )
    return GroupLoad(
        name=name,
        load=work / capacity_seconds,
        opened=sum(record.counts.opened for record in records),
        cut=sum(record.counts.cut for record in records),
    )
