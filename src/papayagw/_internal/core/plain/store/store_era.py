"""Detection of restorations of the platform's key-value service from older copies."""


class EraTracker:
    """Detects, by the eras of the answers to one client, that the store was restored.

    The calls of a client follow one another, so that its answers are in order.
    """

    def __init__(self) -> None:
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Era of the last answer that named one; 0 if there was none."""
        return self._era or 0

    def record(self, era: int | None) -> bool:
        """Record the era of an answer; return whether it isn't that of the last one.

        An answer that names no era, and the first one that does, tell of no
        restoration.
        """
        if era is None:
            return False
        previous, self._era = self._era, era
        return previous is not None and previous != era
