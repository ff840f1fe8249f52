"""The state of the store as instances send it to each other."""

import zlib

import msgspec

from hollycart.gateway import _history
from hollycart_core import base
from hollycart_core import kv

_COMPRESSION_LEVEL = 1


class SharedState(msgspec.Struct, array_like=True):
    """What an instance knows of the store.

    Attributes:
        contents: All key-value pairs of the store.
        former: Former values that replace older ones in `contents`.
        era_start: Lowest revision seen in the era of `contents`; None for a
            read of the store.
    """

    contents: kv.RangeResult
    former: tuple[_history.FormerValue, ...] = ()
    era_start: int | None = None


class _Reply(msgspec.Struct, array_like=True):
    """A compressed state and the time since it was last confirmed, in ms."""

    age_ms: float
    compressed: bytes


_REPLY_DECODER = msgspec.msgpack.Decoder(_Reply)
_STATE_DECODER = msgspec.msgpack.Decoder(SharedState)


def compress(raw: _history.RawState) -> bytes:
    """Encodes and compresses a state."""
    state = SharedState(raw.contents, raw.former, raw.era_start)
    return zlib.compress(msgspec.msgpack.encode(state), _COMPRESSION_LEVEL)


def encode_reply(age_ms: float, compressed: bytes) -> bytes:
    """Encodes the reply to a peer that fetches the state.

    Args:
        age_ms: Time since the state was last confirmed, in ms.
        compressed: The compressed state.
    """
    return msgspec.msgpack.encode(_Reply(age_ms, compressed))


def decode_reply(body: bytes) -> tuple[float, SharedState]:
    """Decodes the reply of a peer.

    Returns:
        Time since the state was last confirmed, in ms, and the state.

    Raises:
        PeerUnreachableError: If the reply is malformed.

    Example:
        >>> raw = _history.RawState(kv.RangeResult(7, ()), 0)
        >>> decode_reply(encode_reply(5.0, compress(raw)))[1].contents.revision
        7
    """
    return (
        base.parse(_decode_reply, body)
        .map_err(lambda reason: f"malformed state: {reason}")
        .unwrap_or_raise(base.PeerUnreachableError)
    )


def _decode_reply(body: bytes) -> tuple[float, SharedState]:
    reply = _REPLY_DECODER.decode(body)
    return reply.age_ms, _STATE_DECODER.decode(
        zlib.decompress(reply.compressed)
    )
