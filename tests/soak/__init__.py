"""Randomized faults on the real programs, with promises checked from outside."""
