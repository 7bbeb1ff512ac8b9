"""Joins questions that one batch of packets raises."""

from collections.abc import Iterable

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import Action, SendFrame
from papayagw._internal.models.plain.frame import OwnerQuery, OwnerQueryFrame

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
    asked: dict[tuple[Endpoint, str], list[OwnerQuery]] = {}
    for action in actions:
        if isinstance(action, SendFrame) and isinstance(action.frame, OwnerQueryFrame):
            key = (action.peer, action.frame.service)
            asked.setdefault(key, []).extend(action.frame.queries)
        else:
            others.append(action)
    return others + [
        SendFrame(
            peer, OwnerQueryFrame(service, tuple(questions[at : at + MAX_QUESTIONS]))
        )
        for (peer, service), questions in asked.items()
        for at in range(0, len(questions), MAX_QUESTIONS)
    ]
