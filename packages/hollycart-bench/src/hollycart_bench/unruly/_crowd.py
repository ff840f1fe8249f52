"""A crowd of clients that do not behave."""

from collections.abc import Callable
from collections.abc import Iterator
import socket as std_socket

import eventlet
from eventlet.green import socket

from hollycart_bench.unruly import _requests

_RECEIVE_BYTES = 8192  # receive buffer of a client that does not read
_SETTLE_POLL_S = 0.1
_SETTLE_POLLS = 10  # in a row without progress
_MAX_POLLS = 600


class _Client:
    """One client, with one connection at a time."""

    def __init__(self, address: str, kind: _requests.RequestKind) -> None:
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.kind = kind
        self.progress = 0  # bytes that were sent or read, and connections
        self._sock: socket.socket | None = None

    def run(self, pieces: Iterator[bytes]) -> None:
        """Sends the pieces, then keeps the connection open."""
        try:
            self._sock = sock = socket.socket()
            if not self.kind.reads:
                sock.setsockopt(
                    std_socket.SOL_SOCKET, std_socket.SO_RCVBUF, _RECEIVE_BYTES
                )
            sock.connect(self.address)
            self.progress += 1
            for piece in pieces:
                sock.sendall(piece)
                self.progress += len(piece)
            while self.kind.reads and (data := sock.recv(65536)):
                self.progress += len(data)
        except OSError:
            self.progress += 1  # refused, which is allowed

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()


class Crowd:
    """Clients that send the same kind of request and stay connected.

    Args:
        address: `IP:PORT` to which they connect.
        kind: What they do.
        make_head: Returns the first lines of a valid head by the number of the
            client, without the empty line at its end.
        max_body_bytes: Limit on bodies, in bytes.
    """

    def __init__(
        self,
        address: str,
        kind: _requests.RequestKind,
        make_head: Callable[[int], bytes],
        max_body_bytes: int,
    ) -> None:
        self.make_head = make_head
        self.max_body_bytes = max_body_bytes
        self.kind = kind
        self._clients = [_Client(address, kind) for _ in range(kind.clients)]
        self._threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Connects all clients and starts to send."""
        for number, client in enumerate(self._clients):
            head = self.make_head(number)
            pieces = self.kind.pieces(head, self.max_body_bytes)
            self._threads.append(eventlet.spawn(client.run, pieces))

    def wait_settled(self) -> None:
        """Waits until no client gets any further.

        Raises:
            TimeoutError: If they still do after 600 looks.
        """
        calm_polls = 0
        before = -1
        for _ in range(_MAX_POLLS):
            eventlet.sleep(_SETTLE_POLL_S)
            progress = sum(c.progress for c in self._clients)
            calm_polls = calm_polls + 1 if progress == before else 0
            if calm_polls == _SETTLE_POLLS:
                return
            before = progress
        raise TimeoutError("clients still send or receive")

    def close(self) -> None:
        """Closes all connections."""
        for thread in self._threads:
            thread.kill()
        for client in self._clients:
            client.close()
