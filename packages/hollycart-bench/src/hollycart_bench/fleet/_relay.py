"""A TCP relay whose connections can be cut."""

from typing import Any

import eventlet
from eventlet import greenio

from hollycart_bench import platform


class CuttableRelay:
    """Passes connections on to one address while it is not cut.

    Args:
        host: IP address to listen on.
        target: `host:port` to pass connections on to.
    """

    def __init__(self, host: str, target: str) -> None:
        self.host = host
        self.target = target
        self.address = ""
        self.is_cut = False
        self._conns: set[Any] = set()

    def start(self) -> None:
        """Starts to accept on a free port."""
        sock = eventlet.listen((self.host, 0), backlog=256)
        self.address = f"{self.host}:{sock.getsockname()[1]}"
        eventlet.spawn(eventlet.serve, sock, self._serve, 1024)

    def set_cut(self, cut: bool) -> None:
        """Cuts all connections and refuses new ones, or accepts again."""
        self.is_cut = cut
        if cut:
            for conn in list(self._conns):
                greenio.shutdown_safe(conn)

    def _serve(self, conn: Any, _: Any) -> None:
        host, port = self.target.split(":")
        try:
            if self.is_cut:
                raise OSError("cut")
            upstream = eventlet.connect((host, int(port)))
        except OSError:
            conn.close()
            return
        self._conns.update((conn, upstream))
        try:
            platform.copy_bidirectional(conn, upstream)
        finally:
            self._conns.difference_update((conn, upstream))
