"""A retry budget that all instances share."""

import collections

# Share of the budget that is used; the rest covers counts that lag behind.
_USABLE_SHARE = 0.8


class SharedRetryBudget:
    """Bounds the retries in a sliding window.

    Each instance is allowed the ratio of its own requests and an equal share of
    the slack, so that the bound holds for the sum without coordination.

    Args:
        ratio: Retries per request.
        window_ms: Length of the window, in ms.
        slack: Retries per window in addition to the ratio, for all instances
            together.

    Example:
        >>> budget = SharedRetryBudget(0.2, 10000.0, 10)
        >>> [budget.take("s", 0.0, 4) for _ in range(3)]
        [True, True, False]
    """

    def __init__(self, ratio: float, window_ms: float, slack: float) -> None:
        self.ratio = ratio
        self.window_ms = window_ms
        self.slack = slack
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Records a new request to a service."""
        self._in_window(self._requests, service, now_ms).append(now_ms)

    def take(self, service: str, now_ms: float, instances: int) -> bool:
        """Takes one retry from the budget; returns whether it is allowed.

        Args:
            service: Name of the service.
            now_ms: Current instant.
            instances: Number of instances that share the slack.
        """
        retries = self._in_window(self._retries, service, now_ms)
        if len(retries) + 1 > self._allowance(service, now_ms, instances):
            return False
        retries.append(now_ms)
        return True

    def left(self, service: str, now_ms: float, instances: int) -> float:
        """Returns the number of retries that are left to this instance."""
        used = len(self._in_window(self._retries, service, now_ms))
        return self._allowance(service, now_ms, instances) - used

    def _allowance(self, service: str, now_ms: float, instances: int) -> float:
        requests = len(self._in_window(self._requests, service, now_ms))
        own_slack = self.slack / max(1, instances)
        return _USABLE_SHARE * (self.ratio * requests + own_slack)

    def _in_window(
        self,
        counts: dict[str, collections.deque[float]],
        service: str,
        now_ms: float,
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and times[0] < now_ms - self.window_ms:
            times.popleft()
        return times
