"""Batching of the owner queries that a balancer sends to agents."""

from collections.abc import Iterable

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.action import Action, SendFrame
from papayagw._internal.models.plain.frame import OwnerQuery, OwnerQueryFrame

MAX_QUERIES_PER_FRAME = 64
"""Maximum number of owner queries in a frame.

A frame of 64 queries has 1,100 bytes, which no link fragments.
"""


def merge_owner_queries(actions: Iterable[Action]) -> list[Action]:
    """Merge the owner queries to each agent into as few frames as possible.

    Parameters
    ----------
    actions : iterable of Action
        Actions that result from one batch of packets.

    Returns
    -------
    list of Action
        The other actions in their order, then the merged query frames.
    """
    others: list[Action] = []
    queries_by_agent: dict[tuple[Endpoint, str], list[OwnerQuery]] = {}
    for action in actions:
        if isinstance(action, SendFrame) and isinstance(action.frame, OwnerQueryFrame):
            key = (action.peer, action.frame.service)
            queries_by_agent.setdefault(key, []).extend(action.frame.queries)
        else:
            others.append(action)
    return others + [
        SendFrame(
            peer,
            OwnerQueryFrame(
                service, tuple(queries[start : start + MAX_QUERIES_PER_FRAME])
            ),
        )
        for (peer, service), queries in queries_by_agent.items()
        for start in range(0, len(queries), MAX_QUERIES_PER_FRAME)
    ]
