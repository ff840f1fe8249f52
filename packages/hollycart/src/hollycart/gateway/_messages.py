"""Datagrams between instances."""

from typing import Any

import msgspec

from hollycart_core import placement


class Hello(msgspec.Struct, tag="h", array_like=True):
    """Announces an instance and all of its work.

    Attributes:
        sender: Name of the instance.
        boot: Differs for each start of the instance.
        reads: Whether it reads the store successfully.
        running: Requests in progress.
        works: Its work by attempt, times relative to the sending.
        slow: Factors of endpoints that are slower than published.
    """

    sender: str
    boot: int
    reads: bool
    running: int
    works: list[list[placement.Work]]
    slow: dict[str, float] = {}


class Load(msgspec.Struct, tag="l", array_like=True):
    """Announces changes of an instance's work.

    Attributes:
        sender: Name of the instance.
        boot: Differs for each start of the instance.
        added: Work of new attempts, times relative to the sending.
        writing: Attempts whose first event was seen.
        ended: Attempts that ended.
    """

    sender: str
    boot: int
    added: list[list[placement.Work]]
    writing: list[str]
    ended: list[str]


class Ask(msgspec.Struct, tag="a", array_like=True):
    """Asks how recently the state was read.

    Attributes:
        sender: Name of the instance.
        stamp_ms: Instant of asking on the sender's clock.
    """

    sender: str
    stamp_ms: float


class Vouch(msgspec.Struct, tag="v", array_like=True):
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


class Changed(msgspec.Struct, tag="c", array_like=True):
    """Says that the sender has just learned a new state."""

    sender: str
    digest: int


class Suspect(msgspec.Struct, tag="s", array_like=True):
    """Says that the sender could not connect to an endpoint."""

    sender: str
    endpoint: str


Message = Hello | Load | Ask | Vouch | Changed | Suspect

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: Any = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the bytes of a message.

    Example:
        >>> decode(encode(Ask("a", 1.0))).stamp_ms
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


def relative(
    works: tuple[placement.Work, ...], now_ms: float
) -> list[placement.Work]:
    """Returns work with instants as distances from `now_ms`."""
    return [
        w._replace(
            read_ms=round(w.read_ms, 1),
            ready_ms=round(w.ready_ms - now_ms, 1),
            first_ms=round(w.first_ms - now_ms, 1),
            due_ms=round(w.due_ms - now_ms, 1),
            weight=round(w.weight, 2),
        )
        for w in works
    ]


def absolute(
    works: list[placement.Work], now_ms: float
) -> list[placement.Work]:
    """Returns work with distances turned into instants."""
    return [
        w._replace(
            ready_ms=w.ready_ms + now_ms,
            first_ms=w.first_ms + now_ms,
            due_ms=w.due_ms + now_ms,
        )
        for w in works
    ]
