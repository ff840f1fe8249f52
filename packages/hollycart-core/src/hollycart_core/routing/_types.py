"""Rows of the routing configuration."""

import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """What a route says about repeating its requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class RouteTarget(NamedTuple):
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Value of the host header, without a port.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        targets: Services with their weights.
        timeout_ms: Longest time without a final answer, in ms.
        target_ms: Time to the first byte that callers expect, in ms.
        max_gap_ms: Longest pause between events of a stream, in ms; 0 for
            other kinds.
        abandon_after_ms: Time without an event after which callers leave a
            stream, in ms.
        max_attempts: Endpoints that one request may run on.
        priority: Rank, 0 is the most urgent.
        public: Whether requests need no API key.
        resumable: Whether a stream may continue on another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_ms: float
    target_ms: float
    max_gap_ms: float = 0.0
    abandon_after_ms: float = float("inf")
    max_attempts: int = 1
    priority: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may run again.

        Example:
            >>> Route("r", "h", "/", RouteKind.STREAMING, (), 1, 1).repeatable
            False
        """
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineParameters(NamedTuple):
    """The published step model of a model engine.

    Attributes:
        slots: Requests that run at the same time.
        memory_tokens: KV cache, in tokens.
        stride: Token steps in a pass that has writers.
        step_ms: Base time of a step, in ms.
        per_sequence_ms: Added to a step for each writing request, in ms.
        context_ms_per_k: Added to a step per 1,000 tokens of context of each
            writing request, in ms.
        prefill_tokens_per_ms: Prompt tokens read in a ms.
        attention_ms_per_m_pairs: Time per million pairs of a prompt token and
            an earlier one, in ms.
        chunk_tokens: Prompt tokens read in a step at most.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_k: float
    prefill_tokens_per_ms: float
    attention_ms_per_m_pairs: float
    chunk_tokens: int


class Service(NamedTuple):
    """Endpoints with the same task.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one endpoint accepts from all
            instances together.
        engine: Step model, None for services that are not model engines.
    """

    name: str
    max_connections: int
    engine: EngineParameters | None = None


class Team(NamedTuple):
    """Who is billed; `api_keys` are the keys in force."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


class Limits(NamedTuple):
    """Bounds on what a caller may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
