"""What an answer says about the request that it should belong to."""

from enum import Enum

from papayagw._internal.standins.workload import BackendKind, Request, Verb

_RESPONSE_WORDS = {Verb.ORDER: "DONE", Verb.CHECK: "RATE"}
_MIN_WORDS = 3


class Outcome(Enum):
    """How one request ended, as its caller saw it."""

    DONE = "done"
    BROKEN = "broken"
    """The connection ended, or the answer made no sense."""
    REFUSED = "refused"
    """The caller was told that the request was not run."""
    UNKNOWN = "unknown"
    """No answer within the timeout."""
    CROSSED = "crossed"
    """An answer of another request, or of another service."""
    WRONG_BYTES = "wrong bytes"
    """Bytes were lost or changed on the way."""
    NOT_SENT = "not sent"
    """Too many requests were open already; the tool itself was the limit."""


FAULTS = (Outcome.BROKEN, Outcome.CROSSED, Outcome.WRONG_BYTES)
"""What must never happen."""


def judge_single_line(request: Request, service: BackendKind, line: str) -> Outcome:
    """Judge the answer to an order or a rate check."""
    words = line.split()
    if (outcome := _judge_signature(request, service, words)) is not None:
        return outcome
    expected = [_RESPONSE_WORDS[request.verb], request.request_id]
    return Outcome.DONE if words[:2] == expected else Outcome.CROSSED


def judge_upload(
    request: Request, service: BackendKind, digest: str, line: str
) -> Outcome:
    """Judge the answer to an upload with the checksum `digest`."""
    words = line.split()
    if (outcome := _judge_signature(request, service, words)) is not None:
        return outcome
    return Outcome.DONE if words[:2] == ["SHA256", digest] else Outcome.WRONG_BYTES


def judge_feed_line(
    request: Request, service: BackendKind, number: int, line: str
) -> Outcome:
    """Judge line `number` of a feed; DONE says that it is the right one."""
    words = line.split()
    if (outcome := _judge_signature(request, service, words)) is not None:
        return outcome
    count = request.numbers[0]
    expected = "END" if number == count else "STATUS"
    if words[1] != request.request_id:
        return Outcome.CROSSED
    is_expected = words[0] == expected and words[2] == str(number)
    return Outcome.DONE if is_expected else Outcome.WRONG_BYTES


def judge_echo(request: Request, service: BackendKind, sent: str, line: str) -> Outcome:
    """Judge the answer to one line of an echo."""
    words = line.split()
    if (outcome := _judge_signature(request, service, words)) is not None:
        return outcome
    if words[1] != request.request_id:
        return Outcome.CROSSED
    is_expected = words[0] == "ECHO" and words[2] == sent
    return Outcome.DONE if is_expected else Outcome.WRONG_BYTES


def _judge_signature(
    request: Request, service: BackendKind, words: list[str]
) -> Outcome | None:
    if len(words) < _MIN_WORDS or words[0] == "ERROR":
        return Outcome.BROKEN
    if words[-1].rpartition("-")[0] != service.value or words[0] == "WRONG":
        return Outcome.CROSSED
    if words[0] == "SHED":
        own = words[1] == request.request_id
        return Outcome.REFUSED if own else Outcome.CROSSED
    return None
