"""Bounds repeated attempts to a share of the requests."""

_SHARE = 0.2  # repeated attempts per request
_BURST = 20.0  # attempts


class RetryBudget:
    """Earns a part of an attempt with each request.

    Example:
        >>> budget = RetryBudget()
        >>> all(budget.take() for _ in range(20)), budget.take()
        (True, False)
    """

    def __init__(self) -> None:
        self._left = _BURST

    def record_request(self) -> None:
        """Notes a new request."""
        self._left = min(_BURST, self._left + _SHARE)

    def take(self) -> bool:
        """Takes one repeated attempt, or returns False."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
