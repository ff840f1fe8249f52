"""Token buckets for the limits of rows."""


class _Bucket:
    def __init__(self, level: float, at_ms: float) -> None:
        self.level = level
        self.at_ms = at_ms


class RateLimiter:
    """Bounds admitted tokens per minute and row.

    Example:
        >>> limiter = RateLimiter()
        >>> limiter.acquire("row", 60, 60, now_ms=0.0)
        0.0
        >>> limiter.acquire("row", 1, 60, now_ms=0.0)
        1000.0
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def acquire(
        self, row: str, tokens: int, per_minute: int, now_ms: float
    ) -> float:
        """Takes tokens of a row's limit.

        A request above a whole minute's limit is let through once the bucket
        is full and leaves it in debt.

        Returns:
            Zero if taken, else the time until it would be taken, in ms.
        """
        if per_minute <= 0:
            return 0.0
        rate = per_minute / 60_000.0
        bucket = self._buckets.setdefault(row, _Bucket(per_minute, now_ms))
        refill = (now_ms - bucket.at_ms) * rate
        bucket.level = min(float(per_minute), bucket.level + refill)
        bucket.at_ms = now_ms
        need = min(tokens, per_minute)
        if bucket.level < need:
            return (need - bucket.level) / rate
        bucket.level -= tokens
        return 0.0
