"""Prompts, endpoints and the assignments of prompts to endpoints."""

from typing import NamedTuple

from hollycart_core import routing


class Endpoint(NamedTuple):
    """An endpoint as listed in the directory.

    Attributes:
        id: Unique for each start of the endpoint.
        address: `IP:PORT`.
        service: Name of its service.
        zone: Availability zone.
        slots: Number of requests that it serves concurrently.
        leaving: Whether it is being drained and receives no new requests.
        born_ms: Unix time of its start, in ms; 0 if unknown. An endpoint that
            starts again under the same id has a later one.
        written: Era and revision at which its entry was last written; they
            grow with each write.
        cold_left_ms: Time for which it stays cold, in ms, as of the write of
            its entry.
    """

    id: str
    address: str
    service: str
    zone: str
    slots: int
    leaving: bool = False
    born_ms: int = 0
    written: tuple[int, int] = (0, 0)
    cold_left_ms: float = 0.0


# Loss of a primary in another availability zone than the instance, without a
# price of the traffic: it decides between equal endpoints.
CROSSING_LOSS = 0.002


class Prompt(NamedTuple):
    """A request to a model engine, as far as placement needs it.

    Attributes:
        attempt_id: Id of the attempt, unique over all instances.
        tokens: Prompt length, in tokens.
        output_tokens: Expected length of the answer, in tokens.
        target_ms: Time left until the first event is late, in ms.
        remaining_ms: Time left until the caller abandons the request, in ms.
        max_gap_ms: Longest acceptable gap between events, in ms.
        zone: Availability zone of the instance that sends the prompt.
        usual_tokens: Mean length of the service's prompts, in tokens.
        team: Team that is billed; empty if teams do not share capacity.
        crossing_loss: Loss of a primary in another zone.
        helper_crossing_loss: Loss of a helper in another zone.
    """

    attempt_id: str
    tokens: int
    output_tokens: int
    target_ms: float
    remaining_ms: float
    max_gap_ms: float
    zone: str = ""
    usual_tokens: float = routing.DEFAULT_USUAL_PROMPT_TOKENS
    team: str = ""
    crossing_loss: float = CROSSING_LOSS
    helper_crossing_loss: float = 0.0

    @property
    def weight(self) -> float:
        """Weight of the prompt in losses; an empty prompt has weight 1.

        Each usual length adds 1, so that long prompts count by size and many
        short prompts do not outweigh them by number alone.
        """
        return min(_MAX_WEIGHT, 1.0 + self.tokens / self.usual_tokens)


# Shortest Retry-After of a refused request, in ms: the mean time between two
# completed answers at an engine of eight slots.
MIN_RETRY_AFTER_MS = 250.0
# Weight at which that of long prompts is capped: a long prompt with a relaxed
# target never outweighs more than so many urgent short ones.
_MAX_WEIGHT = 16.0


class Assignment(NamedTuple):
    """One attempt's work at one endpoint.

    Attributes:
        attempt_id: Id of the attempt.
        endpoint: Id of the endpoint.
        primary: Whether the endpoint decodes the answer; helpers only prefill
            a part of the prompt.
        decoding: Whether prefill has ended, that is, the first event was seen.
        prefill_ms: Predicted time to prefill the part, in ms.
        ready_ms: Instant at which the prefill of this part is predicted to
            end.
        first_event_at_ms: Instant at which the first event is predicted.
        due_ms: Instant from which the first event is late.
        max_gap_ms: Longest acceptable gap between events, in ms.
        context_tokens: Tokens that each decode step attends to here.
        memory_tokens: KV cache held here, in tokens.
        weight: Weight of the prompt in losses.
        team: Team that is billed; empty if teams do not share capacity.
    """

    attempt_id: str
    endpoint: str
    primary: bool
    decoding: bool
    prefill_ms: float
    ready_ms: float
    first_event_at_ms: float
    due_ms: float
    max_gap_ms: float
    context_tokens: int
    memory_tokens: int
    weight: float
    team: str = ""


class Reservation(NamedTuple):
    """KV cache that is reserved at an endpoint for a prompt, in tokens."""

    endpoint: Endpoint
    tokens: int


class Placement(NamedTuple):
    """Endpoints that are chosen for a prompt.

    Attributes:
        endpoint: The primary, which decodes the answer.
        helpers: Endpoints that prefill parts of the prompt.
        assignments: Work of the attempt at each endpoint, the primary's first.
        first_event_ms: Predicted time to the first event, in ms.
        predicted_loss: Predicted loss, in late or lost requests, for the log.
        reservations: Memory to reserve before the prompt is sent, the
            primary's first; empty if the prompt fits into one endpoint.
        send_delay_ms: Time to wait before the prompt is sent, in ms. An engine
            prefills the newest helper's part first, so that a prompt sent
            earlier would preempt the prompts in prefill.
    """

    endpoint: Endpoint
    helpers: tuple[Endpoint, ...]
    assignments: tuple[Assignment, ...]
    first_event_ms: float
    predicted_loss: float
    reservations: tuple[Reservation, ...] = ()
    send_delay_ms: float = 0.0

    def retry_after_ms(self, prompt: Prompt) -> float | None:
        """Returns the time after which a refused caller should retry.

        Args:
            prompt: The prompt that was placed.

        Returns:
            Time in ms; None if the first event is predicted before the caller
            abandons the request.

        Example:
            >>> prompt = Prompt("a", 5000, 1500, 300.0, 2000.0, 200.0)
            >>> chosen = Placement(Endpoint("e", "", "", "", 8), (), (), 0, 0)
            >>> chosen._replace(first_event_ms=1999.0).retry_after_ms(prompt)
            >>> chosen._replace(first_event_ms=2500.0).retry_after_ms(prompt)
            2200.0
        """
        if self.first_event_ms <= prompt.remaining_ms:
            return None
        return max(MIN_RETRY_AFTER_MS, self.first_event_ms - prompt.target_ms)
