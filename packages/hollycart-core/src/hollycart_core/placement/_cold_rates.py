"""Rates of requests to cold endpoints, and the part of one instance."""

from typing import NamedTuple

# Share of the service's rate for cold endpoints that a grantor grants. Three
# times the granted rate may arrive in one second, see `_granted_within`.
_GRANTED_SHARE = 0.6
# Smallest rate, so that the end of the cold time is noticed by some response.
_MIN_PER_S = 0.1
# Requests in any one second from which on each instance keeps to its share of
# the bound by itself.
_MIN_SHARE = 2.0
# Instances may differ in how many of them they know: each assumes that there
# are more by this share, and at least by one.
_UNKNOWN_SHARE = 0.25
# Part of the rate that is granted while some instances may still keep to shares
# that others replace by permits.
_TRANSITION_SHARE = 0.5
# Length of the window in which sends are counted, in ms: a second and what a
# send may be delayed by after it was counted.
_WINDOW_MS = 1050.0
# Time after which an unused part of the share is free again, in ms.
_VALIDITY_MS = 500.0


class ColdRate(NamedTuple):
    """How many requests a cold endpoint may get.

    Attributes:
        per_s: Requests a second that its grantor grants to all instances.
        share: Requests in any one second that each instance may send without a
            permit; 0 if a permit is needed.
    """

    per_s: float
    share: int


def cold_rate(
    cold_per_s: float, overage: float, slack: float, instances: int
) -> ColdRate:
    """Returns how many requests a cold endpoint may get.

    Args:
        cold_per_s: Requests a second that a cold endpoint serves.
        overage: Factor of this rate up to which the requests in any one second
            may go.
        slack: Requests in any one second in addition to that.
        instances: Number of instances that may send requests.

    Example:
        >>> cold_rate(14.0, 1.5, 5.0, 59)
        ColdRate(per_s=8.4, share=0)
        >>> cold_rate(14.0, 1.5, 5.0, 8)
        ColdRate(per_s=4.2, share=2)
    """
    bound = cold_per_s * overage + slack
    per_s = min(_GRANTED_SHARE * cold_per_s, _granted_within(bound))
    if instances <= _assumed(bound / _MIN_SHARE):
        per_s *= _TRANSITION_SHARE
    if bound < _MIN_SHARE * instances:
        return ColdRate(per_s, 0)
    return ColdRate(per_s, max(1, int(bound / _assumed(instances))))


def _granted_within(bound: float) -> float:
    """Returns the largest rate of grants that keeps a bound in any one second.

    What arrives in one second was granted within 1.5 s, since a permit is valid
    for 500 ms, or is a burst: of one permit or those of 500 ms, whichever is
    more. A second grantor, that takes over or is not known to the first one,
    adds the same at half of the rate.
    """
    per_s = min(bound / 3.0, (bound - 1.0) / 2.75, (bound - 2.0) / 2.25)
    return max(_MIN_PER_S, per_s)


def _assumed(instances: float) -> float:
    return instances * (1.0 + _UNKNOWN_SHARE) + 1.0


class LocalShares:
    """Counts the requests of one instance to cold endpoints.

    A request takes a part of the share when its endpoint is chosen, and is
    counted for a second from its sending.

    Example:
        >>> shares = LocalShares()
        >>> shares.take("e", "a1", 1, 0.0), shares.take("e", "a2", 1, 0.0)
        (True, False)
        >>> shares.send("e", "a1", 100.0)
        True
        >>> shares.wait_ms("e", 1, 100.0)
        1050.0
    """

    def __init__(self) -> None:
        # Instants until which attempts count, and whether they were sent.
        self._counted: dict[str, dict[str, tuple[float, bool]]] = {}

    def take(
        self, endpoint_id: str, attempt_id: str, share: int, now_ms: float
    ) -> bool:
        """Takes a part of the share for an attempt, unless it holds one.

        Args:
            endpoint_id: Id of the endpoint.
            attempt_id: Id of the attempt.
            share: Requests of this instance in any one second.
            now_ms: Current instant.

        Returns:
            Whether the request may be sent, within 500 ms.
        """
        counted = self._remove_past(endpoint_id, now_ms)
        if attempt_id in counted:
            return True
        if len(counted) >= share:
            return False
        counted[attempt_id] = (now_ms + _VALIDITY_MS, False)
        self._counted[endpoint_id] = counted
        return True

    def send(self, endpoint_id: str, attempt_id: str, now_ms: float) -> bool:
        """Counts the sending of a request; False if it may not be sent."""
        counted = self._remove_past(endpoint_id, now_ms)
        if attempt_id not in counted:
            return False
        counted[attempt_id] = (now_ms + _WINDOW_MS, True)
        return True

    def release(self, endpoint_id: str, attempt_id: str) -> None:
        """Frees the part of an attempt that was not sent."""
        counted = self._counted.get(endpoint_id, {})
        if attempt_id in counted and not counted[attempt_id][1]:
            del counted[attempt_id]

    def wait_ms(self, endpoint_id: str, share: int, now_ms: float) -> float:
        """Returns the time until a part of the share is free, in ms."""
        ends_ms = sorted(
            end_ms
            for end_ms, _ in self._counted.get(endpoint_id, {}).values()
            if end_ms > now_ms
        )
        if len(ends_ms) < share:
            return 0.0
        return ends_ms[len(ends_ms) - share] - now_ms

    def _remove_past(
        self, endpoint_id: str, now_ms: float
    ) -> dict[str, tuple[float, bool]]:
        counted = self._counted.get(endpoint_id)
        if counted is None:
            return {}
        for attempt_id in [a for a, c in counted.items() if c[0] <= now_ms]:
            del counted[attempt_id]
        if not counted:
            del self._counted[endpoint_id]
        return counted
