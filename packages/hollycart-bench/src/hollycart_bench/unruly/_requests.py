"""What clients that do not behave send on one connection."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

_PIECE_BYTES = 65536
_SMALL_CHUNK_BYTES = 16
_SMALL_CHUNKS_BYTES = 1 << 19  # in small chunks; more takes long to send
_EXCESS_FACTOR = 2  # bodies over the limit are this many times as long
_ANNOUNCED_BYTES = 1 << 40
_FRAMING_BYTES = 1 << 18  # of a head, the head of a chunk or its extension
_PIPELINED = 4096
_UNFINISHED_FIELDS_BYTES = 80_000


class RequestKind(NamedTuple):
    """What a client sends, and whether it reads.

    Attributes:
        pieces: Returns what is sent, from the first lines of a valid head,
            without the empty line at its end, and the limit on bodies, in
            bytes.
        reads: Whether the client reads what it gets.
        clients: Number of clients of the crowd.
    """

    pieces: Callable[[bytes, int], Iterator[bytes]]
    reads: bool = True
    clients: int = 64


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _chunked(head: bytes, chunk: bytes, count: int) -> Iterator[bytes]:
    """Yields chunks, but not the last one, several in a piece."""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    at_once = max(1, _PIECE_BYTES // len(chunk))
    for sent in range(0, count, at_once):
        yield chunk * min(at_once, count - sent)


def _large_chunks(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    chunk = _chunk(b"x" * _PIECE_BYTES)
    return _chunked(head, chunk, max_body_bytes // _PIECE_BYTES - 1)


def _small_chunks(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    size = min(max_body_bytes - _PIECE_BYTES, _SMALL_CHUNKS_BYTES)
    chunk = _chunk(b"x" * _SMALL_CHUNK_BYTES)
    return _chunked(head, chunk, size // _SMALL_CHUNK_BYTES)


def _sent_over_limit(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    chunk = _chunk(b"x" * _PIECE_BYTES)
    count = _EXCESS_FACTOR * max_body_bytes // _PIECE_BYTES
    return _chunked(head, chunk, count)


def _with_length(head: bytes, length: int, size: int) -> Iterator[bytes]:
    yield head + b"Content-Length: %d\r\n\r\n" % length
    for sent in range(0, size, _PIECE_BYTES):
        yield b"x" * min(_PIECE_BYTES, size - sent)


def _unfinished(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    return _with_length(head, max_body_bytes, max_body_bytes - 1)


def _announced_over_limit(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    return _with_length(head, _ANNOUNCED_BYTES, max_body_bytes)


def _complete(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    return _with_length(head, max_body_bytes, max_body_bytes)


def _announced_only(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    return _with_length(head, max_body_bytes, 0)


def _many_fields(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    """Yields a head of short fields and a body that stops short."""
    field = b"a:b\r\n"
    fields = field * (_UNFINISHED_FIELDS_BYTES // len(field))
    return _with_length(head + fields, max_body_bytes, 10)


def _endless_head(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    del max_body_bytes
    yield head + b"X-Field: "
    for _ in range(_FRAMING_BYTES // _PIECE_BYTES):
        yield b"x" * _PIECE_BYTES


def _partial_head(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    del max_body_bytes
    yield head + b"X-Field: " + b"x" * 15_000


def _chunk_size(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    del max_body_bytes
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(_FRAMING_BYTES // _PIECE_BYTES):
        yield b"0" * _PIECE_BYTES


def _chunk_extension(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    del max_body_bytes
    yield head + b"Transfer-Encoding: chunked\r\n\r\n1;a="
    for _ in range(_FRAMING_BYTES // _PIECE_BYTES):
        yield b"x" * _PIECE_BYTES


def _idle(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    del head, max_body_bytes
    yield b""


def _pipelined(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    del max_body_bytes
    request = head + b"Content-Length: 0\r\n\r\n"
    at_once = _PIECE_BYTES // len(request)
    for _ in range(0, _PIPELINED, at_once):
        yield request * at_once


def _whole(head: bytes, max_body_bytes: int) -> Iterator[bytes]:
    del max_body_bytes
    yield head + b"Content-Length: 0\r\n\r\n"


_MANY = 600  # more than there are descriptors for in the tests

KINDS: dict[str, RequestKind] = {
    "large chunks": RequestKind(_large_chunks),
    "small chunks": RequestKind(_small_chunks),
    "unfinished": RequestKind(_unfinished),
    "complete": RequestKind(_complete),
    "announced over the limit": RequestKind(_announced_over_limit),
    "sent over the limit": RequestKind(_sent_over_limit),
    "many fields": RequestKind(_many_fields, clients=128),
    "endless head": RequestKind(_endless_head),
    "chunk size": RequestKind(_chunk_size),
    "chunk extension": RequestKind(_chunk_extension),
    "pipelined": RequestKind(_pipelined, reads=False),
    "unread": RequestKind(_whole, reads=False),
    "idle": RequestKind(_idle, clients=_MANY),
    "partial head": RequestKind(_partial_head, clients=_MANY),
    "announced only": RequestKind(_announced_only, clients=_MANY),
}
