"""A loopback proxy that harms what passes through it."""

import socket as sockets
import struct
from typing import Any

import eventlet
from eventlet.green import socket

_READ_BYTES = 65536
_BACKLOG = 512
_POLL_S = 0.02


class Proxy:
    """Passes TCP connections on to a target.

    Args:
        address: `IP:PORT` to listen on.
        target: `IP:PORT` to connect to.

    Attributes:
        cut: Nothing passes, connections stay open and new ones hang.
        delay_ms: Time by which bytes come later, in ms.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.cut = False
        self.delay_ms = 0.0
        self._pairs: set[tuple[Any, Any]] = set()
        self._listener: Any = None
        self._acceptor: Any = None

    def start(self) -> None:
        """Begins to accept."""
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)), backlog=_BACKLOG)
        self._acceptor = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stops and resets all connections."""
        self._acceptor.kill()
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections, with a reset on both sides."""
        for pair in list(self._pairs):
            self._drop(pair)

    def _accept(self) -> None:
        while True:
            caller, _ = self._listener.accept()
            eventlet.spawn_n(self._serve, caller)

    def _serve(self, caller: Any) -> None:
        host, _, port = self.target.rpartition(":")
        self._wait()
        target = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            target.connect((host, int(port)))
        except OSError:
            _reset(caller)
            return
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (caller, target)
        self._pairs.add(pair)
        forth = eventlet.spawn(self._pump, caller, target, pair)
        self._pump(target, caller, pair)
        forth.wait()
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(self, source: Any, sink: Any, pair: tuple[Any, Any]) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                self._wait()
                sink.sendall(data)
            self._wait()
            sink.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):  # eventlet's word for a closed socket
            self._drop(pair)

    def _wait(self) -> None:
        if self.delay_ms:
            eventlet.sleep(self.delay_ms / 1000.0)
        while self.cut:
            eventlet.sleep(_POLL_S)

    def _drop(self, pair: tuple[Any, Any]) -> None:
        if pair in self._pairs:
            self._pairs.discard(pair)
            for sock in pair:
                _reset(sock)


def _reset(sock: Any) -> None:
    """Closes with a reset instead of an orderly end."""
    linger = struct.pack("ii", 1, 0)
    try:
        sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, linger)
        sock.shutdown(sockets.SHUT_RDWR)
    except OSError:
        pass  # the other side was faster
    sock.close()
