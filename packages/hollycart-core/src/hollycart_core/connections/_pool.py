"""Pool of keep-alive connections to endpoints."""

import collections

from hollycart_core import base
from hollycart_core.connections import _client

_MAX_IDLE = 8  # idle connections per address
_SWEEP_INTERVAL_MS = 1000.0


class ConnectionPool:
    """Reuses connections to the same address.

    Args:
        clock: Source of time.
        max_idle: Largest number of idle connections kept per address.
    """

    def __init__(self, clock: base.Clock, max_idle: int = _MAX_IDLE) -> None:
        self.clock = clock
        self.max_idle = max_idle
        self._idle: dict[str, collections.deque[_client.ClientConnection]] = {}
        self._swept_ms = float("-inf")

    def acquire(
        self, address: str, timeout_ms: float, new_only: bool = False
    ) -> _client.ClientConnection:
        """Returns an idle connection or a new one.

        Args:
            address: `IP:PORT`.
            timeout_ms: Timeout of connecting, in ms.
            new_only: Whether to open a new connection in any case. The peer
                may close an idle one while a request is being sent.

        Raises:
            EndpointUnreachableError: If connecting fails.
        """
        idle = self._idle.get(address)
        while idle and not new_only:
            conn = idle.pop()
            if conn.is_reusable(self.clock.now_ms()):
                return conn
            conn.close()
        conn = _client.ClientConnection(address, self.clock)
        conn.start(timeout_ms)
        return conn

    def release_connection(self, conn: _client.ClientConnection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        self._sweep()
        if not conn.is_reusable(self.clock.now_ms()):
            conn.close()
            return
        idle = self._idle.setdefault(conn.address, collections.deque())
        if len(idle) >= self.max_idle:
            conn.close()
            return
        idle.append(conn)

    def count_idle(self) -> int:
        """Returns the number of idle connections to all addresses."""
        return sum(len(idle) for idle in self._idle.values())

    def _sweep(self) -> None:
        """Closes what can no longer be reused, also where nobody asks for it.

        Addresses of endpoints that are gone are never asked for again.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self._swept_ms < _SWEEP_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        for address, idle in list(self._idle.items()):
            kept = [conn for conn in idle if conn.is_reusable(now_ms)]
            for conn in idle:
                if conn not in kept:
                    conn.close()
            if kept:
                self._idle[address] = collections.deque(kept)
            else:
                del self._idle[address]

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
