"""Messages of the scheduler."""

from typing import NamedTuple
from typing import TypeAlias

SHORT_TOKENS = 4_096
LONG_TOKENS = 32_768


class PermitRequest(NamedTuple):
    """Asks the owner of a pool for a permit to use an endpoint.

    Attributes:
        permit_id: Id of the attempt, unique.
        instance_id: The instance that will stream from the endpoint.
        team: Team of the caller.
        kind: Request kind.
        weight: Weight of the row.
        priority: Priority level of the row, zero the most urgent.
        prompt_tokens: Estimated length of the prompt, in tokens.
        output_tokens: Bound on the answer, in tokens.
        time_left_ms: Time to the deadline when the request was sent, in ms.
        max_running: Bound on requests of the row at a time.
        tokens_per_minute: Bound on admitted tokens of the row; zero for none.
        prefix_hashes: Chained hashes of the prompt's leading blocks.
        excluded: Endpoints that failed earlier attempts of the request.
        resumed: Whether the request was admitted before; it is not refused
            for load again.
    """

    permit_id: str
    instance_id: str
    team: str
    kind: str
    weight: float
    priority: int
    prompt_tokens: int
    output_tokens: int
    time_left_ms: float
    max_running: int = 1_000_000
    tokens_per_minute: int = 0
    prefix_hashes: tuple[int, ...] = ()
    excluded: tuple[str, ...] = ()
    resumed: bool = False

    @property
    def memory_tokens(self) -> int:
        """KV-cache memory that the request may need, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_short(self) -> bool:
        """Whether the prompt is short."""
        return self.prompt_tokens <= SHORT_TOKENS

    @property
    def size_band(self) -> int:
        """Zero for short, one for medium and two for long prompts."""
        if self.is_short:
            return 0
        return 1 if self.prompt_tokens <= LONG_TOKENS else 2


class Permit(NamedTuple):
    """A granted share of one or more endpoints.

    Attributes:
        permit_id: Id of the attempt.
        endpoint_ids: The endpoints; the first one answers the request, the
            others lend memory and processing for the prompt.
        engine_priority: Priority to send to the endpoint.
        cached_tokens: Expected prefix hit, in tokens.
    """

    permit_id: str
    endpoint_ids: tuple[str, ...]
    engine_priority: int
    cached_tokens: int


class LivePermit(NamedTuple):
    """A permit in use, as its instance presents it to the pool's owner.

    Attributes:
        request: What was asked for.
        permit: What was granted.
        first_token_seen: Whether the prompt has been processed.
    """

    request: PermitRequest
    permit: Permit
    first_token_seen: bool


class Refusal(NamedTuple):
    """A request that is not admitted.

    Attributes:
        permit_id: Id of the attempt.
        code: Error code: `overloaded`, `rate_limited`, `payload_too_large`,
            `deadline_exceeded` or `not_found`.
        retry_after_ms: When the caller should come back, in ms.
    """

    permit_id: str
    code: str
    retry_after_ms: float


class EndpointInfo(NamedTuple):
    """An endpoint that serves a model.

    Attributes:
        endpoint_id: Identifier.
        address: `host:port`.
        capacity_tokens: KV-cache memory, in tokens.
        leaving: Whether it must not receive new work.
    """

    endpoint_id: str
    address: str
    capacity_tokens: int
    leaving: bool = False


class HeldSequence(NamedTuple):
    """Something that an endpoint holds memory for.

    Attributes:
        attempt_id: The attempt that it belongs to.
        memory_tokens: Memory held, in tokens.
        prefill_left: Prompt tokens not yet processed.
    """

    attempt_id: str
    memory_tokens: int
    prefill_left: int


class EndpointReport(NamedTuple):
    """An endpoint's own account of its load.

    Attributes:
        endpoint_id: The endpoint.
        held: Everything it holds memory for.
        age_ms: Age of the account when it was read, in ms.
    """

    endpoint_id: str
    held: tuple[HeldSequence, ...]
    age_ms: float


Answer: TypeAlias = Permit | Refusal
