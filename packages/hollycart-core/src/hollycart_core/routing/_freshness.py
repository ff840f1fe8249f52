"""Age of the instance's state since it was last confirmed."""


class Freshness:
    """Tracks the instant as of which the state is confirmed to be current.

    A read confirms its result as of the instant at which it began, not as of
    its end. The clock must include time in which the instance was suspended.

    Args:
        max_age_ms: Age above which the state is stale, in ms.

    Example:
        >>> freshness = Freshness(4000.0)
        >>> freshness.confirm(1000.0)
        >>> freshness.is_fresh(4999.0), freshness.is_fresh(5001.0)
        (True, False)
    """

    def __init__(self, max_age_ms: float) -> None:
        self.max_age_ms = max_age_ms
        self._confirmed_ms: float | None = None

    def confirm(self, confirmed_ms: float) -> None:
        """Confirms the state as of an instant; an earlier one has no effect.

        Args:
            confirmed_ms: Instant as of which the state was current.
        """
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    def age_ms(self, now_ms: float) -> float:
        """Returns the age of the state in ms; infinity if it is unconfirmed."""
        if self._confirmed_ms is None:
            return float("inf")
        return now_ms - self._confirmed_ms

    def is_fresh(self, now_ms: float) -> bool:
        """Returns whether the state is recent enough to act on."""
        return self.age_ms(now_ms) <= self.max_age_ms
