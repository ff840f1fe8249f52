"""Socket options of all TCP connections."""

from typing import Any

from eventlet.green import socket


def configure(sock: Any, user_timeout_ms: int) -> None:
    """Disables Nagle's algorithm and sets TCP_USER_TIMEOUT.

    Small writes are then sent at once, and the timeout bounds the time to
    detect a peer that vanished without closing the connection.

    Args:
        sock: A TCP socket.
        user_timeout_ms: Time for which sent bytes may stay unacknowledged
            before the kernel drops the connection, in ms.

    Raises:
        OSError: If the connection is already closed.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )
