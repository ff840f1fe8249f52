"""Datagrams between instances, encoded with MessagePack.

The structs are sent as arrays: the order of their fields and the tags are the
wire format, the names are not.
"""

from typing import Any

import msgspec

from hollycart.gateway import _crash_messages
from hollycart_core import kv
from hollycart_core import placement


class EndpointAssignment(msgspec.Struct, array_like=True):
    """The part of an attempt that differs between its endpoints.

    Attributes:
        endpoint: Id of the endpoint.
        ready_ms: Predicted end of the prefill, in whole ms after the sending.
        context_tokens: Tokens of context that the endpoint attends to.
        memory_tokens: KV cache that the assignment occupies, in tokens.
    """

    endpoint: str
    ready_ms: int
    context_tokens: int
    memory_tokens: int


class AttemptAssignments(msgspec.Struct, array_like=True):
    """All assignments of one attempt, the one of the primary first.

    Values that the assignments share are sent once, because traffic between
    availability zones is expensive. The fields have the meaning of those of
    `placement.Assignment`, with times in whole ms and instants relative to the
    sending.
    """

    attempt_id: str
    decoding: bool
    prefill_ms: int
    first_event_at_ms: int
    due_ms: int
    max_gap_ms: int
    weight: int
    endpoint_assignments: list[EndpointAssignment]
    team: str = ""


class ServiceRoom(msgspec.Struct, array_like=True):
    """Room of a cell for a service, as `placement.ServiceRoom`."""

    free_slots: int
    slots: int
    mean_loss: float


class CellState(msgspec.Struct, array_like=True):
    """Summary of a cell, as instances pass it on.

    Attributes:
        cell: Name of the cell.
        instances: Number of its live instances.
        open_endpoints: Number of endpoints with a free slot and without a
            prefill, by service.
        age_ms: Time since the summary was made, in whole ms, at the sending.
        rooms: Room for prompts, by service; empty if prompts are offered by
            fixed thresholds.
    """

    cell: str
    instances: int
    open_endpoints: dict[str, int]
    age_ms: int
    rooms: dict[str, ServiceRoom] = {}


class Heartbeat(msgspec.Struct, tag="h", array_like=True):
    """Announces an instance and its whole load to its cell.

    Attributes:
        sender: Name of the instance.
        incarnation: Differs for each start of the instance.
        reads_store: Whether it reads the store successfully.
        running: Number of requests in flight.
        assignments: Its load by attempt.
        slow_endpoints: Slowness by id, for endpoints that are slower than
            their published speed.
        zone: Availability zone of the instance.
        other_cells: What the instance knows of the other cells.
        draining: Whether the instance is about to stop.
    """

    sender: str
    incarnation: int
    reads_store: bool
    running: int
    assignments: list[AttemptAssignments]
    slow_endpoints: dict[str, float] = {}
    zone: str = ""
    other_cells: list[CellState] = []
    draining: bool = False


class CellAnnouncement(msgspec.Struct, tag="n", array_like=True):
    """Announces a cell to an instance of another cell.

    Attributes:
        sender: Name of the instance.
        zone: Availability zone of the instance.
        state: Summary of its cell.
    """

    sender: str
    zone: str
    state: CellState


class LoadUpdate(msgspec.Struct, tag="l", array_like=True):
    """Announces changes of an instance's load.

    Attributes:
        sender: Name of the instance.
        incarnation: Differs for each start of the instance.
        added: Assignments of new attempts.
        decoding: Ids of attempts whose first event was received.
        ended: Ids of attempts that ended.
    """

    sender: str
    incarnation: int
    added: list[AttemptAssignments]
    decoding: list[str]
    ended: list[str]


class FreshnessQuery(msgspec.Struct, tag="a", array_like=True):
    """Asks how recently the state was confirmed.

    Attributes:
        sender: Name of the instance.
        sent_ms: Instant of the sending, on the clock of the sender.
    """

    sender: str
    sent_ms: float


class FreshnessReply(msgspec.Struct, tag="v", array_like=True):
    """Replies to a `FreshnessQuery`.

    Attributes:
        sender: Name of the instance.
        query_sent_ms: `sent_ms` of the query, on the clock of its sender.
        age_ms: Time since the state was last confirmed, in ms, at the sending
            of the reply.
        revision: Store revision of the sender's state.
        config_revision: Store revision of the sender's configuration.
        digest: Digest of the sender's state.
        peers_digest: Digest of the instances that the sender knows to be
            registered.
        era: Era of the store to which the revisions belong.
    """

    sender: str
    query_sent_ms: float
    age_ms: float
    revision: int
    config_revision: int
    digest: int
    peers_digest: int = 0
    era: int = 0

    @property
    def position(self) -> kv.Position:
        """Position of the sender's state."""
        return kv.Position(self.era, self.revision)


class StateChanged(msgspec.Struct, tag="c", array_like=True):
    """Announces that the sender has applied a changed state."""

    sender: str
    digest: int


class EndpointSuspected(msgspec.Struct, tag="s", array_like=True):
    """Announces that the sender could not connect to an endpoint."""

    sender: str
    endpoint: str


class EndpointLeaving(msgspec.Struct, tag="e", array_like=True):
    """Announces that an endpoint told the sender that it is leaving.

    Attributes:
        sender: Name of the instance.
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
    """

    sender: str
    endpoint: str
    born_ms: int


class EndpointReplaced(msgspec.Struct, tag="o", array_like=True):
    """Announces that another endpoint responded at an endpoint's address.

    Attributes:
        sender: Name of the instance.
        endpoint: Id of the endpoint that was expected there.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        written: Era and revision of the entry that is out of date.
    """

    sender: str
    endpoint: str
    born_ms: int
    written: tuple[int, int]


class EndpointLimit(msgspec.Struct, array_like=True):
    """What an endpoint said about the limit on its rate of requests.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        per_s: Requests a second from all instances together; None for no limit.
        sent_age_ms: Time since the request was sent that the endpoint responded
            to, in ms, at the sending of this message.
        received_age_ms: Time since the response was received, in ms.
    """

    endpoint: str
    born_ms: int
    per_s: float | None
    sent_age_ms: float
    received_age_ms: float


class EndpointCold(msgspec.Struct, tag="d", array_like=True):
    """Announces that an endpoint told the sender that it is cold.

    Attributes:
        sender: Name of the instance.
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        left_ms: Time for which it stays cold, in ms, at the sending.
        forward: Whether the receiver, of another cell, announces it there.
    """

    sender: str
    endpoint: str
    born_ms: int
    left_ms: float
    forward: bool = False


class EndpointLimited(msgspec.Struct, tag="m", array_like=True):
    """Announces that an endpoint named another limit to the sender, or none."""

    sender: str
    limit: EndpointLimit


class PermitQuery(msgspec.Struct, tag="w", array_like=True):
    """Asks for a permit to send one request to an endpoint.

    Attributes:
        sender: Name of the instance that needs the permit.
        query_id: Number of the query, unique at the sender.
        zone: Availability zone of the endpoint.
        limit: Limit of the endpoint, as the sender knows it.
        refused: Whether the request was refused, and the sender asks when its
            caller should return.
        asker_ip: IP address of the sender if the query was forwarded.
        forwards: Number of instances that have forwarded the query.
        cold_per_s: Requests a second that the grantor grants by the view of
            the sender since the endpoint is cold; 0 if it is not.
    """

    sender: str
    query_id: int
    zone: str
    limit: EndpointLimit
    refused: bool = False
    asker_ip: str = ""
    forwards: int = 0
    cold_per_s: float = 0.0


class PermitReply(msgspec.Struct, tag="x", array_like=True):
    """Replies to a `PermitQuery`.

    Attributes:
        sender: Name of the instance that grants the endpoint's permits.
        query_id: Number of the query.
        limit: Limit of the endpoint, as the sender knows it.
        granted: Whether the request may be sent.
        wait_ms: Time until the next permit can be granted, or until the caller
            should return, in ms.
    """

    sender: str
    query_id: int
    limit: EndpointLimit
    granted: bool
    wait_ms: float


class EndpointReport(msgspec.Struct, array_like=True):
    """Load of an endpoint that no instance accounts for.

    Attributes:
        endpoint: Id of the endpoint.
        requests: Number of requests that run or wait there.
        memory_tokens: KV cache that they hold, in tokens.
        hold_ms: Time before any of them is assumed to end, in whole ms.
        max_gap_ms: Longest gap that their answers accept, in whole ms; 0 if
            prefill beside them is not taken to disturb them.
    """

    endpoint: str
    requests: int
    memory_tokens: int
    hold_ms: int = 0
    max_gap_ms: int = 0


class UnaccountedLoads(msgspec.Struct, tag="r", array_like=True):
    """Announces what endpoints reported when no instance knew of any load.

    Attributes:
        sender: Name of the instance that asked them.
        reports: One report for each endpoint with load.
    """

    sender: str
    reports: list[EndpointReport]


class PlacementRequest(msgspec.Struct, tag="q", array_like=True):
    """Asks an instance of another cell to place a prompt there.

    The fields have the meaning of those of `placement.Prompt`.

    Attributes:
        sender: Name of the instance.
        attempt_id: Id of the attempt.
        service: Service of the prompt.
        tokens: Prompt length, in tokens.
        output_tokens: Expected length of the answer, in tokens.
        target_ms: Time left until the first event is late, in ms.
        remaining_ms: Time left until the caller abandons the request, in ms.
        max_gap_ms: Longest acceptable gap between events, in ms.
        excluded: Ids of endpoints that are not to be tried.
        max_loss: Predicted loss above which the sender places the prompt
            itself.
        team: Team that is billed; empty if teams do not share capacity.
    """

    sender: str
    attempt_id: str
    service: str
    tokens: int
    output_tokens: int
    target_ms: float
    remaining_ms: float
    max_gap_ms: float
    excluded: list[str]
    max_loss: float
    team: str = ""


class PlacementReply(msgspec.Struct, tag="p", array_like=True):
    """Replies to a `PlacementRequest`.

    Attributes:
        sender: Name of the instance.
        attempt_id: Id of the attempt.
        state: Summary of the sender's cell.
        assignments: Assignments in the sender's cell, the primary's first;
            None if the prompt was not placed.
        first_event_ms: Predicted time to the first event, in ms.
        predicted_loss: Predicted loss of the placement.
        send_delay_ms: Time to wait before the prompt is sent, in ms.
        reservations: Memory to reserve, in tokens, by endpoint.
        permitted: Whether the sender has acquired a permit for the primary.
    """

    sender: str
    attempt_id: str
    state: CellState
    assignments: AttemptAssignments | None = None
    first_event_ms: float = 0.0
    predicted_loss: float = 0.0
    send_delay_ms: float = 0.0
    reservations: list[tuple[str, int]] = []
    permitted: bool = False


class DelegatedProgress(msgspec.Struct, tag="g", array_like=True):
    """Tells the instance that placed a prompt how its attempt proceeds.

    Attributes:
        sender: Name of the instance that runs the attempt.
        attempt_id: Id of the attempt.
        ended: Whether the attempt has ended; otherwise its first event was
            received.
    """

    sender: str
    attempt_id: str
    ended: bool


Message = (
    Heartbeat
    | LoadUpdate
    | FreshnessQuery
    | FreshnessReply
    | StateChanged
    | EndpointSuspected
    | EndpointLeaving
    | EndpointReplaced
    | EndpointLimited
    | EndpointCold
    | PermitQuery
    | PermitReply
    | CellAnnouncement
    | PlacementRequest
    | PlacementReply
    | DelegatedProgress
    | UnaccountedLoads
    | _crash_messages.CrashEvidence
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: Any = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message.

    Example:
        >>> decode(encode(FreshnessQuery("a", 1.0))).sent_ms
        1.0
    """
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        msgspec.DecodeError: If `data` is not a valid message.
    """
    message: Message = _DECODER.decode(data)
    return message


def pack(
    assignments: tuple[placement.Assignment, ...], now_ms: float
) -> AttemptAssignments:
    """Converts assignments for sending.

    Args:
        assignments: All assignments of one attempt, the primary's first.
        now_ms: Instant of the sending; subtracted from all instants, as the
            clocks of instances differ.
    """
    primary = assignments[0]
    return AttemptAssignments(
        primary.attempt_id,
        primary.decoding,
        round(primary.prefill_ms),
        round(primary.first_event_at_ms - now_ms),
        round(primary.due_ms - now_ms),
        round(primary.max_gap_ms),
        round(primary.weight),
        [
            EndpointAssignment(
                a.endpoint,
                round(a.ready_ms - now_ms),
                a.context_tokens,
                a.memory_tokens,
            )
            for a in assignments
        ],
        primary.team,
    )


def unpack(
    announced: AttemptAssignments, now_ms: float
) -> tuple[placement.Assignment, ...]:
    """Converts received assignments to the clock of this instance.

    Args:
        announced: Assignments as they were received.
        now_ms: Instant of the receipt; added to all instants.

    Example:
        >>> assignment = placement.Assignment(
        ...     "a", "e", True, False, 5, 9, 9, 99, 200, 7, 7, 1
        ... )
        >>> unpack(pack((assignment,), 1.0), 1.0)[0] == assignment
        True
    """
    return tuple(
        placement.Assignment(
            announced.attempt_id,
            assignment.endpoint,
            number == 0,
            announced.decoding,
            announced.prefill_ms,
            assignment.ready_ms + now_ms,
            announced.first_event_at_ms + now_ms,
            announced.due_ms + now_ms,
            announced.max_gap_ms,
            assignment.context_tokens,
            assignment.memory_tokens,
            announced.weight,
            announced.team,
        )
        for number, assignment in enumerate(announced.endpoint_assignments)
    )


def pack_limit(
    statement: placement.RateStatement, now_ms: float
) -> EndpointLimit:
    """Converts a statement for sending.

    Args:
        statement: The statement.
        now_ms: Instant of the sending; the times are sent relative to it.
    """
    return EndpointLimit(
        statement.endpoint,
        statement.born_ms,
        statement.per_s,
        now_ms - statement.sent_ms,
        now_ms - statement.received_ms,
    )


def unpack_limit(
    limit: EndpointLimit, now_ms: float
) -> placement.RateStatement:
    """Converts a received statement to the clock of this instance.

    Example:
        >>> statement = placement.RateStatement("e", 1, 2.5, 3.0, 4.0)
        >>> unpack_limit(pack_limit(statement, 9.0), 9.0) == statement
        True
    """
    return placement.RateStatement(
        limit.endpoint,
        limit.born_ms,
        limit.per_s,
        now_ms - limit.sent_age_ms,
        now_ms - limit.received_age_ms,
    )


def pack_report(report: placement.CellReport, now_ms: float) -> CellState:
    """Converts the summary of a cell for sending."""
    return CellState(
        report.cell,
        report.instances,
        report.open_endpoints,
        round(now_ms - report.made_ms),
        {name: ServiceRoom(*room) for name, room in report.rooms.items()},
    )


def unpack_report(state: CellState, now_ms: float) -> placement.CellReport:
    """Converts a received summary to the clock of this instance.

    Example:
        >>> report = placement.CellReport("a", 3, {"s": 2}, 5.0)
        >>> unpack_report(pack_report(report, 9.0), 9.0) == report
        True
    """
    return placement.CellReport(
        state.cell,
        state.instances,
        state.open_endpoints,
        now_ms - state.age_ms,
        {
            name: placement.ServiceRoom(
                room.free_slots, room.slots, room.mean_loss
            )
            for name, room in state.rooms.items()
        },
    )
