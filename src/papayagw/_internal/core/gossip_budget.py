"""Rate limit of the membership traffic."""

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis


class TokenBucket:
    """Token bucket that limits the bytes sent per second.

    Parameters
    ----------
    bytes_per_second : int
        The refill rate.
    burst_bytes : int
        The capacity, and the maximum debt; the bucket is full at the start.
    """

    def __init__(self, bytes_per_second: int, burst_bytes: int):
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = float(burst_bytes)
        self._level = self._burst_bytes
        self._filled_at: Millis | None = None

    def set_rate(self, bytes_per_second: int, now: Millis) -> None:
        """Set the refill rate from now on."""
        self.get_level(now)
        self._bytes_per_second = bytes_per_second

    def get_level(self, now: Millis) -> float:
        """Return how many bytes may be spent at once; negative when in debt."""
        if self._filled_at is not None and now > self._filled_at:
            gain = (now - self._filled_at) * self._bytes_per_second / MILLIS_PER_SECOND
            self._level = min(self._burst_bytes, self._level + gain)
        self._filled_at = now
        return self._level

    def spend(self, size_bytes: int, now: Millis) -> None:
        """Remove `size_bytes` from the bucket, which may go into debt."""
        self._level = max(-self._burst_bytes, self.get_level(now) - size_bytes)
