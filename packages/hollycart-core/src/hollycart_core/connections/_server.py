"""HTTP/1.1 server that passes each request to a handler."""

from collections.abc import Callable
import errno
from typing import Any

from absl import logging
import eventlet
from eventlet import greenio
from eventlet.green import socket

from hollycart_core import base
from hollycart_core.connections import _connection_limit
from hollycart_core.connections import _exchange
from hollycart_core.connections import _memory_gate
from hollycart_core.connections import _server_connection
from hollycart_core.connections import _server_interface
from hollycart_core.connections import _sockets

_BACKLOG = 1024
# Receive buffer of a connection. Linux would let it grow to several MB for
# each caller whose bytes are not read.
RECEIVE_BUFFER_BYTES = 65536
_FINISH_POLL_MS = 2.0
_DEFAULT_LIMITS = _server_interface.ServerLimits()


class HttpExchangeServer:
    """HTTP/1.1 server with one green thread per connection.

    Args:
        address: `IP:PORT` to listen on.
        handler: Responds to one exchange in the connection's green thread; a
            disconnect of the caller raises CallerGoneError in it.
        clock: Source of time.
        limits: Limits on requests.
        memory: Bounds what is held for callers. Without it, sending a response
            waits for the caller.
        max_connections: Largest number of open connections; 0 for no limit.

    Attributes:
        draining: Whether responses carry `Connection: close`.
        closing: Whether the server no longer accepts connections.
        running: Number of requests in flight.
        evicted: Number of connections that were closed in favour of others.
        refused: Number of connections that were closed at once, since all
            others had requests in flight.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[_exchange.Exchange], None],
        clock: base.Clock,
        limits: _server_interface.ServerLimits = _DEFAULT_LIMITS,
        memory: _memory_gate.MemoryGate | None = None,
        max_connections: int = 0,
    ) -> None:
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.memory = memory
        self.max_connections = max_connections
        self.evicted = 0
        self.refused = 0
        self.draining = False
        self.closing = False
        self.running = 0
        self._listener: Any = None
        self._acceptor: Any = None
        self._connections: set[_server_connection.ServerConnection] = set()

    def start(self) -> None:
        """Binds the address and starts to accept connections.

        Raises:
            OSError: If the address cannot be bound.
        """
        host, _, port = self.address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
        self._listener = listener
        self._acceptor = eventlet.spawn(self._accept_connections)

    def drain(self) -> None:
        """Adds `Connection: close` to all further responses."""
        self.draining = True

    def finish(self, timeout_ms: float) -> None:
        """Answers the requests that have arrived, and accepts no others.

        They may be on connections that were not accepted yet, and on idle ones
        whose request was not read yet. Each connection ends with its response.

        Args:
            timeout_ms: Longest time for this, in ms.
        """
        self.closing = True
        end_ms = self.clock.now_ms() + timeout_ms
        if self._acceptor is not None:
            self._acceptor.kill()
            self._acceptor = None
            self._accept_waiting()
            self._listener.close()
        while self.clock.now_ms() < end_ms:
            eventlet.sleep(0)
            if not any(c.has_received() for c in self._connections):
                return
            self.clock.sleep_ms(_FINISH_POLL_MS)

    def close(self) -> None:
        """Stops accepting and closes all connections, idle ones first."""
        self.closing = True
        if self._acceptor is not None:
            self._acceptor.kill()
            self._listener.close()
            self._acceptor = None
        for conn in sorted(self._connections, key=lambda c: c.busy):
            conn.terminate()

    def _accept_connections(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as exc:
                if exc.errno in (errno.EBADF, errno.EINVAL):
                    return
                logging.warning("accepting a connection failed: %s", exc)
                eventlet.sleep(0.05)
                continue
            self._start_connection(sock)

    def _accept_waiting(self) -> None:
        """Accepts the connections that wait in the listener's queue."""
        while True:
            try:
                sock, _ = self._listener.fd.accept()
            except OSError:
                return  # none is waiting
            self._start_connection(greenio.GreenSocket(sock))

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def _start_connection(self, sock: Any) -> None:
        if not self._make_room():
            self.refused += 1
            sock.close()
            return
        try:
            _sockets.configure(sock, _server_connection.TCP_USER_TIMEOUT_MS)
        except OSError as exc:
            logging.info("accepted connection already closed: %s", exc)
            sock.close()
            return
        conn = _server_connection.ServerConnection(self, sock)
        self._connections.add(conn)
        eventlet.spawn_n(self._serve_connection, conn)

    def _make_room(self) -> bool:
        """Returns whether one more connection may be opened."""
        if not self.max_connections:
            return True
        if len(self._connections) < self.max_connections:
            return True
        victim = _connection_limit.choose_victim(
            self._connections, self.clock.now_ms()
        )
        if victim is None:
            return False
        self.evicted += 1
        self._connections.discard(victim)
        victim.terminate()
        return True

    def _serve_connection(
        self, conn: _server_connection.ServerConnection
    ) -> None:
        try:
            conn.run()
        finally:
            self._connections.discard(conn)
