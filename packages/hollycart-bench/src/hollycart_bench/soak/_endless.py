"""Responses that an engine at fault sends without end."""

import eventlet

from hollycart_core import connections

KINDS = ("interim", "foreign", "body", "event")
_UNITS_AT_ONCE = 400
_WRITE_TIMEOUT_S = 10.0
_INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
_SUCCESS = b"HTTP/1.1 200 OK\r\n"


def send_without_end(
    exchange: connections.Exchange, kind: str, headers: connections.Headers
) -> None:
    """Sends a response until the other side closes the connection.

    Args:
        exchange: The request.
        kind: One of `KINDS`: interim responses; a body without a length, of
            another request or of this one; an event in chunks of one byte.
        headers: Header fields of a sound response.
    """
    own = b"".join(b"%s: %s\r\n" % field for field in headers)
    head, unit = {
        "interim": (b"", _INTERIM),
        "foreign": (_SUCCESS + b"\r\n", b"x" * 100),
        "body": (_SUCCESS + own + b"\r\n", b"x" * 100),
        "event": (
            _SUCCESS + own + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n",
        ),
    }[kind]
    sock = exchange.detach()
    sock.settimeout(_WRITE_TIMEOUT_S)
    try:
        sock.sendall(head)
        while True:
            sock.sendall(unit * _UNITS_AT_ONCE)
            eventlet.sleep(0)
    except OSError:
        return  # the other side has closed the connection, as it should
    finally:
        sock.close()
