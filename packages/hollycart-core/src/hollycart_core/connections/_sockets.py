"""Socket options of all TCP connections."""

import fcntl
import socket as std_socket
import struct
import termios
from typing import Any

from eventlet import hubs
from eventlet.green import socket

from hollycart_core import base


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
    set_user_timeout(sock, user_timeout_ms)


def set_user_timeout(sock: Any, user_timeout_ms: int) -> None:
    """Sets TCP_USER_TIMEOUT.

    Linux also applies it to a peer that acknowledges everything, but reads so
    slowly that its window is closed most of the time.

    Args:
        sock: A TCP socket.
        user_timeout_ms: The timeout, in ms; 0 for that of the system.

    Raises:
        OSError: If the connection is already closed.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )


def count_unread(sock: Any) -> int:
    """Returns the bytes that the other side has not acknowledged.

    Args:
        sock: A TCP socket.

    Raises:
        OSError: If the connection is already closed.
    """
    packed = fcntl.ioctl(sock.fd.fileno(), termios.TIOCOUTQ, bytes(4))
    return int(struct.unpack("i", packed)[0])


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


def send_all(
    sock: Any, data: bytes, timeout_ms: float, end_ms: float, clock: base.Clock
) -> None:
    """Sends data without copying what the socket does not accept at once.

    Args:
        sock: A TCP socket.
        data: What is sent.
        timeout_ms: Longest time in which the socket accepts nothing, in ms.
        end_ms: Instant until which it has to accept everything, in ms.
        clock: Source of time.

    Raises:
        OSError: If sending fails; TimeoutError if it takes too long.
    """
    view = memoryview(data)
    while view:
        try:
            view = view[sock.fd.send(view) :]
        except BlockingIOError:
            left_ms = min(timeout_ms, end_ms - clock.now_ms())
            hubs.trampoline(
                sock.fd,
                write=True,
                timeout=max(0.001, left_ms / 1000.0),
                timeout_exc=std_socket.timeout,
            )
