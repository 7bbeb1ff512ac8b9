"""Logs as JSON lines, metrics and reports."""
