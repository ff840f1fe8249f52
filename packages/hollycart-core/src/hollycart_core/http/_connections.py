"""Connections of the WSGI server: how many, and what one may hold."""

import time
from typing import Any

import eventlet
from eventlet import greenio
from eventlet import wsgi

from hollycart_core import connections

CONNECTION_KEY = "hollycart.connection"  # in the WSGI environment
# Size and extension of a chunk, and a line after the last one.
_MAX_LINE_BYTES = wsgi.MAX_HEADER_LINE


class WsgiConnection:
    """What decides whether a connection gives way to a new one.

    Args:
        state: Address, socket and state of the connection, as the server
            keeps them.

    Attributes:
        busy: Whether a request has been received and is being answered.
        closed: Whether it gave way to another connection.
        active_ms: Instant at which a request was received or answered, in ms.
        stalled_since_ms: None; a caller that does not read is disconnected by
            the time limit of the socket.
    """

    stalled_since_ms = None

    def __init__(self, state: list[Any]) -> None:
        self.state = state
        self.closed = False
        self.set_busy(False)

    def set_busy(self, busy: bool) -> None:
        """Records that a request is being answered, or not any more."""
        self.busy = busy
        self.active_ms = time.monotonic() * 1000.0

    def close(self) -> None:
        """Ends the connection; its thread finds it closed."""
        self.closed = True
        greenio.shutdown_safe(self.state[1])


class ConnectionPool(eventlet.GreenPool):
    """Green threads of the connections; an idle one gives way to a new one.

    Args:
        size: Largest number of connections.
    """

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self._connections: dict[int, WsgiConnection] = {}

    def find(self, state: list[Any]) -> WsgiConnection:
        """Returns the connection with this state."""
        return self._connections[id(state)]

    def spawn(self, function: Any, state: list[Any]) -> Any:
        """Starts the thread of a connection, once there is room for it."""
        if self.free() <= 0:
            victim = connections.choose_victim(
                [c for c in self._connections.values() if not c.closed],
                time.monotonic() * 1000.0,
            )
            if victim is not None:
                victim.close()
        self._connections[id(state)] = WsgiConnection(state)
        thread = super().spawn(function, state)
        thread.link(self._forget, state)
        return thread

    def _forget(self, thread: Any, state: list[Any]) -> None:
        del thread
        self._connections.pop(id(state), None)


class _BoundedReader:
    """Reads from a buffered socket, and lines up to a length only."""

    def __init__(self, raw: Any) -> None:
        self.raw = raw
        self.read = raw.read
        self.close = raw.close

    @property
    def closed(self) -> bool:
        return bool(self.raw.closed)

    def readline(self, size: int = -1) -> bytes:
        if size >= 0:
            return bytes(self.raw.readline(size))
        line = bytes(self.raw.readline(_MAX_LINE_BYTES + 1))
        if len(line) > _MAX_LINE_BYTES:
            raise OSError(f"line exceeds {_MAX_LINE_BYTES} bytes")
        return line


class BoundedProtocol(wsgi.HttpProtocol):
    """Protocol of a connection whose lines are bounded.

    eventlet bounds those of the head, but not those of a chunked body.
    """

    def setup(self) -> None:
        """Opens the files of the connection."""
        super().setup()
        self.rfile: Any = _BoundedReader(getattr(self, "rfile"))  # noqa: B009

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment, with the connection."""
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self._connection
        return environ

    def handle_one_response(self) -> None:
        """Answers one request."""
        self._connection.set_busy(True)
        try:
            super().handle_one_response()
        finally:
            self._connection.set_busy(False)

    def finish(self) -> None:
        """Closes the connection."""
        try:
            super().finish()
        finally:
            # Without this the descriptor stays open until the next cyclic
            # garbage collection: closing the other file fails if the caller
            # has left, and the environment refers to this object.
            self.rfile.close()
            self.environ: dict[str, Any] = {}

    @property
    def _connection(self) -> WsgiConnection:
        pool: ConnectionPool = self.server.environ[CONNECTION_KEY]
        return pool.find(self.conn_state)
