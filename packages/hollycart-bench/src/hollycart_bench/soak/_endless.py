"""Messages that an engine or a caller at fault sends without end."""

import eventlet
from eventlet.green import socket

from hollycart_core import connections

KINDS = ("interim", "foreign", "body", "event")
_UNITS_AT_ONCE = 400
_WRITE_TIMEOUT_S = 10.0
_DATAGRAMS_AT_ONCE = 20
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


def request_without_end(address: str, kind: str, seconds: float) -> None:
    """Sends requests to an instance until it closes, again and again.

    Args:
        address: `IP:PORT` of the instance.
        kind: `head` or `body`, the part that has no end.
        seconds: Time after which this ends, in s.
    """
    head = b"POST /again/ HTTP/1.1\r\nHost: flood\r\n"
    start, unit = {
        "head": (head, b"X-Field: value\r\n"),
        "body": (
            head + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n",
        ),
    }[kind]
    host, _, port = address.rpartition(":")
    with eventlet.Timeout(seconds, False):
        while True:
            sock = socket.socket()
            try:
                sock.connect((host, int(port)))
                sock.sendall(start)
                while True:
                    sock.sendall(unit * _UNITS_AT_ONCE)
                    eventlet.sleep(0)
            except OSError:
                eventlet.sleep(0.05)  # closed by the instance, as it should be
            finally:
                sock.close()


def send_datagrams(ip: str, port: int, seconds: float) -> None:
    """Floods the port on which an instance hears its peers.

    Args:
        ip: IP address of the instance.
        port: The port.
        seconds: Length of the flood, in s.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        with eventlet.Timeout(seconds, False):
            while True:
                for _ in range(_DATAGRAMS_AT_ONCE):
                    sock.sendto(b"\x93flood", (ip, port))
                eventlet.sleep(0.001)
    finally:
        sock.close()
