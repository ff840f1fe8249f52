"""Permits for requests to endpoints that limit their rate."""

from typing import NamedTuple

# Permits that accumulate while nobody asks, as a time at the limited rate, in
# ms. At least one accumulates, however low the limit.
_BURST_MS = 500.0
# A new grantor does not know what its predecessor has granted, and the two may
# grant at the same time until all instances agree on one of them. For this
# time it grants a part of the limit.
_TAKEOVER_MS = 4000.0
_TAKEOVER_SHARE = 0.5
# Rate that is granted of a limit below it, so that the end of a limit of zero
# is noticed by the response to some request.
_MIN_PER_S = 0.1
# Largest time after which a refused caller is told to return, in ms. One that
# waits longer counts as a new arrival.
_MAX_RETURN_MS = 60_000.0
# Buckets are kept until newer ones need the room.
_MAX_BUCKETS = 1024


class PermitDecision(NamedTuple):
    """Answer to the request for a permit.

    Attributes:
        granted: Whether one more request may be sent to the endpoint.
        wait_ms: Time until the next permit can be granted, in ms.
    """

    granted: bool
    wait_ms: float


class _Bucket(NamedTuple):
    created_ms: float
    updated_ms: float
    permits: float
    last_return_ms: float = float("-inf")


class RatePermits:
    """Grants the permits of endpoints, each as a token bucket.

    One instance grants the permits of an endpoint for all instances. The load
    that it answers: many instances want one endpoint that takes less than one
    request a second from each. A bucket starts empty.

    Callers that were refused on all endpoints return at times of their own, as
    far apart as the permits: those that were told the same time would return
    together, and most of them would be refused again.

    Example:
        >>> permits = RatePermits()
        >>> permits.take("e", 2.0, 0.0)
        PermitDecision(granted=False, wait_ms=1000.0)
        >>> permits.take("e", 2.0, 1000.0).granted
        True
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self,
        endpoint_id: str,
        limit_per_s: float,
        now_ms: float,
        contested: bool | None = None,
    ) -> PermitDecision:
        """Decides on one request.

        Args:
            endpoint_id: Id of the endpoint.
            limit_per_s: Requests a second that the endpoint accepts.
            now_ms: Current instant.
            contested: Whether another instance may grant at the same time; a
                part of the limit is granted then. None if this is not known: it
                is assumed for some seconds after the first request.
        """
        bucket, per_s = self._refill(
            endpoint_id, limit_per_s, now_ms, contested
        )
        granted = bucket.permits >= 1.0
        if granted:
            bucket = bucket._replace(permits=bucket.permits - 1.0)
        self._store(endpoint_id, bucket)
        return PermitDecision(granted, _wait_ms(bucket, per_s))

    def plan_return(
        self,
        endpoint_id: str,
        limit_per_s: float,
        now_ms: float,
        contested: bool | None = None,
    ) -> float:
        """Returns the time after which a refused caller returns, in ms.

        Args:
            endpoint_id: Id of the endpoint that it may be sent to then.
            limit_per_s: Requests a second that the endpoint accepts.
            now_ms: Current instant.
            contested: As for `take`.
        """
        bucket, per_s = self._refill(
            endpoint_id, limit_per_s, now_ms, contested
        )
        return_ms = max(
            now_ms + _wait_ms(bucket, per_s),
            bucket.last_return_ms + 1000.0 / per_s,
        )
        return_ms = min(return_ms, now_ms + _MAX_RETURN_MS)
        self._store(endpoint_id, bucket._replace(last_return_ms=return_ms))
        return return_ms - now_ms

    def drop(self, endpoint_id: str) -> None:
        """Drops the bucket of an endpoint that another instance grants for."""
        self._buckets.pop(endpoint_id, None)

    def clear(self) -> None:
        """Drops all buckets, after a time in which others may have granted."""
        self._buckets.clear()

    def _refill(
        self,
        endpoint_id: str,
        limit_per_s: float,
        now_ms: float,
        contested: bool | None = None,
    ) -> tuple[_Bucket, float]:
        """Returns the bucket as of now and the rate at which it is filled."""
        bucket = self._buckets.get(endpoint_id) or _Bucket(now_ms, now_ms, 0.0)
        per_s = max(_MIN_PER_S, limit_per_s)
        if contested is None:
            contested = now_ms - bucket.created_ms < _TAKEOVER_MS
        if contested:
            per_s *= _TAKEOVER_SHARE
        depth = max(1.0, per_s * _BURST_MS / 1000.0)
        added = max(0.0, now_ms - bucket.updated_ms) * per_s / 1000.0
        permits = min(depth, bucket.permits + added)
        return bucket._replace(updated_ms=now_ms, permits=permits), per_s

    def _store(self, endpoint_id: str, bucket: _Bucket) -> None:
        self._buckets.pop(endpoint_id, None)
        self._buckets[endpoint_id] = bucket
        if len(self._buckets) > _MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]


def _wait_ms(bucket: _Bucket, per_s: float) -> float:
    return max(0.0, 1.0 - bucket.permits) * 1000.0 / per_s
