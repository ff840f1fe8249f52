"""The structured log: one type for each decision.

Times are in ms. `request` is the id that the caller sent, `attempt` the id of
one placement, `endpoint` the id of one lifetime of an endpoint. `age_ms` is the
age of the proof that the state was the newest.
"""

import msgspec


class Decision(msgspec.Struct, tag_field="event"):
    """Base class of all lines."""


class Placed(Decision, tag="placed"):
    """A request was given endpoints and is sent to them.

    Attributes:
        request: Id of the request.
        attempt: Id of the attempt; empty for plain services.
        endpoint: Where it is answered.
        helpers: Endpoints that read parts.
        tokens: Prompt length.
        predicted_ms: Predicted time to the first event.
        cost: Predicted loss over all requests, in requests.
        config_version: Configuration in force.
        age_ms: Age of the proof of the state.
        reserved_tokens: Memory set aside before the send.
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


class FirstEvent(Decision, tag="first_event"):
    """The first event of an attempt arrived.

    Attributes:
        request: Id of the request.
        endpoint: Where it came from.
        predicted_ms: Predicted time from the placement.
        seen_ms: Time from the send.
        total_ms: Time from the arrival of the request.
    """

    request: str
    endpoint: str
    predicted_ms: float
    seen_ms: float
    total_ms: float


class Repeated(Decision, tag="repeated"):
    """An attempt failed and another one follows.

    Attributes:
        request: Id of the request.
        reason: Code of the failure.
        detail: What happened.
        runs: Attempts that may have run.
        rejections: Attempts that were rejected.
        budget_left: Repeated attempts left in the window.
        last_event: Event after which a stream goes on.
    """

    request: str
    reason: str
    detail: str
    runs: int
    rejections: int
    budget_left: float
    last_event: str


class Answered(Decision, tag="answered"):
    """A request got an endpoint's answer.

    Attributes:
        request: Id of the request.
        status: HTTP status.
        endpoint: Whose answer it is.
        runs: Attempts that may have run.
        events: Events passed on.
        longest_pause_ms: Longest pause between them.
        total_ms: Time from the arrival of the request.
    """

    request: str
    status: int
    endpoint: str
    runs: int
    events: int
    longest_pause_ms: float
    total_ms: float


class Failed(Decision, tag="failed"):
    """A request got a failure of this instance.

    Attributes:
        request: Id of the request.
        status: HTTP status; 0 where a begun answer was cut.
        reason: Code of the failure.
        detail: What happened.
        runs: Attempts that may have run.
        retry_after_ms: When to come back; None if nothing was said.
        config_version: Configuration in force, 0 without one.
        age_ms: Age of the proof of the state, None without one.
        total_ms: Time from the arrival of the request.
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


class CallerLeft(Decision, tag="caller_left"):
    """The caller closed its connection before the answer was complete."""

    request: str
    total_ms: float


class ForeignAnswer(Decision, tag="foreign_answer"):
    """An answer to another request came and was skipped."""

    request: str
    endpoint: str
    answered: str


class StateLearned(Decision, tag="state_learned"):
    """A newer state of the platform is in force.

    Attributes:
        revision: Revision of the store.
        config_version: Configuration in force.
        endpoints: Number of endpoints.
        added: Endpoints that are new.
        leaving: Endpoints that receive nothing more.
        removed: Endpoints that are gone.
        age_ms: Age of the proof.
    """

    revision: int
    config_version: int
    endpoints: int
    added: tuple[str, ...]
    leaving: tuple[str, ...]
    removed: tuple[str, ...]
    age_ms: float


class EndpointUnreachable(Decision, tag="endpoint_unreachable"):
    """An endpoint accepted no connection and gets no requests."""

    endpoint: str


class EndpointReachable(Decision, tag="endpoint_reachable"):
    """An endpoint accepts connections again."""

    endpoint: str


class PeerFound(Decision, tag="peer_found"):
    """Another instance was heard for the first time."""

    peer: str
    ip: str


class PeerLost(Decision, tag="peer_lost"):
    """Another instance has not been heard for some time."""

    peer: str
    silent_ms: float


class StoreLost(Decision, tag="store_lost"):
    """A read of the store failed after successful ones."""

    detail: str
    age_ms: float | None


class StoreRegained(Decision, tag="store_regained"):
    """A read of the store succeeded after failed ones."""

    outage_ms: float


class FreshnessLost(Decision, tag="freshness_lost"):
    """API keys are not accepted: the state is not proven to be recent."""

    age_ms: float


class FreshnessRegained(Decision, tag="freshness_regained"):
    """The state is proven to be recent again."""

    age_ms: float


class Started(Decision, tag="started"):
    """The instance listens."""

    zone: str
    front: str


class Draining(Decision, tag="draining"):
    """The instance was told to stop and takes no new callers."""

    running: int


class Stopped(Decision, tag="stopped"):
    """The instance ends; `running` requests are cut."""

    running: int


class Reloaded(Decision, tag="reloaded"):
    """The settings file changed.

    Attributes:
        changed: Names of settings taken over.
        restart_needed: Names of settings that need a restart.
    """

    changed: tuple[str, ...]
    restart_needed: tuple[str, ...]


class Suppressed(Decision, tag="suppressed"):
    """Lines that were not written, by event, to bound the volume."""

    counts: dict[str, int]


class Message(Decision, tag="message"):
    """A line of a library or of a rare path.

    Attributes:
        level: Name of the level.
        source: File and line.
        text: The message.
    """

    level: str
    source: str
    text: str


DECISIONS: tuple[type[Decision], ...] = (
    Placed,
    FirstEvent,
    Repeated,
    Answered,
    Failed,
    CallerLeft,
    ForeignAnswer,
    StateLearned,
    EndpointUnreachable,
    EndpointReachable,
    PeerFound,
    PeerLost,
    StoreLost,
    StoreRegained,
    FreshnessLost,
    FreshnessRegained,
    Started,
    Draining,
    Stopped,
    Reloaded,
    Suppressed,
    Message,
)
