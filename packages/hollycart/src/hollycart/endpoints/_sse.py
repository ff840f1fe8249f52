"""Decodes the server-sent events of an engine into frames."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from hollycart_core import base
from hollycart_core import streams

_MAX_EVENT_BYTES = 1 << 20


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class _Event(msgspec.Struct):
    id: str = ""
    offset: int = -1
    choices: list[_Choice] = []
    usage: _Usage = msgspec.field(default_factory=_Usage)


class EngineFrame(NamedTuple):
    """A frame with the token usage that the engine reports with it.

    Attributes:
        frame: The frame.
        prompt_tokens: Prompt length as counted by the engine; 0 if the event
            has no usage.
        cached_tokens: Prompt tokens found in the prefix cache; 0 if the event
            has no usage.
        finish_reason: Why decoding ended; empty except in the last frame.
    """

    frame: streams.Frame
    prompt_tokens: int
    cached_tokens: int
    finish_reason: str


_DECODER = msgspec.json.Decoder(_Event)


def parse_events(chunks: Iterable[bytes]) -> Iterator[EngineFrame]:
    r"""Yields the frames of a stream.

    Comments and the end marker `[DONE]` are skipped.

    Args:
        chunks: The response body, split at any byte.

    Raises:
        EndpointFailedError: If an event is malformed, or longer than 1 MiB.

    Example:
        >>> data = b'data: {"id":"a","offset":0,"choices":[{"text":"x"}]}'
        >>> [f.frame.tokens for f in parse_events([data, b"\n\n"])]
        [('x',)]
    """
    pending = b""
    for chunk in chunks:
        pending += chunk
        *lines, pending = pending.split(b"\n")
        if len(pending) > _MAX_EVENT_BYTES:
            raise base.EndpointFailedError("event too long")
        for line in lines:
            if line.startswith(b"data: {"):
                yield _parse_event(line[6:])


def _parse_event(data: bytes) -> EngineFrame:
    event = (
        base.parse(_DECODER.decode, data)
        .map_err(lambda reason: f"event: {reason}")
        .unwrap_or_raise(base.EndpointFailedError)
    )
    choice = event.choices[0] if event.choices else _Choice()
    frame = streams.Frame(
        event.id,
        event.offset,
        (choice.text,),
        choice.finish_reason is not None,
    )
    return EngineFrame(
        frame,
        event.usage.prompt_tokens,
        event.usage.cached_tokens,
        choice.finish_reason or "",
    )
