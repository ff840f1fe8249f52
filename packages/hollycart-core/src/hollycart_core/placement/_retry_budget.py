"""A budget of repeated attempts that all instances share."""

import collections

_KEPT = 0.8  # part of the budget that is used, the rest covers lag of counts


class SharedRetryBudget:
    """Bounds repeated attempts in a sliding window.

    Every instance uses the ratio of its own requests and an equal part of the
    slack, so that the sum holds without asking anyone.

    Args:
        ratio: Repeated attempts per request.
        window_ms: Length of the window, in ms.
        slack: Repeated attempts per window beyond the ratio, of all instances
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
        self._repeats: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Notes a new request to a service."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def take(self, service: str, now_ms: float, instances: int) -> bool:
        """Takes one repeated attempt, or returns False.

        Args:
            service: Name of the service.
            now_ms: Current instant.
            instances: Number of instances that share the slack.
        """
        repeats = self._recent(self._repeats, service, now_ms)
        if len(repeats) + 1 > self._allowed(service, now_ms, instances):
            return False
        repeats.append(now_ms)
        return True

    def left(self, service: str, now_ms: float, instances: int) -> float:
        """Returns how many repeated attempts are left."""
        used = len(self._recent(self._repeats, service, now_ms))
        return self._allowed(service, now_ms, instances) - used

    def _allowed(self, service: str, now_ms: float, instances: int) -> float:
        requests = len(self._recent(self._requests, service, now_ms))
        own_slack = self.slack / max(1, instances)
        return _KEPT * (self.ratio * requests + own_slack)

    def _recent(
        self,
        counts: dict[str, collections.deque[float]],
        service: str,
        now_ms: float,
    ) -> collections.deque[float]:
        found = counts.setdefault(service, collections.deque())
        while found and found[0] < now_ms - self.window_ms:
            found.popleft()
        return found
