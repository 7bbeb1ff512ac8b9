"""Sockets and timers around `papayagw._internal.core`, which does no I/O."""
