"""Admission control by deadline, memory and rate limit."""

from collections.abc import Collection

from hollycart_core.scheduling import _endpoint
from hollycart_core.scheduling import _fair_queue
from hollycart_core.scheduling import _policy
from hollycart_core.scheduling import _rate_limiter
from hollycart_core.scheduling import _types

MIN_RETRY_AFTER_MS = 1_000.0
# Part of the memory of an endpoint that one share of a large prompt may use.
_MAX_CAPACITY_SHARE = 0.9
_MIN_TOKENS_PER_MS = 0.001  # avoids division by zero

EndpointLoads = Collection[_endpoint.EndpointLoad]


def total_prefill_rate(endpoint_loads: EndpointLoads) -> float:
    """Returns the total prefill rate of the endpoints, in tokens per ms.

    Endpoints that are leaving are not counted.
    """
    return sum(
        e.prefill_tokens_per_ms for e in endpoint_loads if not e.info.leaving
    )


def share_count(
    req: _types.PermitRequest, endpoint_loads: EndpointLoads
) -> int:
    """Returns the number of endpoints that a request needs for its memory."""
    capacity = min((e.info.capacity_tokens for e in endpoint_loads), default=0)
    if capacity <= 0 or req.memory_tokens <= capacity:
        return 1
    return -(-req.memory_tokens // int(capacity * _MAX_CAPACITY_SHARE))


def service_ms(
    req: _types.PermitRequest, endpoint_loads: EndpointLoads
) -> float:
    """Estimates the time to the first token on idle endpoints, in ms."""
    rate = total_prefill_rate(endpoint_loads) / max(1, len(endpoint_loads))
    shares = share_count(req, endpoint_loads)
    return req.prompt_tokens / max(rate, _MIN_TOKENS_PER_MS) / shares


class Admission:
    """Refuses requests on arrival that cannot be served in time.

    Args:
        policy: The placement policy.
        queue: The queued requests.
    """

    def __init__(
        self,
        policy: _policy.PlacementPolicy,
        queue: _fair_queue.FairQueue,
    ) -> None:
        self.policy = policy
        self.queue = queue
        self._limiter = _rate_limiter.RateLimiter()

    def check(
        self,
        req: _types.PermitRequest,
        endpoint_loads: EndpointLoads,
        now_ms: float,
    ) -> _types.Refusal | None:
        """Returns the refusal of a request, or None if it is admitted.

        Resumed requests and policies that do not queue bypass the check.
        """
        if not self.policy.queues_requests or req.resumed:
            return None
        if total_prefill_rate(endpoint_loads) <= 0:
            return _types.Refusal(
                req.permit_id, "overloaded", MIN_RETRY_AFTER_MS
            )
        if share_count(req, endpoint_loads) > len(endpoint_loads):
            return _types.Refusal(req.permit_id, "payload_too_large", 0.0)
        excess_ms = self._expected_first_token_ms(req, endpoint_loads, now_ms)
        excess_ms -= req.time_left_ms
        if excess_ms > 0:
            return _types.Refusal(
                req.permit_id,
                "overloaded",
                max(MIN_RETRY_AFTER_MS, excess_ms),
            )
        return self._check_rate_limit(req, now_ms)

    def retry_after_ms(self, endpoint_loads: EndpointLoads) -> float:
        """Estimates the time until the queued work is served, in ms."""
        rate = max(_MIN_TOKENS_PER_MS, total_prefill_rate(endpoint_loads))
        return max(MIN_RETRY_AFTER_MS, self.queue.queued_work / rate)

    def _check_rate_limit(
        self, req: _types.PermitRequest, now_ms: float
    ) -> _types.Refusal | None:
        wait_ms = self._limiter.acquire(
            f"{req.team}/{req.kind}",
            req.memory_tokens,
            req.tokens_per_minute,
            now_ms,
        )
        if wait_ms <= 0:
            return None
        return _types.Refusal(req.permit_id, "rate_limited", wait_ms)

    def _expected_first_token_ms(
        self,
        req: _types.PermitRequest,
        endpoint_loads: EndpointLoads,
        now_ms: float,
    ) -> float:
        """Estimates the time to the first token of a new request, in ms."""
        ahead_tokens = self.queue.work_ahead(req.team, req.kind, req.weight)
        priority = self.policy.engine_priority(req)
        for endpoint_load in endpoint_loads:
            endpoint_load.advance(now_ms)
            if not endpoint_load.info.leaving:
                ahead_tokens += endpoint_load.prefill_ahead(priority)
        return ahead_tokens / total_prefill_rate(endpoint_loads) + service_ms(
            req, endpoint_loads
        )
