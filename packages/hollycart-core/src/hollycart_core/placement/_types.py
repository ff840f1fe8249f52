"""Prompts, endpoints and the work that prompts cause at endpoints."""

from typing import NamedTuple


class Endpoint(NamedTuple):
    """An endpoint as the directory lists it.

    Attributes:
        id: Names one lifetime of the endpoint.
        address: `IP:PORT`.
        service: Name of its service.
        zone: Availability zone.
        slots: Requests that it serves at the same time.
        leaving: Whether it receives no new requests.
    """

    id: str
    address: str
    service: str
    zone: str
    slots: int
    leaving: bool = False


class Prompt(NamedTuple):
    """What placement knows of a request to a model engine.

    Attributes:
        attempt: Id of the attempt, unique over all instances.
        tokens: Prompt length, in tokens.
        output_tokens: Expected length of the answer, in tokens.
        target_ms: Time to the first event that is left, in ms.
        remaining_ms: Time until the caller gives up, in ms.
        max_gap_ms: Longest pause between events, in ms.
        zone: Availability zone of the instance that sends it.
    """

    attempt: str
    tokens: int
    output_tokens: int
    target_ms: float
    remaining_ms: float
    max_gap_ms: float
    zone: str = ""

    @property
    def weight(self) -> float:
        """Importance of the prompt relative to one of no length."""
        return 1.0 + min(self.tokens, WEIGHT_MAX_TOKENS) / WEIGHT_TOKENS


# A refused caller comes back after this time at least, in ms: the mean time in
# which an engine of eight slots ends an answer.
MIN_COME_BACK_MS = 250.0
# Prompt length that doubles the importance, close to the mean prompt that both
# users publish (13,000 tokens): long work counts by size, but not short work
# by its number alone.
WEIGHT_TOKENS = 14000.0
# Length from which the importance grows no more, the mean of the users' longest
# kind: one patient prompt never outweighs more than sixteen urgent ones.
WEIGHT_MAX_TOKENS = 210000


class Assignment(NamedTuple):
    """A prompt's part at one endpoint.

    Attributes:
        attempt: Id of the attempt.
        endpoint: Id of the endpoint.
        primary: Whether the answer is written here; others only help to read.
        decoding: Whether the first event was seen.
        prefill_ms: Predicted time to read the part, in ms.
        ready_ms: Instant at which this part is predicted to be read.
        first_ms: Instant at which the first event is predicted.
        due_ms: Instant at which the first event is late.
        max_gap_ms: Longest pause between events, in ms.
        context_tokens: Tokens that each step attends to here.
        memory_tokens: KV cache held here.
        weight: Importance of the prompt.
    """

    attempt: str
    endpoint: str
    primary: bool
    decoding: bool
    prefill_ms: float
    ready_ms: float
    first_ms: float
    due_ms: float
    max_gap_ms: float
    context_tokens: int
    memory_tokens: int
    weight: float


class Reservation(NamedTuple):
    """Memory that is set aside at an endpoint for a prompt, in tokens."""

    endpoint: Endpoint
    tokens: int


class Placement(NamedTuple):
    """Where a prompt goes.

    Attributes:
        endpoint: Writes the answer.
        helpers: Endpoints that read parts of the prompt.
        assignments: What the prompt adds to each endpoint.
        first_event_ms: Predicted time to the first event, in ms.
        cost: Predicted loss in units of requests, for the log.
        reservations: Memory to set aside before the send, the writing
            endpoint first; none where the prompt fits into one endpoint.
        send_delay_ms: Time to wait before the send, in ms: an engine reads the
            newest helper's part first, so that a prompt sent earlier would
            push back those that are being read.
    """

    endpoint: Endpoint
    helpers: tuple[Endpoint, ...]
    assignments: tuple[Assignment, ...]
    first_event_ms: float
    cost: float
    reservations: tuple[Reservation, ...] = ()
    send_delay_ms: float = 0.0

    def retry_after_ms(self, prompt: Prompt) -> float | None:
        """Returns when a caller that cannot be served should come back.

        Args:
            prompt: The prompt that was placed.

        Returns:
            Time in ms; None if the first event comes before the caller leaves.

        Example:
            >>> prompt = Prompt("a", 5000, 1500, 300.0, 2000.0, 200.0)
            >>> chosen = Placement(Endpoint("e", "", "", "", 8), (), (), 0, 0)
            >>> chosen._replace(first_event_ms=1999.0).retry_after_ms(prompt)
            >>> chosen._replace(first_event_ms=2500.0).retry_after_ms(prompt)
            2200.0
        """
        if self.first_event_ms <= prompt.remaining_ms:
            return None
        return max(MIN_COME_BACK_MS, self.first_event_ms - prompt.target_ms)
