"""The retry budget of one instance."""

_RETRIES_PER_REQUEST = 0.2
_MAX_RETRIES = 20.0  # capacity of the token bucket


class RetryBudget:
    """Bounds retries to a ratio of the requests.

    A token bucket: each request adds `_RETRIES_PER_REQUEST` and each retry
    takes one. The bucket starts full.

    Example:
        >>> budget = RetryBudget()
        >>> all(budget.take() for _ in range(20)), budget.take()
        (True, False)
    """

    def __init__(self) -> None:
        self._available = _MAX_RETRIES

    def record_request(self) -> None:
        """Records a new request."""
        self._available = min(
            _MAX_RETRIES, self._available + _RETRIES_PER_REQUEST
        )

    def take(self) -> bool:
        """Takes one retry from the budget; returns whether it is allowed."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
