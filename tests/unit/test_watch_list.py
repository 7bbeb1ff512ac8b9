import pytest

from papayagw._internal.core.watch_list import (
    INITIAL_INTERVAL_MS,
    LIVENESS_REQUEST_AFTER_INTERVALS,
    SUSPECT_AFTER_INTERVALS,
    OverdueAgents,
    ReceivedHeartbeat,
    WatchList,
)
from papayagw._internal.models.agent import Incarnation
from papayagw._internal.models.clock import Millis
from tests.lib.samples import make_record

AGENT = make_record(1).endpoint
RUN = Incarnation(5)
NOW = Millis(10_000)


def make_watch():
    watch = WatchList()
    watch.record_heartbeat(AGENT, RUN, 7, NOW)
    return watch


@pytest.mark.parametrize(
    ("intervals", "overdue"),
    [
        (LIVENESS_REQUEST_AFTER_INTERVALS - 0.1, OverdueAgents((), ())),
        (LIVENESS_REQUEST_AFTER_INTERVALS, OverdueAgents((AGENT,), ())),
    ],
)
def test_overdue_agent_leads_to_a_liveness_request_first(intervals, overdue):
    watch = make_watch()
    now = Millis(NOW + int(intervals * INITIAL_INTERVAL_MS))
    assert watch.find_overdue(now) == overdue
    assert watch.find_overdue(now) == OverdueAgents((), ())


def test_overdue_agent_is_suspected_after_the_liveness_request():
    watch = make_watch()
    now = Millis(NOW + int(SUSPECT_AFTER_INTERVALS * INITIAL_INTERVAL_MS))
    watch.find_overdue(now)
    assert watch.find_overdue(now) == OverdueAgents((), (AGENT,))


@pytest.mark.parametrize(
    ("incarnation", "heartbeat_number", "counts"),
    [(RUN, 8, True), (RUN, 7, False), (RUN, 6, False), (4, 9, False), (6, 1, True)],
)
def test_late_or_stale_heartbeat_is_ignored(incarnation, heartbeat_number, counts):
    later = Millis(NOW + 1)
    assert (
        make_watch().record_heartbeat(AGENT, incarnation, heartbeat_number, later)
        is counts
    )


@pytest.mark.parametrize(
    ("incarnation", "since", "heartbeat"),
    [(RUN, NOW, ReceivedHeartbeat(7, NOW)), (RUN, NOW + 1, None), (6, NOW, None)],
)
def test_watcher_reports_received_heartbeat(incarnation, since, heartbeat):
    assert make_watch().get_heartbeat(AGENT, incarnation, since) == heartbeat


def test_paused_watcher_sends_no_liveness_response():
    watch = make_watch()
    watch.compensate_pause(Millis(5_000))
    assert watch.get_heartbeat(AGENT, RUN, NOW) is None
