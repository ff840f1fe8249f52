"""Connection of the HTTP client that reports a reset as an error.

eventlet's sockets report a reset as an orderly end, and urllib3 reads the
response although sending the request failed. A response without a declared
length would look complete where its server broke off.
"""

import functools
import socket as std_socket
from typing import Any
import weakref

import eventlet
from eventlet import hubs

urllib3: Any = eventlet.import_patched("urllib3")

_TCP_CLOSE = 7  # state of Linux; an orderly end leaves CLOSE_WAIT


class StrictConnection(urllib3.connection.HTTPConnection):
    """Connection whose reads fail after a reset."""

    def connect(self) -> None:
        """Connects, and replaces how the socket is read."""
        super().connect()
        # Without a cycle, the socket is freed as soon as nobody refers to it.
        sock = weakref.proxy(self.sock)
        self.sock.recv_into = functools.partial(_receive_into, sock)


class StrictPool(urllib3.HTTPConnectionPool):
    """Pool of such connections."""

    ConnectionCls = StrictConnection


def _receive_into(
    sock: Any, buffer: Any, nbytes: int = 0, flags: int = 0
) -> int:
    """Receives bytes as `socket.recv_into` does.

    Raises:
        OSError: If the connection failed; ConnectionResetError also if the
            error was reported earlier, to the sender of the request.
    """
    while True:
        try:
            received = int(sock.fd.recv_into(buffer, nbytes, flags))
        except BlockingIOError:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=sock.gettimeout(),
                timeout_exc=std_socket.timeout,
            )
            continue
        if not received and _is_reset(sock):
            raise ConnectionResetError("connection reset by the server")
        return received


def _is_reset(sock: Any) -> bool:
    state = sock.fd.getsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_INFO, 1)
    return bool(state[0] == _TCP_CLOSE)
