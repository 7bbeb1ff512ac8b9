"""Limits that several tests hold papayagw to."""

CHANGE_TIMEOUT_S = 4.0
"""Longest time until a change of the configuration is in force everywhere.

Source: the size to design for.
"""
