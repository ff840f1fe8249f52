"""Lines of the decision log: one type for each event.

The names of the events and fields are part of the log format. Times are in ms.
`request` is the id that the caller sent and `attempt` the id of one placement.
`endpoint` is the id of one incarnation of an endpoint. `age_ms` is the time
since the state was last confirmed to be the newest.
"""

import msgspec


class Decision(msgspec.Struct, tag_field="event"):
    """Base class of all lines of the decision log."""


class Placed(Decision, tag="placed"):
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


class FirstEvent(Decision, tag="first_event"):
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


class Repeated(Decision, tag="repeated"):
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


class Answered(Decision, tag="answered"):
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


class Failed(Decision, tag="failed"):
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


class CallerLeft(Decision, tag="caller_left"):
    """The caller closed its connection before the response was complete."""

    request: str
    total_ms: float


class ForeignAnswer(Decision, tag="foreign_answer"):
    """An endpoint sent the response to another request; it was skipped.

    Attributes:
        request: Id of the request.
        endpoint: The endpoint that sent the response.
        answered: Id of the request that the response belongs to.
    """

    request: str
    endpoint: str
    answered: str


class StateLearned(Decision, tag="state_learned"):
    """A newer state of the platform is in force.

    Attributes:
        revision: Revision of the key-value store.
        config_version: Version of the configuration in force.
        endpoints: Number of endpoints.
        added: Endpoints that the former state did not list.
        leaving: Endpoints that started to leave; they get no more requests.
        removed: Endpoints that are no longer listed.
        age_ms: Age of the state.
    """

    revision: int
    config_version: int
    endpoints: int
    added: tuple[str, ...]
    leaving: tuple[str, ...]
    removed: tuple[str, ...]
    age_ms: float


class EndpointUnreachable(Decision, tag="endpoint_unreachable"):
    """An endpoint accepts no connections and gets no more requests."""

    endpoint: str


class EngineCrashed(Decision, tag="engine_crashed"):
    """An engine with attempts of this instance refuses connections.

    Attributes:
        endpoint: Id of the engine.
        attempts: Ids of the attempts of this instance there.
        suspects: Traits of each request that may have crashed it: of those
            with a prompt, the ones that were prefilled and had not been in
            decode for long.
    """

    endpoint: str
    attempts: tuple[str, ...]
    suspects: tuple[tuple[str, ...], ...]


class Quarantined(Decision, tag="quarantined"):
    """Requests with a trait are refused from now on, or are admitted again.

    Attributes:
        service: Service whose engines crash.
        trait: The trait that is held responsible: a segment of prompts, or the
            fingerprint of a request.
        traits: Traits that a request has to have, all of them, to be refused.
        released: Whether requests with it are admitted again.
        failed_trials: Number of trials that crashed an engine.
        trial_in_ms: Time until one request is admitted as a trial.
        crash_age_ms: Time since the last crash.
        trial_by: Instance that runs the present trial; empty for none.
        source: Instance that came to know it first.
    """

    service: str
    trait: str
    traits: tuple[str, ...]
    released: bool
    failed_trials: int
    trial_in_ms: float
    crash_age_ms: float
    trial_by: str
    source: str


class QuarantineTrial(Decision, tag="quarantine_trial"):
    """A request with a trait in quarantine is admitted as a trial.

    Attributes:
        request: Id of the request.
        trait: The trait.
        failed_trials: Number of trials before that crashed an engine.
        crash_age_ms: Time since the last crash.
    """

    request: str
    trait: str
    failed_trials: int
    crash_age_ms: float


class EndpointReachable(Decision, tag="endpoint_reachable"):
    """An endpoint accepts connections again."""

    endpoint: str


class EndpointReplaced(Decision, tag="endpoint_replaced"):
    """Another endpoint responded at an endpoint's address.

    The endpoint gets no more requests until its entry is written again.

    Attributes:
        endpoint: Id of the endpoint that was expected there.
        era: Era of the store in which its entry was last written.
        revision: Revision at which it was.
        source: `response` if this instance got the response, else the instance
            that announced it.
    """

    endpoint: str
    era: int
    revision: int
    source: str


class EndpointLeaving(Decision, tag="endpoint_leaving"):
    """An endpoint stated that it is leaving; it gets no more requests.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        source: `response` if it said so to this instance, else the instance
            that announced it.
        listed_leaving: Whether the state lists it as leaving as well.
        age_ms: Age of the state.
    """

    endpoint: str
    born_ms: int
    source: str
    listed_leaving: bool
    age_ms: float


class EndpointPaused(Decision, tag="endpoint_paused"):
    """An endpoint asked this instance for a pause.

    Attributes:
        endpoint: Id of the endpoint.
        asked_ms: The time that it asked for.
        pause_ms: The time for which it gets no requests.
    """

    endpoint: str
    asked_ms: float
    pause_ms: float


class EndpointLimited(Decision, tag="endpoint_limited"):
    """An endpoint named another limit on its rate of requests, or none.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        per_s: Requests a second that it accepts from all instances together;
            None if it has ended its limit.
        source: `response` if it said so to this instance, else the instance
            that announced it.
        age_ms: Time since the response was received, in ms.
    """

    endpoint: str
    born_ms: int
    per_s: float | None
    source: str
    age_ms: float


class PermitRefused(Decision, tag="permit_refused"):
    """An attempt got no permit for an endpoint that limits its rate.

    Attributes:
        attempt: Id of the attempt.
        endpoint: Id of the endpoint.
        outcome: `denied`, or `no_reply` if the grantor was silent.
        limit_per_s: Limit of the endpoint, in requests a second.
        limit_age_ms: Time since the endpoint last named it to an instance.
        wait_ms: Time for which the endpoint is not asked for again.
        query_ms: Duration of the query.
    """

    attempt: str
    endpoint: str
    outcome: str
    limit_per_s: float
    limit_age_ms: float
    wait_ms: float
    query_ms: float


class PeerFound(Decision, tag="peer_found"):
    """The first datagram of another instance arrived."""

    peer: str
    ip: str


class PeerLost(Decision, tag="peer_lost"):
    """No datagram of another instance has arrived for `silent_ms`."""

    peer: str
    silent_ms: float


class CellChanged(Decision, tag="cell_changed"):
    """The fleet is divided into cells in another way.

    Attributes:
        zones: Availability zones of the own cell.
        other_cells: Names of the other cells.
    """

    zones: tuple[str, ...]
    other_cells: tuple[str, ...]


class LoadSurveyed(Decision, tag="load_surveyed"):
    """Endpoints were asked for their load, since no instance knew of any.

    Attributes:
        endpoints: Number of endpoints that were asked.
        requests: Number of requests that they reported.
    """

    endpoints: int
    requests: int


class PlacedAgain(Decision, tag="placed_again"):
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


class Offered(Decision, tag="offered"):
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
    """

    request: str
    attempt: str
    cell: str
    ip: str
    outcome: str
    own_cost: float | None
    cost: float | None
    wait_ms: float


class StoreLost(Decision, tag="store_lost"):
    """A read of the key-value store failed after successful reads.

    Attributes:
        detail: Error text.
        age_ms: Age of the state; None without one.
    """

    detail: str
    age_ms: float | None


class StoreRegained(Decision, tag="store_regained"):
    """A read of the key-value store succeeded after failed reads."""

    outage_ms: float


class StoreRestored(Decision, tag="store_restored"):
    """The key-value store came back from an older copy.

    Attributes:
        former_era: Era of the store until then.
        era: Era of the store now.
        revision: Revision of the store now.
        retained: Keys whose former values stay in force until they are written
            again.
        age_ms: Age of the state.
    """

    former_era: int
    era: int
    revision: int
    retained: tuple[str, ...]
    age_ms: float


class FreshnessLost(Decision, tag="freshness_lost"):
    """The state became stale, so that no API keys are accepted."""

    age_ms: float


class FreshnessRegained(Decision, tag="freshness_regained"):
    """The state was confirmed again after it had been stale."""

    age_ms: float


class LoopDelayed(Decision, tag="loop_delayed"):
    """The event loop took long to come round, or the process was paused.

    Attributes:
        delay_ms: Time by which a timer was late.
        busy_with: What was read last before that.
    """

    delay_ms: float
    busy_with: str


class Started(Decision, tag="started"):
    """The instance accepts connections.

    Attributes:
        zone: Availability zone of the instance.
        front: `host:port` at which it serves callers.
    """

    zone: str
    front: str


class Draining(Decision, tag="draining"):
    """The instance has started its graceful shutdown.

    Attributes:
        running: Number of requests in flight.
    """

    running: int


class Stopped(Decision, tag="stopped"):
    """The instance stops.

    Attributes:
        running: Number of requests in flight, which are aborted.
    """

    running: int


class Reloaded(Decision, tag="reloaded"):
    """The settings file changed.

    Attributes:
        changed: Names of the changed settings that are in force now.
        restart_needed: Names of the changed settings that take effect only
            after a restart.
    """

    changed: tuple[str, ...]
    restart_needed: tuple[str, ...]


class Suppressed(Decision, tag="suppressed"):
    """Lines were left out to limit the size of the log.

    Attributes:
        counts: Number of lines left out, by event.
    """

    counts: dict[str, int]


class Message(Decision, tag="message"):
    """A message of the standard logging library.

    Attributes:
        level: Name of the level, such as `WARNING`.
        source: File name and line number of the call.
        text: Text of the message, with a traceback if there is one.
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
    EngineCrashed,
    QuarantineTrial,
    Quarantined,
    EndpointReachable,
    EndpointLeaving,
    EndpointReplaced,
    EndpointLimited,
    EndpointPaused,
    PermitRefused,
    PeerFound,
    PeerLost,
    CellChanged,
    Offered,
    PlacedAgain,
    LoadSurveyed,
    StoreLost,
    StoreRegained,
    StoreRestored,
    FreshnessLost,
    FreshnessRegained,
    LoopDelayed,
    Started,
    Draining,
    Stopped,
    Reloaded,
    Suppressed,
    Message,
)
