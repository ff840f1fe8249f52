"""Stand-in for the platform's load balancer: round robin over TCP."""

from collections.abc import Sequence
from typing import Any

import eventlet
from eventlet import greenio

from hollycart_core import base
from hollycart_core import http

_COPY_BYTES = 65536
_PROBE_INTERVAL_MS = 250
_PROBE_TIMEOUT_MS = 1000


class Balancer:
    """Forwards TCP connections in turn to the targets that are ready.

    A target is ready while its `/readyz` responds with status 200.

    Args:
        host: IP address to listen on.
        port: TCP port.
        targets: `host:port` of the entry instances.
        clock: Source of time.
    """

    def __init__(
        self, host: str, port: int, targets: Sequence[str], clock: base.Clock
    ) -> None:
        self.host = host
        self.port = port
        self.targets = targets
        self.clock = clock
        self._ready: list[str] = []
        self._connect_count = 0
        self._client = http.HttpClient()

    def start(self) -> None:
        """Starts the probes and accepts connections."""
        self._client.start()
        for target in self.targets:
            eventlet.spawn(self._probe, target)
        sock = eventlet.listen((self.host, self.port), backlog=1024)
        eventlet.spawn(eventlet.serve, sock, self._serve, 4096)

    def _probe(self, target: str) -> None:
        while True:
            try:
                reply = self._client.send(
                    "GET",
                    f"http://{target}/readyz",
                    timeout_ms=_PROBE_TIMEOUT_MS,
                )
                ready = reply.status == 200
            except base.HollycartError:
                ready = False
            if ready and target not in self._ready:
                self._ready.append(target)
            if not ready and target in self._ready:
                self._ready.remove(target)
            self.clock.sleep_ms(_PROBE_INTERVAL_MS)

    def _serve(self, conn: Any, _: Any) -> None:
        try:
            upstream = self._connect()
        except OSError:
            conn.close()
            return
        copy_bidirectional(conn, upstream)

    def _connect(self) -> Any:
        for _ in range(len(self._ready)):
            self._connect_count += 1
            target = self._ready[self._connect_count % len(self._ready)]
            host, port = target.split(":")
            try:
                return eventlet.connect((host, int(port)))
            except OSError:
                continue
        raise OSError("no target is ready")


def copy_bidirectional(conn: Any, upstream: Any) -> None:
    """Copies bytes in both directions between two sockets.

    The end of one direction is passed on as a half-close. Both sockets are
    closed once both directions have ended.
    """
    upstream_copy = eventlet.spawn(_copy, upstream, conn)
    _copy(conn, upstream)
    upstream_copy.wait()
    conn.close()
    upstream.close()


def _copy(source: Any, sink: Any) -> None:
    try:
        while True:
            data = source.recv(_COPY_BYTES)
            if not data:
                break
            sink.sendall(data)
    except OSError:
        pass
    greenio.shutdown_safe(sink)
