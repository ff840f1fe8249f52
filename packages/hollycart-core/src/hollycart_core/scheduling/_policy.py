"""Placement policies: which endpoint a request goes to."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import random
from typing import NamedTuple
from typing import Protocol

from hollycart_core.scheduling import _endpoint
from hollycart_core.scheduling import _types

_ANY = 99  # below every priority level
_WAIT_GAIN = 0.9  # part of the time that waiting must at most take
_SCARCE = 1  # free endpoints
_ONE_STEP_TOKENS = 1.5 * _endpoint.CHUNK_TOKENS
_STEP_LEFT = 0.5  # expected rest of a step that is under way


class Candidate(NamedTuple):
    """An endpoint that may take the request.

    Attributes:
        endpoint_load: The owner's account of the endpoint.
        cached_tokens: Expected prefix hit of the request there, in tokens.
    """

    endpoint_load: _endpoint.EndpointLoad
    cached_tokens: int


class PoolLoad(NamedTuple):
    """Load of the whole pool.

    Attributes:
        short_rate: Prompt tokens of short requests arriving per ms.
        endpoints: Number of endpoints that take new work.
        rate: Prompt tokens that one endpoint processes per ms.
    """

    short_rate: float
    endpoints: int
    rate: float


class PlacementPolicy(Protocol):
    """Chooses an endpoint for a request.

    Attributes:
        queues: Whether requests wait at the owner and admission applies;
            a policy that does not queue places each request at once.
    """

    queues: bool

    def engine_priority(self, req: _types.PermitRequest) -> int:
        """Returns the priority that the endpoint is given."""

    def has_room_for_medium(
        self,
        endpoint_loads: Collection[_endpoint.EndpointLoad],
        load: PoolLoad,
    ) -> bool:
        """Returns False if no prompt of medium length can be placed."""

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns an endpoint, or None if the request has to wait."""


class RandomPolicy:
    """Takes any endpoint."""

    queues = False

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def engine_priority(self, req: _types.PermitRequest) -> int:
        """Returns one level for all requests."""
        del req
        return 0

    def has_room_for_medium(
        self,
        endpoint_loads: Collection[_endpoint.EndpointLoad],
        load: PoolLoad,
    ) -> bool:
        """Returns True; requests do not wait at the owner."""
        del endpoint_loads, load
        return True

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns an endpoint drawn at random."""
        del req, load
        return self.rng.choice(candidates) if candidates else None


class RoundRobinPolicy(RandomPolicy):
    """Takes the endpoints in turn."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._turn = 0

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns the next endpoint in turn."""
        del req, load
        if not candidates:
            return None
        self._turn += 1
        ordered = sorted(
            candidates, key=lambda c: c.endpoint_load.info.endpoint_id
        )
        return ordered[self._turn % len(ordered)]


class LeastPolicy(RandomPolicy):
    """Takes the endpoint with the least of some measure of load.

    Args:
        rng: Source of randomness for ties.
        load_of: The measure.
    """

    def __init__(
        self, rng: random.Random, load_of: Callable[[Candidate], float]
    ) -> None:
        super().__init__(rng)
        self.load_of = load_of

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns the least loaded endpoint."""
        del req, load
        if not candidates:
            return None
        return min(
            candidates, key=lambda c: (self.load_of(c), self.rng.random())
        )


class SplitPolicy:
    """Keeps short requests apart from long prefill as far as load allows.

    A request waits at the owner until an endpoint can start it soon. Short
    requests go where the least work of their priority or above is pending
    and avoid endpoints in the middle of long prefill. Long prefill runs one
    at a time per endpoint, on as many endpoints as the short load leaves.

    Args:
        rng: Source of randomness for ties.
        short_utilization: Utilization that the endpoints kept for short
            requests may reach; lower values protect short requests more.
        backlog_ms: Work of its priority or above that may be pending at an
            endpoint before a request waits at the owner instead, in ms.
    """

    queues = True

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
        """Returns the size band, one more for patient rows."""
        return req.size_band + (1 if req.priority >= 2 else 0)

    def has_room_for_medium(
        self,
        endpoint_loads: Collection[_endpoint.EndpointLoad],
        load: PoolLoad,
    ) -> bool:
        """Returns whether one more endpoint may do long prefill."""
        in_long = sum(_long_prefill(a) > 0 for a in endpoint_loads)
        return in_long < load.endpoints - self.reserve(load)

    def choose(
        self,
        req: _types.PermitRequest,
        candidates: Sequence[Candidate],
        load: PoolLoad,
    ) -> Candidate | None:
        """Returns the endpoint with the earliest expected first token."""
        priority = self.engine_priority(req)
        usable = candidates
        if not req.is_short:
            usable = self._open_for_long(candidates, load)
        usable = [c for c in usable if self._can_start(c, req, priority)]
        if not usable:
            return None
        if req.is_short:
            usable = self._spare_scarce(usable, req, priority)
        best = min(
            usable,
            key=lambda c: (
                self._expected_tokens(c, req, priority),
                self.rng.random(),
            ),
        )
        if not req.is_short and self._better_later(
            best, candidates, req, priority
        ):
            return None
        return best

    def _spare_scarce(
        self,
        usable: Sequence[Candidate],
        req: _types.PermitRequest,
        priority: int,
    ) -> Sequence[Candidate]:
        """Leaves the last free endpoint to prompts of more than one step.

        A prompt of one step that overtakes long prefill still starts as soon
        as a longer short prompt does on a free endpoint.
        """
        free = [c for c in usable if c.endpoint_load.prefill_ahead(_ANY) <= 0]
        if len(free) > _SCARCE:
            return usable
        overtaking = [
            c
            for c in usable
            if c.endpoint_load.prefill_behind(priority) > 0
            and self._expected_tokens(c, req, priority) <= _ONE_STEP_TOKENS
        ]
        return overtaking or usable

    def _better_later(
        self,
        best: Candidate,
        candidates: Sequence[Candidate],
        req: _types.PermitRequest,
        priority: int,
    ) -> bool:
        """Returns whether a cached prefix elsewhere is worth waiting for."""
        now = self._expected_tokens(best, req, priority)
        return any(
            self._expected_tokens(c, req, priority) < _WAIT_GAIN * now
            for c in candidates
            if c.cached_tokens > best.cached_tokens
        )

    def reserve(self, load: PoolLoad) -> int:
        """Returns how many endpoints are kept free of long prefill."""
        if load.endpoints <= 1 or load.short_rate <= 0:
            return 0
        busy = load.short_rate / (load.rate * self.short_utilization)
        return min(load.endpoints // 2, max(1, round(busy)))

    def _open_for_long(
        self, candidates: Sequence[Candidate], load: PoolLoad
    ) -> list[Candidate]:
        if not self.has_room_for_medium(
            [c.endpoint_load for c in candidates], load
        ):
            return []
        return [c for c in candidates if _long_prefill(c.endpoint_load) <= 0]

    def _can_start(
        self, candidate: Candidate, req: _types.PermitRequest, priority: int
    ) -> bool:
        endpoint_load = candidate.endpoint_load
        ahead = endpoint_load.prefill_ahead(priority)
        if req.is_short:
            return ahead <= self.backlog_ms * endpoint_load.rate
        return ahead <= _endpoint.CHUNK_TOKENS

    def _expected_tokens(
        self, candidate: Candidate, req: _types.PermitRequest, priority: int
    ) -> float:
        endpoint_load = candidate.endpoint_load
        own = max(0, req.prompt_tokens - candidate.cached_tokens)
        ahead = endpoint_load.prefill_ahead(priority)
        behind = endpoint_load.prefill_behind(priority)
        step = min(_endpoint.CHUNK_TOKENS, behind)
        return own + ahead + step * _STEP_LEFT


def _long_prefill(endpoint_load: _endpoint.EndpointLoad) -> float:
    return endpoint_load.prefill_ahead(_ANY) - endpoint_load.prefill_ahead(0)


POLICIES: dict[str, Callable[[random.Random], PlacementPolicy]] = {
    "split": SplitPolicy,
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-requests": lambda rng: LeastPolicy(
        rng, lambda c: c.endpoint_load.requests
    ),
    "least-tokens": lambda rng: LeastPolicy(
        rng, lambda c: c.endpoint_load.outstanding_tokens
    ),
    "prefix-affinity": lambda rng: LeastPolicy(
        rng,
        lambda c: (-c.cached_tokens, c.endpoint_load.requests),  # type: ignore[arg-type,return-value]
    ),
}
