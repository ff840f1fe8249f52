"""Datagrams on the load of instances, cells and endpoints.

As in `_messages`, the order of the fields and the tags are the wire format.
"""

import msgspec

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
