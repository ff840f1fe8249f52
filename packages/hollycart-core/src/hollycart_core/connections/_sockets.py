"""Options of all TCP connections."""

from typing import Any

from eventlet.green import socket


def configure(sock: Any, user_timeout_ms: int) -> None:
    """Sends small writes at once and bounds how long a dead peer goes unseen.

    Args:
        sock: A TCP socket.
        user_timeout_ms: Time for which sent bytes may stay unacknowledged
            before the kernel drops the connection, in ms.

    Raises:
        OSError: If the connection is lost already.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )
