"""A TCP proxy that injects network faults."""

import socket as sockets
import struct
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.green import socket

_READ_BYTES = 65536
_BACKLOG = 512
_BLACKHOLE_POLL_S = 0.02
_SLOW_RECEIVE_BYTES = 8192  # kernel buffer of a connection that is read slowly


class FaultProxy:
    """Forwards TCP connections to a target and injects faults.

    Args:
        address: `IP:PORT` to listen on.
        target: `IP:PORT` to connect to.

    Attributes:
        blackholed: Whether nothing is forwarded. Connections stay open, and new
            ones are accepted but not connected to the target.
        delay_ms: Delay added to each block of bytes and each connect, in ms.
        read_bytes_per_s: Rate at which requests are read, in bytes a second; 0
            for no limit.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.blackholed = False
        self.delay_ms = 0.0
        self.read_bytes_per_s = 0
        self._pairs: set[tuple[Any, Any]] = set()
        self._listener: Any = None
        self._acceptor: Any = None

    def start(self) -> None:
        """Starts to accept connections."""
        host, _, port = self.address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)), backlog=_BACKLOG)
        self._acceptor = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stops accepting and resets all connections."""
        self._acceptor.kill()
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Resets both sides of all connections."""
        for pair in list(self._pairs):
            self._reset_pair(pair)

    def _accept(self) -> None:
        while True:
            caller, _ = self._listener.accept()
            if self.read_bytes_per_s:
                caller.setsockopt(
                    sockets.SOL_SOCKET, sockets.SO_RCVBUF, _SLOW_RECEIVE_BYTES
                )
            eventlet.spawn_n(self._serve, caller)

    def _serve(self, caller: Any) -> None:
        host, _, port = self.target.rpartition(":")
        self._apply_faults()
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
        upstream_forward = eventlet.spawn(self._forward, caller, target, pair)
        self._forward(target, caller, pair)
        upstream_forward.wait()
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _forward(self, source: Any, sink: Any, pair: tuple[Any, Any]) -> None:
        try:
            while data := _receive(source):
                self._apply_faults()
                if self.read_bytes_per_s and source is pair[0]:
                    eventlet.sleep(len(data) / self.read_bytes_per_s)
                sink.sendall(data)
            self._apply_faults()
            sink.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):  # eventlet: EOFError for a closed socket
            self._reset_pair(pair)

    def _apply_faults(self) -> None:
        if self.delay_ms:
            eventlet.sleep(self.delay_ms / 1000.0)
        while self.blackholed:
            eventlet.sleep(_BLACKHOLE_POLL_S)

    def _reset_pair(self, pair: tuple[Any, Any]) -> None:
        if pair in self._pairs:
            self._pairs.discard(pair)
            for sock in pair:
                _reset(sock)


def _reset(sock: Any) -> None:
    """Closes a socket with a reset (RST) instead of an orderly close."""
    linger = struct.pack("ii", 1, 0)
    try:
        sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, linger)
    except OSError:
        pass  # the peer has already closed the connection
    sock.close()


def _receive(sock: Any) -> bytes:
    """Returns received bytes; eventlet's `recv` reports a reset as the end."""
    while True:
        try:
            return bytes(sock.fd.recv(_READ_BYTES))
        except BlockingIOError:
            hubs.trampoline(sock.fd, read=True)
