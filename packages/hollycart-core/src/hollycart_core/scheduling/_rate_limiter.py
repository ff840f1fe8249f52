"""Token buckets for the rate limits of table rows."""


class _Bucket:
    """A token bucket.

    Args:
        level: Available tokens; negative while the bucket is in debt.
        updated_ms: Monotonic time of the last refill, in ms.
    """

    def __init__(self, level: float, updated_ms: float) -> None:
        self.level = level
        self.updated_ms = updated_ms


class RateLimiter:
    """Limits the admitted tokens per minute of each row.

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
        self, row: str, tokens: int, tokens_per_minute: int, now_ms: float
    ) -> float:
        """Takes tokens from the bucket of a row.

        A request for more than the limit of a whole minute is admitted once
        the bucket is full. The bucket then goes into debt.

        Args:
            row: Key of the row.
            tokens: Tokens to take.
            tokens_per_minute: Rate limit of the row; zero for no limit.
            now_ms: Monotonic time, in ms.

        Returns:
            Zero if the tokens were taken, otherwise the time until they can
            be taken, in ms.
        """
        if tokens_per_minute <= 0:
            return 0.0
        tokens_per_ms = tokens_per_minute / 60_000.0
        bucket = self._buckets.setdefault(
            row, _Bucket(tokens_per_minute, now_ms)
        )
        refill = (now_ms - bucket.updated_ms) * tokens_per_ms
        bucket.level = min(float(tokens_per_minute), bucket.level + refill)
        bucket.updated_ms = now_ms
        required_tokens = min(tokens, tokens_per_minute)
        if bucket.level < required_tokens:
            return (required_tokens - bucket.level) / tokens_per_ms
        bucket.level -= tokens
        return 0.0
