"""WSGI server for green threads."""

from collections.abc import Callable
from collections.abc import Iterable
import errno
import functools
import logging
from typing import Any

from absl import logging as absl_logging
import eventlet
from eventlet import greenio
from eventlet import wsgi
from eventlet.green import socket

from hollycart_core import connections
from hollycart_core.http import _connections

_SOCKET_TIMEOUT_S = 15  # per socket operation
_BACKLOG = 1024
# Failures to accept one connection, after which others may be accepted.
_PASSING_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
_ACCEPT_PAUSE_S = 0.05


class HttpServer:
    """Serves a WSGI application, each connection in a green thread.

    Args:
        app: The WSGI application.
        host: IP address to listen on.
        port: TCP port; zero selects a free one at the start.
        max_conns: Largest number of concurrent connections. Beyond it, the one
            that is idle for longest gives way.
    """

    def __init__(
        self,
        app: Callable[..., Iterable[bytes]],
        host: str,
        port: int,
        max_conns: int = 4096,
    ) -> None:
        self.app = app
        self.host = host
        self.port = port
        self.max_conns = max_conns
        self._sock: Any = None
        self._thread: Any = None
        self._log = logging.Logger("http", level=logging.CRITICAL)

    def start(self) -> None:
        """Binds the address and starts to accept connections.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._sock = eventlet.listen(
            (self.host, self.port), backlog=_BACKLOG, reuse_port=False
        )
        self._sock.accept = functools.partial(_accept, self._sock)
        # Accepted connections inherit the size.
        self._sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            connections.RECEIVE_BUFFER_BYTES,
        )
        self.port = self._sock.getsockname()[1]
        self._thread = eventlet.spawn(self._serve)

    def close(self) -> None:
        """Stops accepting connections; requests in flight go on."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        if self._sock is not None:
            greenio.shutdown_safe(self._sock)
            self._sock.close()
            self._sock = None

    def _serve(self) -> None:
        pool = _connections.ConnectionPool(self.max_conns)
        wsgi.server(
            self._sock,
            self.app,
            environ={_connections.CONNECTION_KEY: pool},
            protocol=_connections.BoundedProtocol,
            custom_pool=pool,
            log=self._log,
            log_output=False,
            minimum_chunk_size=0,
            socket_timeout=_SOCKET_TIMEOUT_S,
            keepalive=True,
            debug=False,
        )


def _accept(listener: Any) -> Any:
    """Accepts a connection; eventlet's server would end for want of files.

    Raises:
        OSError: If the listener was closed.
    """
    while True:
        try:
            return greenio.GreenSocket.accept(listener)
        except OSError as exc:
            if exc.errno not in _PASSING_ERRORS:
                raise
            absl_logging.warning("accepting a connection failed: %s", exc)
            eventlet.sleep(_ACCEPT_PAUSE_S)
