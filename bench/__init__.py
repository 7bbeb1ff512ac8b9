"""Benchmarks, each a command that prints its measurements.

Run one with ``python -m bench.NAME`` at the root of the repository.
"""
