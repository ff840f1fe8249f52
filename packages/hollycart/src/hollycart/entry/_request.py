"""Parses and validates completion requests."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec
import xxhash

from hollycart_core import base

BLOCK_BYTES = 4096  # prompt bytes per prefix hash
MAX_BLOCKS = 256  # blocks that are hashed
_DEFAULT_MAX_TOKENS = 128
_MAX_OUTPUT_TOKENS = 65_536
_QUOTE_BYTE = 0x22
# Fields that only this system sets in a request to an engine.
_RESERVED_FIELDS = ("request_id", "resume_from", "priority", "shares")

_T = TypeVar("_T")


class CompletionRequest(NamedTuple):
    """A validated request; its prompt is kept as undecoded JSON.

    Attributes:
        path: Path of the request, also used at the engine:
            `/v1/completions` or `/v1/chat/completions`.
        model: The model.
        fields: All fields of the body, as undecoded JSON.
        stream: Whether the caller wants server-sent events.
        include_usage: Whether the stream ends with a usage event.
        max_tokens: Upper bound on the length of the answer, in tokens.
        prompt_bytes: Length of the prompt as received, in bytes.
        prefix_hashes: Chained hashes of the prompt's leading blocks.
    """

    path: str
    model: str
    fields: dict[str, msgspec.Raw]
    stream: bool
    include_usage: bool
    max_tokens: int
    prompt_bytes: int
    prefix_hashes: tuple[int, ...]

    @property
    def is_chat(self) -> bool:
        """Whether the request was sent to the chat path."""
        return self.path.endswith("/chat/completions")

    def engine_body(
        self, attempt_id: str, priority: int, offset: int, shares: list[str]
    ) -> bytes:
        """Returns the request body of one attempt at an engine.

        Args:
            attempt_id: Id of the attempt.
            priority: Priority at the engine; zero runs first.
            offset: Offset of the first token to generate.
            shares: Addresses of the helpers, if the prompt is split.
        """
        fields: dict[str, Any] = dict(self.fields)
        fields["request_id"] = attempt_id
        fields["priority"] = priority
        fields["stream"] = True
        fields["max_tokens"] = self.max_tokens
        if offset:
            fields["resume_from"] = offset
        if shares:
            fields["shares"] = shares
        return msgspec.json.encode(fields)


class _KnownFields(msgspec.Struct):
    model: str = ""
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int = 1
    stream_options: dict[str, Any] = {}


_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_KNOWN_DECODER = msgspec.json.Decoder(_KnownFields)


def parse_completion(path: str, body: bytes) -> CompletionRequest:
    """Parses and validates a body without decoding the prompt.

    Args:
        path: Path of the request.
        body: The body, in JSON.

    Returns:
        The request.

    Raises:
        InvalidRequestError: If the body is invalid; the detail names the
            field.

    Example:
        >>> body = b'{"model":"m","prompt":"hi","max_tokens":4}'
        >>> parse_completion("/v1/completions", body).max_tokens
        4
    """
    fields = _parse_body(_FIELDS_DECODER, body)
    name = "messages" if path.endswith("/chat/completions") else "prompt"
    other_fields = {k: v for k, v in fields.items() if k != name}
    known = _parse_body(_KNOWN_DECODER, msgspec.json.encode(other_fields))
    for field in _RESERVED_FIELDS:
        if field in fields:
            raise base.InvalidRequestError(f"{field}: is not allowed")
    prompt_json = bytes(fields.get(name, b""))
    _check_prompt(name, prompt_json)
    if not known.model:
        raise base.InvalidRequestError("model: is required")
    if known.n != 1:
        raise base.InvalidRequestError("n: only 1 is supported")
    max_tokens = known.max_completion_tokens or known.max_tokens
    if max_tokens is None:
        max_tokens = _DEFAULT_MAX_TOKENS
    if not 1 <= max_tokens <= _MAX_OUTPUT_TOKENS:
        raise base.InvalidRequestError(
            f"max_tokens: not from 1 to {_MAX_OUTPUT_TOKENS}"
        )
    return CompletionRequest(
        path,
        known.model,
        fields,
        known.stream,
        known.stream_options.get("include_usage") is True,
        max_tokens,
        len(prompt_json) - 2,
        _prefix_hashes(prompt_json),
    )


def parse_deadline_ms(headers: Mapping[str, Any], limit_ms: int) -> float:
    """Returns the time limit of a request, in ms.

    The caller may shorten the limit of its row by a header.

    Raises:
        InvalidRequestError: If the header is not a positive number.
    """
    text = headers.get("HTTP_HOLLYCART_DEADLINE_MS", "")
    if not text:
        return float(limit_ms)
    if not (text.isascii() and text.isdigit()) or len(text) > 12:
        raise base.InvalidRequestError("Hollycart-Deadline-Ms")
    if int(text) < 1:
        raise base.InvalidRequestError("Hollycart-Deadline-Ms")
    return float(min(int(text), limit_ms))


def _parse_body(decoder: msgspec.json.Decoder[_T], body: bytes) -> _T:
    return (
        base.parse(decoder.decode, body)
        .map_err(lambda reason: f"body: {reason}")
        .unwrap_or_raise(base.InvalidRequestError)
    )


def _check_prompt(name: str, prompt_json: bytes) -> None:
    if name == "prompt":
        if len(prompt_json) < 3 or prompt_json[0] != _QUOTE_BYTE:
            raise base.InvalidRequestError("prompt: a non-empty text")
    elif prompt_json[:1] != b"[" or len(prompt_json) < 3:
        raise base.InvalidRequestError("messages: a non-empty list")


def _prefix_hashes(prompt_json: bytes) -> tuple[int, ...]:
    view = memoryview(prompt_json)[1:-1]
    hashes = []
    chained_hash = 0
    blocks = min(MAX_BLOCKS, len(view) // BLOCK_BYTES)
    for number in range(blocks):
        start = number * BLOCK_BYTES
        chained_hash = xxhash.xxh64_intdigest(
            view[start : start + BLOCK_BYTES], seed=chained_hash
        )
        hashes.append(chained_hash)
    return tuple(hashes)
