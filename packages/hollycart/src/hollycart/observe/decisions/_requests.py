"""Decisions on requests: placement, attempts, responses."""

from hollycart.observe.decisions import _base
from hollycart.observe.decisions import _spill


class Placed(_base.Decision, tag="placed"):
    """Endpoints were chosen for a request, which is sent to them next.

    Attributes:
        request: Id of the request.
        attempt: Id of the attempt.
        endpoint: The endpoint that responds: the primary of a prompt.
        helpers: Endpoints that prefill parts of the prompt.
        tokens: Prompt length, in tokens.
        predicted_ms: Predicted time to the first event.
        cost: Predicted loss over all requests, in requests.
        config_version: Version of the configuration in force.
        age_ms: Age of the state.
        reserved_tokens: Memory reserved before the request is sent, in tokens.
        traits: Shared segments of the prompt, and the fingerprint of the
            request, which is the same each time that its caller sends it.
    """

    request: str
    attempt: str
    endpoint: str
    helpers: tuple[str, ...]
    tokens: int
    predicted_ms: float
    cost: float
    config_version: int
    age_ms: float
    reserved_tokens: int
    traits: tuple[str, ...] = ()


class PlacedAgain(_base.Decision, tag="placed_again"):
    """A prompt is placed again, before it was sent.

    Other instances had chosen its endpoints at the same time.

    Attributes:
        request: Id of the request.
        attempt: Id of the attempt.
        conflicts: Ids of the attempts that would have waited for the prompt, or
            that have taken its slot.
    """

    request: str
    attempt: str
    conflicts: tuple[str, ...]


class Offered(_base.Decision, tag="offered", omit_defaults=True):
    """A prompt was offered to another cell, since the own one serves it badly.

    Attributes:
        request: Id of the request.
        attempt: Id of the attempt.
        cell: Name of the other cell.
        ip: IP address of the instance that was asked.
        outcome: `placed` there, `declined`, or `no_reply`.
        own_cost: Predicted loss in the own cell; None without a placement.
        cost: Predicted loss in the other cell; None unless placed.
        wait_ms: Time until the reply or the timeout.
        terms: Gain and cost that decided it; None for fixed thresholds.
    """

    request: str
    attempt: str
    cell: str
    ip: str
    outcome: str
    own_cost: float | None
    cost: float | None
    wait_ms: float
    terms: _spill.SpillTerms | None = None


class FirstEvent(_base.Decision, tag="first_event"):
    """The first event of an attempt arrived.

    Attributes:
        request: Id of the request.
        endpoint: The endpoint that sent it.
        predicted_ms: Predicted time to the first event, from the placement.
        seen_ms: Time since the request was sent.
        total_ms: Time since the request arrived.
    """

    request: str
    endpoint: str
    predicted_ms: float
    seen_ms: float
    total_ms: float


class Repeated(_base.Decision, tag="repeated"):
    """An attempt failed and the request is retried.

    Attributes:
        request: Id of the request.
        reason: Error code.
        detail: Error text.
        runs: Number of attempts that may have been executed.
        rejections: Number of attempts that endpoints rejected.
        budget_left: Retries left in the window of the retry budget.
        last_event: Id of the event after which a stream is resumed.
    """

    request: str
    reason: str
    detail: str
    runs: int
    rejections: int
    budget_left: float
    last_event: str


class Answered(_base.Decision, tag="answered"):
    """The response of an endpoint was relayed to the caller.

    Attributes:
        request: Id of the request.
        status: HTTP status.
        endpoint: The endpoint that responded.
        runs: Number of attempts that may have been executed.
        events: Number of events relayed.
        longest_pause_ms: Longest gap between two events.
        total_ms: Time since the request arrived.
        framing: How the endpoint declared the end of the response: `length`,
            `chunked` or `connection`.
        trailing_bytes: Bytes relayed after the last complete event.
    """

    request: str
    status: int
    endpoint: str
    runs: int
    events: int
    longest_pause_ms: float
    total_ms: float
    framing: str
    trailing_bytes: int


class Failed(_base.Decision, tag="failed"):
    """A request failed with an error of this instance.

    Attributes:
        request: Id of the request.
        status: HTTP status; 0 if the response had started and was aborted.
        reason: Error code.
        detail: Error text.
        runs: Number of attempts that may have been executed.
        retry_after_ms: Time after which the caller may retry; None if the
            response does not name one.
        config_version: Version of the configuration in force; 0 if there is
            none.
        age_ms: Age of the state; None if there is no configuration.
        total_ms: Time since the request arrived.
    """

    request: str
    status: int
    reason: str
    detail: str
    runs: int
    retry_after_ms: float | None
    config_version: int
    age_ms: float | None
    total_ms: float


class CallerLeft(_base.Decision, tag="caller_left"):
    """The caller closed its connection before the response was complete."""

    request: str
    total_ms: float


class ForeignAnswer(_base.Decision, tag="foreign_answer"):
    """An endpoint sent the response to another request; it was skipped.

    Attributes:
        request: Id of the request.
        endpoint: The endpoint that sent the response.
        answered: Id of the request that the response belongs to.
    """

    request: str
    endpoint: str
    answered: str
