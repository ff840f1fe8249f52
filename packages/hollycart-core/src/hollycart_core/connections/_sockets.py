"""Socket options of all TCP connections."""

import struct
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


def set_reset_on_close(sock: Any, enabled: bool) -> None:
    """Sets whether closing the connection resets it.

    The kernel closes the sockets of a process that is killed in the same way.

    Args:
        sock: A TCP socket.
        enabled: Whether to reset instead of closing in an orderly way.

    Raises:
        OSError: If the connection is already closed.
    """
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0)
    )
