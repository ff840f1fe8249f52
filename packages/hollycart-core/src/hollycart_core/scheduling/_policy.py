"""Placement policies, which choose the endpoint for a request."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import random
from typing import NamedTuple
from typing import Protocol

from hollycart_core.scheduling import _endpoint
from hollycart_core.scheduling import _types

_LOWEST_PRIORITY = 99  # less urgent than every priority level in use
# A request waits for a cached prefix if that costs less than this share of the
# cost of starting now.
_MAX_WAIT_COST_RATIO = 0.9
_KEPT_FREE_ENDPOINTS = 1
# One chunk and the expected rest of the batch step that is running.
_MAX_ONE_STEP_TOKENS = 1.5 * _endpoint.PREFILL_CHUNK_TOKENS
_EXPECTED_STEP_REMAINDER = 0.5  # share of the batch step that is running


class Candidate(NamedTuple):
    """An endpoint that may take the request.

    Attributes:
        endpoint_load: Estimated load of the endpoint.
        cached_tokens: Expected prefix hit of the request there, in tokens.
    """

    endpoint_load: _endpoint.EndpointLoad
    cached_tokens: int


class PoolLoad(NamedTuple):
    """Load of the whole pool.

    Attributes:
        short_tokens_per_ms: Arrival rate of short requests, in prompt tokens
            per ms.
        endpoints: Number of endpoints that accept new requests.
        prefill_tokens_per_ms: Mean prefill rate of an endpoint.
    """

    short_tokens_per_ms: float
    endpoints: int
    prefill_tokens_per_ms: float


class PlacementPolicy(Protocol):
    """Chooses an endpoint for a request.

    Attributes:
        queues_requests: Whether requests queue at the owner of the pool and
            pass admission control. Otherwise each request is placed at once.
    """

    queues_requests: bool

    def engine_priority(self, req: _types.PermitRequest) -> int:
        """Returns the priority to send to the endpoint; zero runs first."""

    def has_room_for_medium(
        self,
        endpoint_loads: Collection[_endpoint.EndpointLoad],
        load: PoolLoad,
    ) -> bool:
        """Returns whether a prompt of medium length may be placed now."""

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns the chosen endpoint, or None to keep the request queued."""


class RandomPolicy:
    """Chooses an endpoint uniformly at random."""

    queues_requests = False

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def engine_priority(self, req: _types.PermitRequest) -> int:
        """Returns the same priority for all requests."""
        del req
        return 0

    def has_room_for_medium(
        self,
        endpoint_loads: Collection[_endpoint.EndpointLoad],
        load: PoolLoad,
    ) -> bool:
        """Returns True, as requests do not queue at the owner."""
        del endpoint_loads, load
        return True

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns a random endpoint, or None without candidates."""
        del req, load
        return self.rng.choice(candidates) if candidates else None


class RoundRobinPolicy(RandomPolicy):
    """Chooses endpoints in round-robin order of their ids."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._counter = 0

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns the next endpoint, or None without candidates."""
        del req, load
        if not candidates:
            return None
        self._counter += 1
        ordered = sorted(
            candidates, key=lambda c: c.endpoint_load.info.endpoint_id
        )
        return ordered[self._counter % len(ordered)]


class LeastLoadedPolicy(RandomPolicy):
    """Chooses the endpoint with the lowest value of a load measure.

    Args:
        rng: Breaks ties.
        load_measure: Returns the load of a candidate.
    """

    def __init__(
        self, rng: random.Random, load_measure: Callable[[Candidate], float]
    ) -> None:
        super().__init__(rng)
        self.load_measure = load_measure

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns the least loaded endpoint, or None without candidates."""
        del req, load
        if not candidates:
            return None
        return min(
            candidates, key=lambda c: (self.load_measure(c), self.rng.random())
        )


class SplitPolicy:
    """Separates short requests from long prefill as far as load allows.

    A request queues at the owner of the pool until the pending prefill of an
    endpoint is within its bound. A short request goes to the endpoint with the
    least pending prefill of the same or a more urgent priority, and avoids
    endpoints that run long prefill. An endpoint runs one long prefill at a
    time. The load of short requests determines how many endpoints may run long
    prefill.

    Args:
        rng: Breaks ties.
        short_utilization: Target utilization of the endpoints that are
            reserved for short requests. Lower values protect short requests
            more.
        backlog_ms: Upper bound on the pending prefill of the same or a more
            urgent priority at an endpoint, in ms. A short request starts
            there only within this bound.
    """

    queues_requests = True

    def __init__(
        self,
        rng: random.Random,
        short_utilization: float = 0.45,
        backlog_ms: float = 150.0,
    ) -> None:
        self.rng = rng
        self.short_utilization = short_utilization
        self.backlog_ms = backlog_ms

    def engine_priority(self, req: _types.PermitRequest) -> int:
        """Returns the size class, plus one for rows of priority 2 or higher.

        Higher numbers are less urgent.
        """
        return req.size_class + (1 if req.priority >= 2 else 0)

    def has_room_for_medium(
        self,
        endpoint_loads: Collection[_endpoint.EndpointLoad],
        load: PoolLoad,
    ) -> bool:
        """Returns whether one more endpoint may run long prefill."""
        long_prefill_count = sum(
            _long_prefill_tokens(e) > 0 for e in endpoint_loads
        )
        return long_prefill_count < load.endpoints - self.reserve(load)

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns the endpoint with the earliest expected first token."""
        priority = self.engine_priority(req)
        eligible = candidates
        if not req.is_short:
            eligible = self._without_long_prefill(candidates, load)
        eligible = [c for c in eligible if self._can_start(c, req, priority)]
        if not eligible:
            return None
        if req.is_short:
            eligible = self._keep_endpoint_free(eligible, req, priority)
        best = min(
            eligible,
            key=lambda c: (
                self._expected_tokens(c, req, priority),
                self.rng.random(),
            ),
        )
        if not req.is_short and self._should_wait_for_cache(
            best, candidates, req, priority
        ):
            return None
        return best

    def _keep_endpoint_free(
        self,
        eligible: Sequence[Candidate],
        req: _types.PermitRequest,
        priority: int,
    ) -> Sequence[Candidate]:
        """Keeps the last free endpoint for prompts of several batch steps.

        A prompt that fits into one batch step may overtake long prefill
        instead. It then gets its first token as soon as a longer short prompt
        does on a free endpoint.
        """
        free = [
            c
            for c in eligible
            if c.endpoint_load.prefill_ahead(_LOWEST_PRIORITY) <= 0
        ]
        if len(free) > _KEPT_FREE_ENDPOINTS:
            return eligible
        overtaking = [
            c
            for c in eligible
            if c.endpoint_load.prefill_behind(priority) > 0
            and self._expected_tokens(c, req, priority) <= _MAX_ONE_STEP_TOKENS
        ]
        return overtaking or eligible

    def _should_wait_for_cache(
        self,
        best: Candidate,
        candidates: Sequence[Candidate],
        req: _types.PermitRequest,
        priority: int,
    ) -> bool:
        """Returns whether to wait for an endpoint with a longer cached prefix.

        It waits if that endpoint, with its pending prefill, still takes less
        than `_MAX_WAIT_COST_RATIO` of the cost of starting now.
        """
        current_cost = self._expected_tokens(best, req, priority)
        return any(
            self._expected_tokens(c, req, priority)
            < _MAX_WAIT_COST_RATIO * current_cost
            for c in candidates
            if c.cached_tokens > best.cached_tokens
        )

    def reserve(self, load: PoolLoad) -> int:
        """Returns the number of endpoints that must not run long prefill."""
        if load.endpoints <= 1 or load.short_tokens_per_ms <= 0:
            return 0
        num_required = load.short_tokens_per_ms / (
            load.prefill_tokens_per_ms * self.short_utilization
        )
        return min(load.endpoints // 2, max(1, round(num_required)))

    def _without_long_prefill(
        self, candidates: Sequence[Candidate], load: PoolLoad
    ) -> list[Candidate]:
        """Returns candidates that may start a long prefill."""
        if not self.has_room_for_medium(
            [c.endpoint_load for c in candidates], load
        ):
            return []
        return [
            c for c in candidates if _long_prefill_tokens(c.endpoint_load) <= 0
        ]

    def _can_start(
        self, candidate: Candidate, req: _types.PermitRequest, priority: int
    ) -> bool:
        """Returns whether pending prefill is within the request's bound."""
        endpoint_load = candidate.endpoint_load
        ahead = endpoint_load.prefill_ahead(priority)
        if req.is_short:
            return (
                ahead <= self.backlog_ms * endpoint_load.prefill_tokens_per_ms
            )
        return ahead <= _endpoint.PREFILL_CHUNK_TOKENS

    def _expected_tokens(
        self, candidate: Candidate, req: _types.PermitRequest, priority: int
    ) -> float:
        """Estimates the time to the first token, in tokens of prefill."""
        endpoint_load = candidate.endpoint_load
        uncached_tokens = max(0, req.prompt_tokens - candidate.cached_tokens)
        ahead = endpoint_load.prefill_ahead(priority)
        behind = endpoint_load.prefill_behind(priority)
        step_tokens = min(_endpoint.PREFILL_CHUNK_TOKENS, behind)
        return uncached_tokens + ahead + step_tokens * _EXPECTED_STEP_REMAINDER


def _long_prefill_tokens(endpoint_load: _endpoint.EndpointLoad) -> float:
    """Returns pending prefill of all engine priorities but the most urgent."""
    return endpoint_load.prefill_ahead(
        _LOWEST_PRIORITY
    ) - endpoint_load.prefill_ahead(0)


POLICIES: dict[str, Callable[[random.Random], PlacementPolicy]] = {
    "split": SplitPolicy,
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-requests": lambda rng: LeastLoadedPolicy(
        rng, lambda c: c.endpoint_load.requests
    ),
    "least-tokens": lambda rng: LeastLoadedPolicy(
        rng, lambda c: c.endpoint_load.outstanding_tokens
    ),
    "prefix-affinity": lambda rng: LeastLoadedPolicy(
        rng,
        lambda c: (-c.cached_tokens, c.endpoint_load.requests),  # type: ignore[arg-type,return-value]
    ),
}
