"""Calls of the platform's key-value service: watches, timeouts and retries."""
