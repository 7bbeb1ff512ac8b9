"""The cap on what membership news may cost."""

from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis


class TokenBucket:
    """A token bucket over bytes.

    Parameters
    ----------
    bytes_per_second : int
        The rate at which it fills.
    burst_bytes : int
        The most that it holds; it begins full.
    """

    def __init__(self, bytes_per_second: int, burst_bytes: int):
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._level = float(burst_bytes)
        self._filled_at: Millis | None = None

    def get_level(self, now: Millis) -> float:
        """Return how many bytes may be spent at once; negative when in debt."""
        if self._filled_at is not None and now > self._filled_at:
            gain = (now - self._filled_at) * self._bytes_per_second / MILLIS_PER_SECOND
            self._level = min(self._burst_bytes, self._level + gain)
        self._filled_at = now
        return self._level

    def spend(self, size_bytes: int, now: Millis) -> None:
        """Take `size_bytes` out; the bucket may go into debt."""
        self._level = self.get_level(now) - size_bytes
