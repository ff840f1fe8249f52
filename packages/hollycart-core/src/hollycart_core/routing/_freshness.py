"""How recently the configuration was proven to be the newest."""


class Freshness:
    """The instant at which the youngest successful read began.

    A read proves that its result was the newest when the read began, not when
    it ended. The clock has to count the time in which the instance was
    suspended.

    Args:
        max_age_ms: Age from which nothing is proven any more, in ms.

    Example:
        >>> freshness = Freshness(4000.0)
        >>> freshness.confirm(1000.0)
        >>> freshness.is_fresh(4999.0), freshness.is_fresh(5001.0)
        (True, False)
    """

    def __init__(self, max_age_ms: float) -> None:
        self.max_age_ms = max_age_ms
        self._began_ms: float | None = None

    def confirm(self, began_ms: float) -> None:
        """Notes a successful read that began at `began_ms`."""
        if self._began_ms is None or began_ms > self._began_ms:
            self._began_ms = began_ms

    def age_ms(self, now_ms: float) -> float:
        """Returns the age of the proof in ms, infinity without one."""
        if self._began_ms is None:
            return float("inf")
        return now_ms - self._began_ms

    def is_fresh(self, now_ms: float) -> bool:
        """Returns whether the proof is young enough to act on."""
        return self.age_ms(now_ms) <= self.max_age_ms
