"""Callers that read slowly, and what they and others see of it."""

from collections.abc import Callable

import eventlet
from eventlet.green import socket

from hollycart_bench.soak import _engine
from hollycart_core import connections
import hollycart_standins

_REQUEST_TIMEOUT_MS = 3000.0
# Buffer and segment size of a caller's kernel across a network. On loopback
# alone the kernel of the instance would take a whole answer.
_RECEIVE_BYTES = 8192
_SEGMENT_BYTES = 1400


class SlowCaller:
    """Requests a large answer and reads it at a constant rate.

    Args:
        request_id: Id of the request.
        key: API key.
        bytes_per_s: Bytes that are read in a second.

    Attributes:
        status: Status of the response; 0 before it.
        received: Bytes that were read.
        ended: Whether the connection ended.
    """

    def __init__(self, request_id: str, key: str, bytes_per_s: int) -> None:
        self.request_id = request_id
        self.key = key
        self.bytes_per_s = bytes_per_s
        self.status = 0
        self.received = 0
        self.ended = False

    def run(self, address: str, seconds: float) -> None:
        """Reads for some seconds, then closes the connection."""
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        try:
            with eventlet.Timeout(seconds, False):
                sock.connect((host, int(port)))
                sock.sendall(self._encode())
                self._read(sock)
                self.ended = True
        except OSError:
            self.ended = True
        finally:
            sock.close()

    def _read(self, sock: socket.socket) -> None:
        while data := sock.recv(self.bytes_per_s):
            if not self.received:
                self.status = int(data.split(b" ", 2)[1])
            self.received += len(data)
            eventlet.sleep(len(data) / self.bytes_per_s)

    def _encode(self) -> bytes:
        head = hollycart_standins.encode_request(
            self.request_id,
            f"{_engine.LARGE_PATH}{self.request_id}",
            self.key,
            _REQUEST_TIMEOUT_MS,
        )
        return encode(head, 1) + b"."


def send_body(
    address: str, request_id: str, key: str, size: int, seconds: float
) -> int:
    """Sends a request with a large body.

    Args:
        address: `IP:PORT` of the instance.
        request_id: Id of the request.
        key: API key.
        size: Bytes of the body.
        seconds: Time after which the connection is closed, in s.

    Returns:
        Status of the response; 0 without one.
    """
    head = hollycart_standins.encode_request(
        request_id, f"/again/{request_id}", key, seconds * 1000.0
    )
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    try:
        with eventlet.Timeout(seconds, False):
            sock.connect((host, int(port)))
            sock.sendall(encode(head, size) + bytes(size))
            return int(sock.recv(4096).split(b" ", 2)[1])
    except (OSError, IndexError):
        pass  # the instance closed the connection
    finally:
        sock.close()
    return 0


def start_callers(
    address: str,
    keys: list[str],
    count: int,
    bytes_per_s: int,
    seconds: float,
    make_id: Callable[[], str],
) -> tuple[list[SlowCaller], eventlet.GreenPool]:
    """Starts slow callers over a fifth of their time.

    Args:
        address: `IP:PORT` of the instance.
        keys: API keys, used in turn.
        count: Number of callers.
        bytes_per_s: Bytes that each reads in a second.
        seconds: Time until all close their connections, in s.
        make_id: Returns a new request id.

    Returns:
        The callers, and the pool in which they run.
    """
    pool = eventlet.GreenPool(count)
    callers = []
    for number in range(count):
        caller = SlowCaller(make_id(), keys[number % len(keys)], bytes_per_s)
        start_s = seconds / 5.0 * number / count
        callers.append(caller)
        pool.spawn_n(_run_later, caller, address, start_s, seconds)
    return callers, pool


def _run_later(
    caller: SlowCaller, address: str, start_s: float, end_s: float
) -> None:
    eventlet.sleep(start_s)
    caller.run(address, end_s - start_s)


def encode(head: connections.RequestHead, size: int) -> bytes:
    """Returns the bytes of the head of a request with a body of some bytes."""
    fields = b"".join(
        b"%s: %s\r\n" % field
        for field in head.headers
        if field[0].lower() != b"content-length"
    )
    return b"%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n" % (
        head.method,
        head.target,
        fields,
        size,
    )
