"""Measurements, each one command that prints its figures.

Run one as ``python -m bench.NAME`` at the root of the repository.
"""
