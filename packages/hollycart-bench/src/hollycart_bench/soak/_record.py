"""What callers, engines and the operator recorded during a soak."""

from typing import NamedTuple


class Call(NamedTuple):
    """One request as observed by its caller.

    Attributes:
        request_id: Id that the caller gave to the attempt.
        kind: `stream` (a prompt), `again` (idempotent) or `once`
            (non-idempotent).
        instance: Name of the instance that the request was sent to.
        team: Team of the key that was used.
        start_ms: Wall-clock time of the send, in ms.
        end_ms: Wall-clock time of the end, in ms.
        caller_timeout_ms: Time that the caller waits for the response, in ms.
        status: Status of the response; 0 without a response.
        complete: Whether the whole response arrived.
        body_matches: False if a whole response with status 2xx differs from the
            bytes expected for this request.
        abandoned: Whether the caller closed the connection before the end.
        retry_after_ms: Value of Retry-After, in ms; None without the header.
        first_byte_ms: Time to the first byte of the body, in ms; None without a
            body.
        crashes_engines: Whether it crashes engines.
    """

    request_id: str
    kind: str
    instance: str
    team: str
    start_ms: float
    end_ms: float
    caller_timeout_ms: float
    status: int
    complete: bool
    body_matches: bool
    abandoned: bool
    retry_after_ms: float | None
    first_byte_ms: float | None = None
    crashes_engines: bool = False


class CrashingRequest(NamedTuple):
    """A request that callers send again and again and that crashes engines.

    Attributes:
        kind: Kind of the route.
        team: Team that sends it.
        body: Its body.
    """

    kind: str
    team: str
    body: str


class JournalEntry(NamedTuple):
    """One entry of an engine's journal.

    Attributes:
        at_ms: Wall-clock time, in ms.
        engine: Id of the engine.
        event: `arrived` (also if it is rejected or waits), `run` (started),
            `end` (finished), `gone` (the caller left), `leaving` (started, and
            the response states that the engine is leaving), `crashing` (a
            prompt arrived that crashes the engine), `crash` (the engine crashes
            on it), `repeated` and `repeated_crash` (the same for a request that
            is sent again and again), `pause` (rejected, with a pause of
            `PAUSE_S`), `limited` (answered with the limit `LIMIT_PER_S`) or
            `cold` (arrived while the engine was cold).
        request_id: Id that the caller gave to the attempt.
        team: Team that the request is billed to.
    """

    at_ms: float
    engine: str
    event: str
    request_id: str
    team: str


PAUSE_S = 2.0  # that engines ask for
LIMIT_PER_S = 0.5  # that engines name, in requests a second


class Fault(NamedTuple):
    """One injected fault.

    Attributes:
        kind: Kind of the fault, as in `FaultInjector.kinds`.
        target: Affected instance or engine; empty for all.
        start_ms: Wall-clock time of its start, in ms.
        end_ms: Wall-clock time of its end, in ms.
    """

    kind: str
    target: str
    start_ms: float
    end_ms: float


EVACUATE_BOUND_MS = 5000.0  # until an evacuated zone gets no more requests


class Evacuation(NamedTuple):
    """The evacuation of an availability zone.

    Attributes:
        zone: The zone.
        engines: Ids of its engines.
        acked_ms: Wall-clock time at which the store acknowledged it, in ms.
        until_ms: Wall-clock time at which it was about to be removed, in ms.
    """

    zone: str
    engines: tuple[str, ...]
    acked_ms: float
    until_ms: float


class LoopDelay(NamedTuple):
    """A late round of an instance's event loop.

    Attributes:
        instance: Name of the instance.
        at_ms: Wall-clock time at its end, in ms.
        delay_ms: Time by which it was late, in ms.
    """

    instance: str
    at_ms: float
    delay_ms: float


class SoakRecord:
    """Everything that a run recorded.

    Attributes:
        calls: Requests as observed by the callers.
        journal_entries: Entries of the journals of all engines.
        faults: Injected faults in the order of their start.
        leaving: Id of an engine that leaves, and the wall-clock time at which
            the store acknowledged this, in ms.
        revoked_teams: Team whose key was removed, and the time of the
            acknowledgement, in ms.
        moved_services: Service that requests without a prompt are no longer
            routed to, and the time of the acknowledgement, in ms.
        evacuations: Evacuations of zones.
        exits: Name and exit code of each instance that was stopped by SIGTERM;
            the code is None if it did not exit in time.
        held: Number of reservations that each engine holds at the end, by id.
        direct_ms: Times to the first byte of requests sent to an engine
            directly, without an entry instance, in ms.
        peak_memory_mb: Largest resident memory of each instance, in MB, by
            name.
        loop_delays: Late rounds that the instances logged.
        crash_segment: Segment on which engines crash now; empty for none.
        crashing_request: Request on which they do; None for none.
        crashing_kind: Kind of the route of the last such request.
    """

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.journal_entries: list[JournalEntry] = []
        self.faults: list[Fault] = []
        self.leaving: list[tuple[str, float]] = []
        self.revoked_teams: list[tuple[str, float]] = []
        self.moved_services: list[tuple[str, float]] = []
        self.evacuations: list[Evacuation] = []
        self.exits: list[tuple[str, int | None]] = []
        self.held: dict[str, int] = {}
        self.direct_ms: list[float] = []
        self.peak_memory_mb: dict[str, float] = {}
        self.loop_delays: list[LoopDelay] = []
        self.crash_segment = ""
        self.crashing_request: CrashingRequest | None = None
        self.crashing_kind = ""
