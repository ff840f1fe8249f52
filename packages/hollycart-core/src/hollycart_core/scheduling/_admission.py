"""Decides at arrival whether a request can meet its deadline."""

from collections.abc import Collection

from hollycart_core.scheduling import _endpoint
from hollycart_core.scheduling import _fair_queue
from hollycart_core.scheduling import _policy
from hollycart_core.scheduling import _rate_limiter
from hollycart_core.scheduling import _types

MIN_RETRY_AFTER_MS = 1_000.0
_MEMORY_SHARE = 0.9  # of an endpoint, for one share of a large prompt
_LEAST_RATE = 0.001  # prompt tokens per ms

Accounts = Collection[_endpoint.EndpointAccount]


def drain_rate(accounts: Accounts) -> float:
    """Returns prompt tokens that endpoints process per ms."""
    return sum(a.rate for a in accounts if not a.info.leaving)


def share_count(req: _types.PermitRequest, accounts: Accounts) -> int:
    """Returns on how many endpoints a request has to be held."""
    capacity = min((a.info.capacity_tokens for a in accounts), default=0)
    if capacity <= 0 or req.memory_tokens <= capacity:
        return 1
    return -(-req.memory_tokens // int(capacity * _MEMORY_SHARE))


def service_ms(req: _types.PermitRequest, accounts: Accounts) -> float:
    """Returns the time to the first token on idle endpoints, in ms."""
    rate = drain_rate(accounts) / max(1, len(accounts))
    shares = share_count(req, accounts)
    return req.prompt_tokens / max(rate, _LEAST_RATE) / shares


class Admission:
    """Refuses at once what cannot be served in time.

    Args:
        policy: The placement policy.
        queue: Requests that wait.
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
        self, req: _types.PermitRequest, accounts: Accounts, now_ms: float
    ) -> _types.Refusal | None:
        """Returns why a request is refused, or None if it is admitted."""
        if not self.policy.queues or req.resumed:
            return None
        if drain_rate(accounts) <= 0:
            return _types.Refusal(
                req.permit_id, "overloaded", MIN_RETRY_AFTER_MS
            )
        if share_count(req, accounts) > len(accounts):
            return _types.Refusal(req.permit_id, "payload_too_large", 0.0)
        excess_ms = self._expected_ms(req, accounts, now_ms)
        excess_ms -= req.time_left_ms
        if excess_ms > 0:
            return _types.Refusal(
                req.permit_id,
                "overloaded",
                max(MIN_RETRY_AFTER_MS, excess_ms),
            )
        return self._check_rate(req, now_ms)

    def retry_after_ms(self, accounts: Accounts) -> float:
        """Returns the time until the waiting work is processed, in ms."""
        rate = max(_LEAST_RATE, drain_rate(accounts))
        return max(MIN_RETRY_AFTER_MS, self.queue.queued_work / rate)

    def _check_rate(
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

    def _expected_ms(
        self, req: _types.PermitRequest, accounts: Accounts, now_ms: float
    ) -> float:
        ahead = self.queue.work_ahead(req.team, req.kind, req.weight)
        level = self.policy.engine_priority(req)
        for account in accounts:
            account.advance(now_ms)
            if not account.info.leaving:
                ahead += account.prefill_ahead(level)
        return ahead / drain_rate(accounts) + service_ms(req, accounts)
