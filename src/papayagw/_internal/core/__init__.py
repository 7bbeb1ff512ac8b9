"""Decisions, without input, output, clocks or codecs."""
