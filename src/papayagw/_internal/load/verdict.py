"""Classification of the response to a request."""

from enum import Enum

from papayagw._internal.standins.workload import BackendKind, Request, Verb

_RESPONSE_WORDS = {Verb.ORDER: "DONE", Verb.CHECK: "RATE"}
_MIN_WORDS = 3


class Outcome(Enum):
    """Outcome of a request, as its caller observed it."""

    DONE = "done"
    BROKEN = "broken"
    """The connection ended early, or the response was malformed or an error."""
    REFUSED = "refused"
    """The caller was told that the request was not executed, or couldn't connect."""
    UNKNOWN = "unknown"
    """No complete response within the timeout."""
    CROSSED = "crossed"
    """The response is for another request, or the request reached another service."""
    WRONG_BYTES = "wrong bytes"
    """Bytes were lost or changed in transit."""
    NOT_SENT = "not sent"
    """Not sent, as the load generator's own limit of open requests was reached."""


FAULTS = (Outcome.BROKEN, Outcome.CROSSED, Outcome.WRONG_BYTES)
"""Outcomes that violate the guarantees to callers."""


def judge_single_line(request: Request, service: BackendKind, line: str) -> Outcome:
    """Classify the response to an order or a rate check."""
    words = line.split()
    if (outcome := _judge_common_cases(request, service, words)) is not None:
        return outcome
    expected = [_RESPONSE_WORDS[request.verb], request.request_id]
    return Outcome.DONE if words[:2] == expected else Outcome.CROSSED


def judge_upload(
    request: Request, service: BackendKind, digest: str, line: str
) -> Outcome:
    """Classify the response to an upload whose SHA-256 checksum is `digest`."""
    words = line.split()
    if (outcome := _judge_common_cases(request, service, words)) is not None:
        return outcome
    return Outcome.DONE if words[:2] == ["SHA256", digest] else Outcome.WRONG_BYTES


def judge_feed_line(
    request: Request, service: BackendKind, number: int, line: str
) -> Outcome:
    """Classify line `number` of a feed; DONE means that the line is as expected."""
    words = line.split()
    if (outcome := _judge_common_cases(request, service, words)) is not None:
        return outcome
    count = request.numbers[0]
    expected = "END" if number == count else "STATUS"
    if words[1] != request.request_id:
        return Outcome.CROSSED
    is_expected = words[0] == expected and words[2] == str(number)
    return Outcome.DONE if is_expected else Outcome.WRONG_BYTES


def judge_echo(request: Request, service: BackendKind, sent: str, line: str) -> Outcome:
    """Classify the response to one line of an echo."""
    words = line.split()
    if (outcome := _judge_common_cases(request, service, words)) is not None:
        return outcome
    if words[1] != request.request_id:
        return Outcome.CROSSED
    is_expected = words[0] == "ECHO" and words[2] == sent
    return Outcome.DONE if is_expected else Outcome.WRONG_BYTES


def _judge_common_cases(
    request: Request, service: BackendKind, words: list[str]
) -> Outcome | None:
    """Classify an error, a rejection or a response of another service.

    Returns None for any other response, which is classified by its verb.
    """
    if len(words) < _MIN_WORDS or words[0] == "ERROR":
        return Outcome.BROKEN
    if words[-1].rpartition("-")[0] != service.value or words[0] == "WRONG":
        return Outcome.CROSSED
    if words[0] == "SHED":
        own = words[1] == request.request_id
        return Outcome.REFUSED if own else Outcome.CROSSED
    return None
