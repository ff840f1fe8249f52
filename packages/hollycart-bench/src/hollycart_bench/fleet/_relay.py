"""A TCP relay that can be blocked."""

from typing import Any

import eventlet
from eventlet import greenio

from hollycart_bench import platform


class BlockableRelay:
    """Relays connections to one address unless it is blocked.

    Args:
        host: IP address to listen on.
        target: `host:port` to relay connections to.
    """

    def __init__(self, host: str, target: str) -> None:
        self.host = host
        self.target = target
        self.address = ""
        self.is_blocked = False
        self._conns: set[Any] = set()

    def start(self) -> None:
        """Starts to accept connections on a free port."""
        sock = eventlet.listen((self.host, 0), backlog=256)
        self.address = f"{self.host}:{sock.getsockname()[1]}"
        eventlet.spawn(eventlet.serve, sock, self._serve, 1024)

    def set_blocked(self, blocked: bool) -> None:
        """Closes all connections and rejects new ones, or ends the block."""
        self.is_blocked = blocked
        if blocked:
            for conn in list(self._conns):
                greenio.shutdown_safe(conn)

    def _serve(self, conn: Any, _: Any) -> None:
        host, port = self.target.split(":")
        try:
            if self.is_blocked:
                raise OSError("relay is blocked")
            upstream = eventlet.connect((host, int(port)))
        except OSError:
            conn.close()
            return
        self._conns.update((conn, upstream))
        try:
            platform.copy_bidirectional(conn, upstream)
        finally:
            self._conns.difference_update((conn, upstream))
