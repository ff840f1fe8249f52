"""Helpers for WSGI applications."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet
import msgspec

from hollycart_core import base
from hollycart_core import connections
from hollycart_core.http import _connections
from hollycart_core.http import _request_memory

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
_READ_BYTES = 1 << 14
# Chunks of a few bytes take many times their size until they are joined.
_CHUNKED_READ_BYTES = 1 << 12
# In this time others give way that have stopped for longest.
_RETRY_AFTER_MS = 500.0


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
    """Reads a request body, as far as there is memory for it.

    While it is read, the connection may give way to a new one.

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
        OverloadedError: If the request gave way to others that need memory.
    """
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    raw_length = environ.get("CONTENT_LENGTH") or "0"
    if not raw_length.isascii() or not raw_length.isdigit():
        raise base.InvalidRequestError("Content-Length is not a number")
    length = int(raw_length)
    if length > limit_bytes:
        raise base.PayloadTooLargeError(f"over {limit_bytes} bytes")
    # One byte more than the limit shows that a chunked body is too large.
    max_read_bytes = limit_bytes + 1 if chunked else length
    conn = environ.get(_connections.CONNECTION_KEY)
    if conn is not None:
        conn.set_busy(False)
    body = bytearray()
    timer = eventlet.Timeout(max(0.001, timeout_ms / 1000.0))
    try:
        _receive(environ, body, max_read_bytes, chunked)
        if conn is not None:
            conn.set_busy(True)
    except eventlet.Timeout as exc:
        if exc is not timer:
            raise
        raise base.BodyTimeoutError("body") from None
    except connections.ResponseShedError as exc:
        raise base.OverloadedError(
            f"the body was not received: {exc.detail}", _RETRY_AFTER_MS
        ) from None
    except (OSError, ValueError) as exc:
        raise base.InvalidRequestError(f"body ended early: {exc}") from None
    finally:
        timer.cancel()
    if chunked and len(body) > limit_bytes:
        raise base.PayloadTooLargeError(f"over {limit_bytes} bytes")
    if not chunked and len(body) < length:
        raise base.InvalidRequestError("body ended early")
    return bytes(body)


def _receive(
    environ: dict[str, Any], body: bytearray, max_bytes: int, chunked: bool
) -> None:
    """Receives up to `max_bytes` of a body, while there is room for it."""
    stream = environ["wsgi.input"]
    memory = environ.get(_request_memory.MEMORY_KEY)
    read_bytes = _CHUNKED_READ_BYTES if chunked else _READ_BYTES
    if memory is not None:
        memory.start()
    while len(body) < max_bytes:
        if memory is not None:
            memory.wait()
        chunk = stream.read(min(read_bytes, max_bytes - len(body)))
        if not chunk:
            break
        body += chunk
        if memory is not None:
            memory.add(len(chunk))
    if memory is not None:
        memory.complete()
