"""Joins questions that one batch of packets raises."""

from collections.abc import Iterable

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import Action, SendFrame
from papayagw._internal.models.plain.frame import AskFrame, FlowQuestion

MAX_QUESTIONS = 64
"""The most questions of one frame: 1,100 bytes, which no link fragments."""


def join_questions(actions: Iterable[Action]) -> list[Action]:
    """Return actions with one question frame for an agent in place of many.

    Parameters
    ----------
    actions : iterable of Action
        What follows from one batch of packets.

    Returns
    -------
    list of Action
        The other actions in their order, then the questions.
    """
    others: list[Action] = []
    questions_by_agent: dict[tuple[Endpoint, str], list[FlowQuestion]] = {}
    for action in actions:
        if isinstance(action, SendFrame) and isinstance(action.frame, AskFrame):
            key = (action.peer, action.frame.service)
            questions_by_agent.setdefault(key, []).extend(action.frame.questions)
        else:
            others.append(action)
    return others + [
        SendFrame(
            peer, AskFrame(service, tuple(questions[start : start + MAX_QUESTIONS]))
        )
        for (peer, service), questions in questions_by_agent.items()
        for start in range(0, len(questions), MAX_QUESTIONS)
    ]
