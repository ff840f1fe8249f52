"""Requests, permits and reports that the scheduler exchanges."""

from typing import NamedTuple
from typing import TypeAlias

SHORT_TOKENS = 4_096
LONG_TOKENS = 32_768


class PermitRequest(NamedTuple):
    """A request to the owner of a pool for a permit to use endpoints.

    Attributes:
        permit_id: Unique id of the attempt.
        instance_id: The instance that will stream from the endpoint.
        team: Team of the caller.
        kind: Request kind. Team and kind select the row of the limit table.
        weight: Fair-queueing weight of the row.
        priority: Priority level of the row; zero is the most urgent.
        prompt_tokens: Estimated length of the prompt, in tokens.
        output_tokens: Upper bound on the length of the answer, in tokens.
        time_left_ms: Time to the deadline when the request was sent, in ms.
        max_running: Upper bound on concurrent requests of the row.
        tokens_per_minute: Rate limit of the row on admitted tokens; zero for
            no limit.
        prefix_hashes: Chained hashes of the prompt's leading blocks.
        excluded: Endpoints that failed earlier attempts of the request.
        resumed: Whether an earlier attempt of the request was admitted. A
            resumed request bypasses admission control.
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
        """Upper bound on the KV-cache memory of the request, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_short(self) -> bool:
        """Whether the prompt has at most `SHORT_TOKENS` tokens."""
        return self.prompt_tokens <= SHORT_TOKENS

    @property
    def size_class(self) -> int:
        """0 for short, 1 for medium and 2 for long prompts."""
        if self.is_short:
            return 0
        return 1 if self.prompt_tokens <= LONG_TOKENS else 2


class Permit(NamedTuple):
    """The right of one attempt to use one or more endpoints.

    Attributes:
        permit_id: Id of the attempt.
        endpoint_ids: The endpoints. The first is the primary, which decodes
            the answer. The others are helpers, which provide memory and
            prefill for parts of the prompt.
        engine_priority: Priority to send to the endpoint; zero runs first.
        cached_tokens: Expected prefix hit, in tokens.
    """

    permit_id: str
    endpoint_ids: tuple[str, ...]
    engine_priority: int
    cached_tokens: int


class LivePermit(NamedTuple):
    """A permit in use, as reported by the instance that holds it.

    The report renews the permit. It also lets a new owner of the pool
    rebuild its state.

    Attributes:
        request: The request for the permit.
        permit: The granted permit.
        first_token_seen: Whether the first token has arrived, which means
            that prefill is complete.
    """

    request: PermitRequest
    permit: Permit
    first_token_seen: bool


class Refusal(NamedTuple):
    """The rejection of a request for a permit.

    Attributes:
        permit_id: Id of the attempt.
        code: Error code: `overloaded`, `rate_limited`, `payload_too_large`,
            `deadline_exceeded` or `not_found`.
        retry_after_ms: Time after which the caller may retry, in ms.
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
        leaving: Whether it is draining and must not receive new requests.
    """

    endpoint_id: str
    address: str
    capacity_tokens: int
    leaving: bool = False


class HeldSequence(NamedTuple):
    """A sequence or reservation that occupies memory of an endpoint.

    Attributes:
        attempt_id: The attempt that it belongs to.
        memory_tokens: KV-cache memory that it occupies, in tokens.
        prefill_left: Prompt tokens that are not prefilled yet.
    """

    attempt_id: str
    memory_tokens: int
    prefill_left: int


class EndpointReport(NamedTuple):
    """The load of an endpoint as reported by the endpoint itself.

    Attributes:
        endpoint_id: The endpoint.
        held: Everything that occupies memory of the endpoint.
        age_ms: Age of the report when it was read, in ms.
    """

    endpoint_id: str
    held: tuple[HeldSequence, ...]
    age_ms: float


PermitDecision: TypeAlias = Permit | Refusal
