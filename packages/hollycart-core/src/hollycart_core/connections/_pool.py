"""Idle connections to endpoints, bounded by endpoint."""

import collections

from hollycart_core import base
from hollycart_core.connections import _client

_MAX_IDLE = 8  # connections kept idle for one address


class ConnectionPool:
    """Keeps connections for later exchanges.

    Args:
        clock: Source of time.
        max_idle: Idle connections kept for one address.
    """

    def __init__(self, clock: base.Clock, max_idle: int = _MAX_IDLE) -> None:
        self.clock = clock
        self.max_idle = max_idle
        self._idle: dict[str, collections.deque[_client.ClientConnection]] = {}

    def acquire(
        self, address: str, timeout_ms: float, new_only: bool = False
    ) -> _client.ClientConnection:
        """Returns an idle connection or a new one.

        Args:
            address: `IP:PORT`.
            timeout_ms: Longest time to connect, in ms.
            new_only: Never return a used connection. The peer may close a used
                one while a request is on its way.

        Raises:
            EndpointUnreachableError: If no connection can be made.
        """
        idle = self._idle.get(address)
        while idle and not new_only:
            conn = idle.pop()
            if conn.usable(self.clock.now_ms()):
                return conn
            conn.close()
        conn = _client.ClientConnection(address, self.clock)
        conn.start(timeout_ms)
        return conn

    def release_connection(self, conn: _client.ClientConnection) -> None:
        """Keeps a connection whose exchange is complete, else closes it."""
        idle = self._idle.setdefault(conn.address, collections.deque())
        if len(idle) >= self.max_idle or not conn.usable(self.clock.now_ms()):
            conn.close()
            return
        idle.append(conn)

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
