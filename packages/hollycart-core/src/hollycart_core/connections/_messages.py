"""Requests and responses as they are sent on a connection."""

from collections.abc import Iterable
import enum
from typing import NamedTuple

# Names and values of the header fields, unchanged and in the order sent.
Headers = tuple[tuple[bytes, bytes], ...]

_STATUSES_WITHOUT_BODY = frozenset((204, 304))

# Header fields that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class RequestHead(NamedTuple):
    """Method, raw target and header fields of a request."""

    method: bytes
    target: bytes
    headers: Headers


class Framing(enum.StrEnum):
    """How the end of a response body is declared (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    # The body ends with the connection. An orderly close in the middle of the
    # body cannot be told from its end.
    CONNECTION = "connection"


class ResponseHead(NamedTuple):
    """Status and header fields of a response.

    Attributes:
        status: HTTP status.
        headers: Header fields.
        length: Content-Length in bytes; None if not declared.
        framing: How the end of the body is declared.
    """

    status: int
    headers: Headers
    length: int | None = None
    framing: Framing = Framing.LENGTH


class Response(NamedTuple):
    """A response that was read completely."""

    status: int
    headers: Headers
    body: bytes


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Returns the first value of a header field; empty if it is missing.

    Args:
        headers: Names and values of the fields.
        name: Name of the field, in lower case.

    Example:
        >>> find_header([(b"Host", b"a")], b"host")
        'a'
    """
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1").strip()
    return ""


def find_framing(
    method: bytes, status: int, headers: Iterable[tuple[bytes, bytes]]
) -> Framing:
    """Returns how the end of a response body is declared.

    Args:
        method: Method of the request.
        status: HTTP status of the response.
        headers: Header fields of the response.

    Example:
        >>> find_framing(b"GET", 200, [(b"Transfer-Encoding", b"chunked")])
        <Framing.CHUNKED: 'chunked'>
        >>> find_framing(b"GET", 200, [])
        <Framing.CONNECTION: 'connection'>
    """
    fields = list(headers)
    if method == b"HEAD" or status in _STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if find_header(fields, b"transfer-encoding"):
        return Framing.CHUNKED
    if find_header(fields, b"content-length"):
        return Framing.LENGTH
    return Framing.CONNECTION


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the header fields without the hop-by-hop fields.

    The fields that `Connection` lists are hop-by-hop, too.

    Example:
        >>> fields = [(b"Connection", b"x"), (b"X", b"1"), (b"A", b"")]
        >>> end_to_end_headers(fields)
        ((b'A', b''),)
    """
    fields = list(headers)
    connection_options = {
        token.strip().lower()
        for key, value in fields
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (key, value)
        for key, value in fields
        if key.lower() not in _HOP_BY_HOP
        and key.lower() not in connection_options
    )
