"""Structured logs, metrics, and status and burn reports."""
