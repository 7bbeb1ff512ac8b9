"""TCP keepalive of the connections on which the answer to a watch is awaited.

A connection may go silent without a reset, and a watch may rightly go unanswered for
longer than a change of the configuration may take.
"""

import socket

_INTERVAL_S = 1
"""Idle time before the first probe, and interval between probes."""

_MAX_UNANSWERED_PROBES = 2
"""Number of unanswered probes after which the connection is closed.

A single lost probe doesn't close it.
"""

KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_UNANSWERED_PROBES),
)
"""Socket options (level, option, value) that close a silent connection after 3 s."""
