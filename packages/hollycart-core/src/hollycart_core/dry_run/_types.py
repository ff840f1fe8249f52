"""Query for the placement of a request that is not sent, and its answer."""

import enum
from typing import Annotated

import msgspec

_Tokens = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
_Milliseconds = Annotated[float, msgspec.Meta(gt=0.0, le=86_400_000.0)]


class Exclusion(enum.StrEnum):
    """Why an endpoint is not used now, or only if there is no other way."""

    LEAVING = "leaving"
    REPLACED = "replaced"  # another endpoint responds at its address
    PAUSED = "paused"
    LIMITED = "limited"  # it limits its rate, and no permit is to be had now
    COLD = "cold"  # it is cold, and over its rate
    EVACUATED = "evacuated"
    LAST_RESORT = "last_resort"  # its zone is being evacuated
    UNREACHABLE = "unreachable"
    EJECTED = "ejected"
    MEMORY = "memory"  # it alone lacks the KV-cache memory for the prompt
    OTHER_CELL = "other_cell"


class Query(msgspec.Struct, forbid_unknown_fields=True):
    """A request as far as its placement depends on it.

    Attributes:
        host: Value of the Host header.
        path: Path of the request.
        method: HTTP method.
        team: Name of the team; empty for any team with a valid key.
        prompt_tokens: Length of the prompt, in tokens; 0 without a prompt.
        output_tokens: Expected length of the answer, in tokens.
        timeout_ms: Time for which the caller waits, in ms; None if not given.
        request_id: Id of the request, which decides among the services of a
            route that has several.
    """

    host: str
    path: str
    method: str = "POST"
    team: str = ""
    prompt_tokens: _Tokens = 0
    output_tokens: _Tokens = 0
    timeout_ms: _Milliseconds | None = None
    request_id: str = ""


class Failure(msgspec.Struct):
    """Body of a response to a query that cannot be answered."""

    code: str
    detail: str


class Refusal(msgspec.Struct):
    """The error response that the request would get.

    Attributes:
        status: HTTP status.
        code: Error code.
        detail: What the log would say.
        retry_after_ms: Time of the Retry-After, in ms; None without one.
        is_minimum: Whether the Retry-After may be longer, because other
            instances or chance take part in planning it.
    """

    status: int
    code: str
    detail: str
    retry_after_ms: float | None
    is_minimum: bool


class Chosen(msgspec.Struct):
    """The placement that the request would get.

    Attributes:
        endpoint: Id of the endpoint; the primary of a prompt.
        zone: Its availability zone.
        helpers: Ids of the endpoints that prefill parts of the prompt.
        first_event_ms: Predicted time to the first event, in ms; None without
            a prompt.
        loss: Predicted loss; None without a prompt.
        reservations: Tokens of memory that are reserved, by endpoint id.
        send_delay_ms: Time to wait before the prompt is sent, in ms.
        needs_permit: Whether a permit has to be granted first. None was asked
            for.
        is_trial: Whether the request is a trial that shows whether it still
            crashes engines.
    """

    endpoint: str
    zone: str
    helpers: list[str]
    first_event_ms: float | None
    loss: float | None
    reservations: dict[str, int]
    send_delay_ms: float
    needs_permit: bool
    is_trial: bool


class Offer(msgspec.Struct):
    """Whether the prompt would be offered to other cells first.

    Attributes:
        is_made: Whether it would be. The other cells were not asked.
        from_loss: Loss of the best placement in the own cell from which on a
            prompt like this is offered.
        own_loss: Loss of that placement; None if there is none.
        cells: Names of the other cells that may be asked.
        weighs_gain: Whether a prompt with such a loss is offered only if the
            gain also exceeds the cost.
    """

    is_made: bool
    from_loss: float
    own_loss: float | None
    cells: list[str]
    weighs_gain: bool = False


class Candidate(msgspec.Struct):
    """An endpoint of the service.

    Attributes:
        endpoint: Its id.
        zone: Its availability zone.
        first_event_ms: Predicted time to the first event if the endpoint were
            the only one used, in ms; None without a prediction.
        loss: Predicted loss in this case.
        running: Prompts that are known to run there, or without a prompt the
            requests of this instance.
        exclusions: Why it is not used now, or only if there is no other way.
        wait_ms: Time until its pause ends or it may get another request, in
            ms.
    """

    endpoint: str
    zone: str
    first_event_ms: float | None
    loss: float | None
    running: int
    exclusions: list[str]
    wait_ms: float


class Omitted(msgspec.Struct):
    """Candidates that the answer leaves out.

    Attributes:
        endpoints: Their number.
        usable: Number of those without exclusions.
        by_exclusion: Number by exclusion; an endpoint may have several.
    """

    endpoints: int = 0
    usable: int = 0
    by_exclusion: dict[str, int] = msgspec.field(default_factory=dict)


class Answer(msgspec.Struct):
    """Where a request would be sent now, and why.

    Attributes:
        instance: Name of the instance that answers.
        zone: Its availability zone.
        config_version: Version of the configuration in force; 0 without one.
        state_age_ms: Age of the state, in ms; None if it was never confirmed.
        is_state_fresh: Whether the state is recent enough for API keys.
        is_isolated: Whether the instance hears too few others to know the load
            of the endpoints; it would query some of them first.
        route: Name of the route; empty without a configuration.
        service: Name of the service; empty without a configuration.
        team: Name of the team; empty if none was named or needed.
        refusal: The error response; None if the request would be sent.
        chosen: The placement; None if the request would be refused.
        offer: Whether other cells would be asked; None without a prompt or
            without other cells.
        quarantined: Traits of requests that the service gets none of, at most
            20. Only the trait of a request without a body is known.
        candidates: Endpoints of the service, the best ones first.
        omitted: Endpoints that are left out.
    """

    instance: str
    zone: str
    config_version: int
    state_age_ms: float | None
    is_state_fresh: bool
    is_isolated: bool
    route: str = ""
    service: str = ""
    team: str = ""
    refusal: Refusal | None = None
    chosen: Chosen | None = None
    offer: Offer | None = None
    quarantined: list[str] = msgspec.field(default_factory=list)
    candidates: list[Candidate] = msgspec.field(default_factory=list)
    omitted: Omitted = msgspec.field(default_factory=Omitted)
