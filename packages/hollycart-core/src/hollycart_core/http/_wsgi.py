"""Helpers for WSGI applications."""

from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import Any

import eventlet
import msgspec

from hollycart_core import base

StartResponse = Callable[..., Any]

_REASON_PHRASES = {
    200: "OK",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    409: "Conflict",
    413: "Payload Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
}
_READ_BYTES = 1 << 18


def respond(
    start_response: StartResponse,
    status: int,
    body: bytes,
    headers: Iterable[tuple[str, str]] = (),
    content_type: str = "application/json",
) -> list[bytes]:
    """Starts a response with a complete body and returns the WSGI iterable."""
    fields = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(f"{status} {_REASON_PHRASES.get(status, 'Status')}", fields)
    return [body]


def json_response(
    start_response: StartResponse,
    status: int,
    value: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Starts a response with a JSON body and returns the WSGI iterable."""
    return respond(start_response, status, msgspec.json.encode(value), headers)


def read_body(
    environ: dict[str, Any],
    limit_bytes: int,
    timeout_ms: float = 30_000,
) -> bytes:
    """Reads a request body.

    Args:
        environ: The WSGI environment.
        limit_bytes: Largest accepted body, in bytes.
        timeout_ms: Timeout of reading the whole body, in ms.

    Returns:
        The body.

    Raises:
        InvalidRequestError: If Content-Length is not a number or the body is
            truncated.
        PayloadTooLargeError: If the body exceeds `limit_bytes`.
        BodyTimeoutError: If the body does not arrive in time.
    """
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    raw_length = environ.get("CONTENT_LENGTH") or "0"
    if not raw_length.isascii() or not raw_length.isdigit():
        raise base.InvalidRequestError("Content-Length is not a number")
    length = int(raw_length)
    if length > limit_bytes:
        raise base.PayloadTooLargeError(f"over {limit_bytes} bytes")
    stream = environ["wsgi.input"]
    # One byte more than the limit shows that a chunked body is too large.
    max_read_bytes = limit_bytes + 1 if chunked else length
    body = bytearray()
    deadline_s = time.monotonic() + timeout_ms / 1000.0
    timer = eventlet.Timeout(max(0.001, deadline_s - time.monotonic()))
    try:
        while len(body) < max_read_bytes:
            chunk = stream.read(min(_READ_BYTES, max_read_bytes - len(body)))
            if not chunk:
                break
            body += chunk
    except eventlet.Timeout as exc:
        if exc is not timer:
            raise
        raise base.BodyTimeoutError("body") from exc
    except (OSError, ValueError) as exc:
        raise base.InvalidRequestError("body ended early") from exc
    finally:
        timer.cancel()
    if chunked and len(body) > limit_bytes:
        raise base.PayloadTooLargeError(f"over {limit_bytes} bytes")
    if not chunked and len(body) < length:
        raise base.InvalidRequestError("body ended early")
    return bytes(body)
