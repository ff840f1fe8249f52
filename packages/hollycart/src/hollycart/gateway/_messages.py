"""Datagrams between instances."""

from typing import Any

import msgspec

from hollycart_core import placement


class EndpointAssignment(msgspec.Struct, array_like=True):
    """Work at one endpoint, with times in whole ms from the sending."""

    endpoint: str
    ready_ms: int
    context_tokens: int
    memory_tokens: int


class AttemptAssignments(msgspec.Struct, array_like=True):
    """All work of one attempt; the first part is the writing endpoint's.

    What the parts share is sent once: bytes between availability zones are
    dear.
    """

    attempt: str
    decoding: bool
    prefill_ms: int
    first_ms: int
    due_ms: int
    max_gap_ms: int
    weight: int
    parts: list[EndpointAssignment]


class Heartbeat(msgspec.Struct, tag="h", array_like=True):
    """Announces an instance and all of its work.

    Attributes:
        sender: Name of the instance.
        incarnation: Differs for each start of the instance.
        reads: Whether it reads the store successfully.
        running: Requests in progress.
        assignments: Its work by attempt, times relative to the sending.
        slow_endpoints: Factors of endpoints that are slower than published.
    """

    sender: str
    incarnation: int
    reads: bool
    running: int
    assignments: list[AttemptAssignments]
    slow_endpoints: dict[str, float] = {}


class LoadUpdate(msgspec.Struct, tag="l", array_like=True):
    """Announces changes of an instance's work.

    Attributes:
        sender: Name of the instance.
        incarnation: Differs for each start of the instance.
        added: Work of new attempts, times relative to the sending.
        decoding: Attempts whose first event was seen.
        ended: Attempts that ended.
    """

    sender: str
    incarnation: int
    added: list[AttemptAssignments]
    decoding: list[str]
    ended: list[str]


class FreshnessQuery(msgspec.Struct, tag="a", array_like=True):
    """Asks how recently the state was read.

    Attributes:
        sender: Name of the instance.
        stamp_ms: Instant of asking on the sender's clock.
    """

    sender: str
    stamp_ms: float


class FreshnessReply(msgspec.Struct, tag="v", array_like=True):
    """Says how recently the state was read.

    Attributes:
        sender: Name of the instance.
        stamp_ms: Instant from the question.
        age_ms: Age of the proof when this was sent.
        revision: Revision of the store that is known.
        config_revision: Revision of the configuration that is known.
        digest: Hash of the state that is known.
    """

    sender: str
    stamp_ms: float
    age_ms: float
    revision: int
    config_revision: int
    digest: int


class StateChanged(msgspec.Struct, tag="c", array_like=True):
    """Says that the sender has just learned a new state."""

    sender: str
    digest: int


class EndpointSuspected(msgspec.Struct, tag="s", array_like=True):
    """Says that the sender could not connect to an endpoint."""

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
    """Returns the bytes of a message.

    Example:
        >>> decode(encode(FreshnessQuery("a", 1.0))).stamp_ms
        1.0
    """
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message.

    Raises:
        msgspec.DecodeError: If the bytes are no message.
    """
    message: Message = _DECODER.decode(data)
    return message


def pack(
    assignments: tuple[placement.Assignment, ...], now_ms: float
) -> AttemptAssignments:
    """Returns the work of an attempt as it is sent at `now_ms`."""
    primary = assignments[0]
    return AttemptAssignments(
        primary.attempt,
        primary.decoding,
        round(primary.prefill_ms),
        round(primary.first_ms - now_ms),
        round(primary.due_ms - now_ms),
        round(primary.max_gap_ms),
        round(primary.weight),
        [
            EndpointAssignment(
                w.endpoint,
                round(w.ready_ms - now_ms),
                w.context_tokens,
                w.memory_tokens,
            )
            for w in assignments
        ],
    )


def unpack(
    announced: AttemptAssignments, now_ms: float
) -> tuple[placement.Assignment, ...]:
    """Returns the work that was announced, as seen at `now_ms`.

    Example:
        >>> assignment = placement.Assignment(
        ...     "a", "e", True, False, 5, 9, 9, 99, 200, 7, 7, 1
        ... )
        >>> unpack(pack((assignment,), 1.0), 1.0)[0] == assignment
        True
    """
    return tuple(
        placement.Assignment(
            announced.attempt,
            part.endpoint,
            number == 0,
            announced.decoding,
            announced.prefill_ms,
            part.ready_ms + now_ms,
            announced.first_ms + now_ms,
            announced.due_ms + now_ms,
            announced.max_gap_ms,
            part.context_tokens,
            part.memory_tokens,
            announced.weight,
        )
        for number, part in enumerate(announced.parts)
    )
