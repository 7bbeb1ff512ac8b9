"""Batching of ownership questions."""

from collections.abc import Iterable

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import Action, SendFrame
from papayagw._internal.models.plain.frame import OwnerQuery, OwnerQueryFrame

MAX_QUESTIONS = 64
"""Maximum questions per frame: 1,100 bytes, so that no link fragments it."""


def join_questions(actions: Iterable[Action]) -> list[Action]:
    """Merge the question frames to each agent.

    Parameters
    ----------
    actions : iterable of Action
        Actions that result from one batch of packets.

    Returns
    -------
    list of Action
        The other actions in their order, then the merged question frames.
    """
    others: list[Action] = []
    questions_by_agent: dict[tuple[Endpoint, str], list[OwnerQuery]] = {}
    for action in actions:
        if isinstance(action, SendFrame) and isinstance(action.frame, OwnerQueryFrame):
            key = (action.peer, action.frame.service)
            questions_by_agent.setdefault(key, []).extend(action.frame.queries)
        else:
            others.append(action)
    return others + [
        SendFrame(
            peer,
            OwnerQueryFrame(service, tuple(questions[start : start + MAX_QUESTIONS])),
        )
        for (peer, service), questions in questions_by_agent.items()
        for start in range(0, len(questions), MAX_QUESTIONS)
    ]
