"""Behaviour and private attributes of the QUIC library that papayagw relies on."""

import pytest

from papayagw._internal.models.flow import FlowOutcome
from papayagw._internal.models.stream import BytesArrived, FlowEnded, HandshakeDone
from papayagw._internal.wire.header import is_opening, read_connection_id
from papayagw._internal.wire.quic import PREFACE
from papayagw._internal.wire.quic_adapter import WINDOW_BYTES
from tests.lib.quic import ROUTE, FlowPair
from tests.lib.samples import CLIENT


def received(events):
    return b"".join(one.data for one in events if isinstance(one, BytesArrived))


def lose_none(number):
    return False


def lose_every_fifth(number):
    return number % 5 == 0


@pytest.mark.parametrize("lose", [lose_none, lose_every_fifth])
@pytest.mark.parametrize("size", [1, 100_000])
def test_bytes_arrive_complete_in_both_directions(tmp_path, lose, size):
    pair = FlowPair(tmp_path, lose)
    request, answer = b"r" * size, b"a" * size
    pair.caller.write(request)
    pair.caller.finish()
    pair.exchange(400)
    pair.agent.write(answer)
    pair.agent.finish()
    pair.exchange(400)
    assert HandshakeDone() in pair.caller_events
    assert received(pair.agent_events) == request
    assert received(pair.caller_events) == answer


def lose_third_to_fifth(number):
    return number in (3, 4, 5)


@pytest.mark.parametrize("lose", [lose_none, lose_third_to_fifth])
def test_agent_may_send_first(tmp_path, lose):
    pair = FlowPair(tmp_path, lose)
    pair.exchange(2)
    pair.agent.write(b"welcome")
    pair.agent.finish()
    pair.exchange(100)
    assert received(pair.caller_events) == b"welcome"


def test_packets_after_the_first_response_carry_the_tag(tmp_path):
    pair = FlowPair(tmp_path)
    pair.caller.write(b"request")
    pair.exchange()
    ids = [read_connection_id(datagram) for datagram in pair.to_agent]
    opening, rest = ids[0], ids[1:]
    assert is_opening(pair.to_agent[0], opening)
    assert pair.codec.open_route(opening) is None
    assert rest
    assert {pair.codec.open_route(one) for one in rest} == {ROUTE}


@pytest.mark.parametrize(
    ("caller_ends", "agent_ends", "done"),
    [(False, False, False), (True, False, False), (False, True, False), (True,) * 3],
)
def test_stream_is_done_when_both_ends_have_ended(
    tmp_path, caller_ends, agent_ends, done
):
    pair = FlowPair(tmp_path)
    pair.caller.write(b"request")
    pair.exchange()
    pair.agent.write(b"answer")
    for end, ends in ((pair.caller, caller_ends), (pair.agent, agent_ends)):
        if ends:
            end.finish()
    pair.exchange()
    assert pair.agent.is_stream_done is done
    assert not pair.agent.is_ending


def test_sender_blocks_until_receiver_grants_credit(tmp_path):
    pair = FlowPair(tmp_path)
    pair.caller.write(bytes(3 * WINDOW_BYTES))
    pair.exchange(2_000)
    assert len(received(pair.agent_events)) == WINDOW_BYTES - len(PREFACE)
    pair.agent.consume(WINDOW_BYTES)
    pair.exchange(2_000)
    assert len(received(pair.agent_events)) == 2 * WINDOW_BYTES


@pytest.mark.parametrize("outcome", FlowOutcome)
@pytest.mark.parametrize("lost", [lose_none, lose_every_fifth])
def test_close_carries_the_outcome(tmp_path, outcome, lost):
    pair = FlowPair(tmp_path, lost)
    pair.exchange(100)
    pair.agent.close(outcome, "why")
    pair.exchange(100)
    assert FlowEnded(outcome, "why") in pair.caller_events


@pytest.mark.parametrize(
    ("is_genuine", "is_ended"), [(True, True), (False, False)], ids=["own", "forged"]
)
def test_stateless_reset_ends_only_its_flow(tmp_path, is_genuine, is_ended):
    pair = FlowPair(tmp_path)
    pair.exchange()
    tag = pair.tag if is_genuine else bytes(20)
    pair.caller.receive(
        pair.resets.make_datagram(tag), ("127.0.1.1", 4401), pair.clock.now()
    )
    ends = [one for one in pair.caller.pop_events() if isinstance(one, FlowEnded)]
    assert [one.outcome for one in ends] == [FlowOutcome.UNKNOWN] * is_ended
    assert pair.caller.is_ending is is_ended


def test_late_duplicates_of_first_packets_are_ignored(tmp_path):
    pair = FlowPair(tmp_path)
    pair.exchange()
    pair.agent.write(b"answer")
    first = list(pair.to_agent)
    for datagram in first:
        pair.agent.receive(datagram, CLIENT.sockaddr, pair.clock.now())
    for datagram in pair.to_caller[:4]:
        pair.caller.receive(datagram, ("127.0.1.1", 4401), pair.clock.now())
    pair.exchange()
    assert received(pair.caller_events) == b"answer"


def test_handshake_state_is_released_after_completion(tmp_path):
    pair = FlowPair(tmp_path)
    pair.exchange()
    for end in (pair.caller, pair.agent):
        connection = end._connection
        buffers = connection._crypto_buffers.values()
        assert sum(buffer.capacity for buffer in buffers) == 0
        assert connection.tls._peer_certificate is None
