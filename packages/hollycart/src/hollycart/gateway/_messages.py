"""Datagrams between instances, encoded with MessagePack.

The structs are sent as arrays: the order of their fields and the tags are the
wire format, the names are not.
"""

from typing import Any

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


class Heartbeat(msgspec.Struct, tag="h", array_like=True):
    """Announces an instance and its whole load.

    Attributes:
        sender: Name of the instance.
        incarnation: Differs for each start of the instance.
        reads_store: Whether it reads the store successfully.
        running: Number of requests in flight.
        assignments: Its load by attempt.
        slow_endpoints: Slowness by id, for endpoints that are slower than
            their published speed.
    """

    sender: str
    incarnation: int
    reads_store: bool
    running: int
    assignments: list[AttemptAssignments]
    slow_endpoints: dict[str, float] = {}


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
    """

    sender: str
    query_sent_ms: float
    age_ms: float
    revision: int
    config_revision: int
    digest: int


class StateChanged(msgspec.Struct, tag="c", array_like=True):
    """Announces that the sender has applied a changed state."""

    sender: str
    digest: int


class EndpointSuspected(msgspec.Struct, tag="s", array_like=True):
    """Announces that the sender could not connect to an endpoint."""

    sender: str
    endpoint: str


Message = (
    Heartbeat
    | LoadUpdate
    | FreshnessQuery
    | FreshnessReply
    | StateChanged
    | EndpointSuspected
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
        )
        for number, assignment in enumerate(announced.endpoint_assignments)
    )
