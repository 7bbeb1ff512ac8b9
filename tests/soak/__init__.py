"""Soak tests: random faults on real processes, with guarantees checked externally."""
