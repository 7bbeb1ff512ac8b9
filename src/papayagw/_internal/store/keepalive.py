"""TCP keepalive of the connections on which the answer to a watch is awaited.

A connection may go silent without a reset, and a watch may rightly go unanswered for
longer than a change of the configuration may take.
"""

import socket

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis

_INTERVAL_S = 1
"""Idle time before the first probe, and interval between probes."""

_MAX_UNANSWERED_PROBES = 2
"""Number of unanswered probes after which the connection is closed.

A single lost probe doesn't close it.
"""

DEAD_CONNECTION_TIMEOUT_MS = Millis(
    (1 + _MAX_UNANSWERED_PROBES) * _INTERVAL_S * MILLIS_PER_SECOND
)
"""Time after which a call on a connection that went silent fails."""

KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_UNANSWERED_PROBES),
)
"""Socket options (level, option, value) that close a connection that went silent."""
