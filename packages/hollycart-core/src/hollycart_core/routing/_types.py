"""Types of the routing configuration."""

import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried after they may have run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class RouteTarget(NamedTuple):
    """A service behind a route; requests are divided by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """A rule for requests to one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, without a port.
        path_prefix: Begins and ends with a slash.
        kind: Whether requests may be retried.
        targets: Services with their weights.
        timeout_ms: Time after which a request without a final answer fails, in
            ms.
        target_ms: Time to the first byte that callers expect, in ms.
        max_gap_ms: Longest acceptable gap between events of a stream, in ms; 0
            for other kinds.
        abandon_after_ms: Time without an event after which callers abandon a
            stream, in ms.
        max_attempts: Number of endpoints that one request may run on.
        priority: Priority of the requests; 0 is the most urgent.
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
        """Whether a request that may have run may be retried.

        Example:
            >>> Route("r", "h", "/", RouteKind.STREAMING, (), 1, 1).repeatable
            False
        """
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


# Mean lengths for services that publish none, in tokens.
DEFAULT_USUAL_PROMPT_TOKENS = 14000.0
DEFAULT_USUAL_ANSWER_TOKENS = 1500.0


class EngineParameters(NamedTuple):
    """The published step model of a model engine.

    Attributes:
        slots: Number of requests that run concurrently.
        memory_tokens: Size of the KV cache, in tokens.
        stride: Number of token steps in a batch step with requests in decode.
        step_ms: Base time of a token step, in ms.
        per_sequence_ms: Added to a token step for each request in decode, in
            ms.
        context_ms_per_k: Added to a token step per 1,000 tokens of context of
            each request in decode, in ms.
        prefill_tokens_per_ms: Prompt tokens prefilled per ms, without the
            attention between them.
        attention_ms_per_m_pairs: Attention time per million pairs of a prompt
            token and an earlier one, in ms.
        chunk_tokens: Largest number of prompt tokens prefilled in a step.
        usual_prompt_tokens: Mean length of the service's prompts, in tokens.
        usual_answer_tokens: Mean length of the service's answers, in tokens.
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
    usual_prompt_tokens: float = DEFAULT_USUAL_PROMPT_TOKENS
    usual_answer_tokens: float = DEFAULT_USUAL_ANSWER_TOKENS


class Service(NamedTuple):
    """A group of endpoints with the same function.

    Attributes:
        name: Name of the service.
        max_connections: Number of connections that one endpoint accepts from
            all instances together.
        engine: Parameters of the step model; None for services that are not
            model engines.
        health_path: Path at which an endpoint states whether it is healthy;
            empty if there is none.
        cold_start_ms: Time for which an endpoint is cold after its start, in
            ms.
        cold_per_s: Requests a second that a cold endpoint serves, from all
            instances together; 0 if endpoints of the service are never cold.
    """

    name: str
    max_connections: int
    engine: EngineParameters | None = None
    health_path: str = ""
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0


class Team(NamedTuple):
    """A customer.

    Attributes:
        name: Name under which requests are billed.
        api_keys: All valid keys.
        priority: Priority of the team's requests, if any.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


class Limits(NamedTuple):
    """Limits on requests and connections of callers.

    Attributes:
        max_header_bytes: Largest head of a request, in bytes.
        max_body_bytes: Largest body of a request, in bytes.
        header_timeout_ms: Time limit for receiving the head, in ms.
        idle_timeout_ms: Time after which an idle connection is closed, in ms.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
