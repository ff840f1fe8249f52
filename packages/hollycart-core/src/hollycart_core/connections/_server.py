"""Accepts callers and hands their requests to a handler."""

from collections.abc import Callable
import errno
from typing import Any
from typing import NamedTuple

from absl import logging
import eventlet
from eventlet import greenthread
from eventlet.green import socket
import h11

from hollycart_core import base
from hollycart_core.connections import _messages
from hollycart_core.connections import _sockets

_READ_BYTES = 65536
_MAX_AHEAD_BYTES = 65536  # read from a caller beyond its current request
_BACKLOG = 1024
_WRITE_TIMEOUT_MS = 10000.0  # a caller that reads nothing is given up
_USER_TIMEOUT_MS = 20000  # unacknowledged bytes towards a caller


class CallerGoneError(base.HollycartError):
    """The caller closed its connection before the answer was complete."""

    code = "caller_gone"


class ServerLimits(NamedTuple):
    """Bounds on what a caller sends, in bytes and ms."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class Exchange:
    """One request and the answer to it.

    Attributes:
        head: Head of the request.
        body: Body of the request.
        response_started: Whether an answer was begun.
        received_ms: Instant at which the head was complete.
    """

    def __init__(
        self,
        connection: "_ServerConnection",
        head: _messages.RequestHead,
        body: bytes,
        received_ms: float,
    ) -> None:
        self.head = head
        self.body = body
        self.received_ms = received_ms
        self.response_started = False
        self._connection = connection

    def respond(
        self, status: int, headers: _messages.Headers, body: bytes
    ) -> None:
        """Sends a whole answer.

        Raises:
            CallerGoneError: If the caller does not take it.
        """
        self.start(status, headers, len(body))
        if body:
            self.write(body)
        self.finish()

    def start(
        self, status: int, headers: _messages.Headers, length: int | None
    ) -> None:
        """Sends the head of an answer; no `length` means chunks."""
        self.response_started = True
        self._connection.send_head(status, headers, length)

    def write(self, data: bytes) -> None:
        """Sends bytes of the body."""
        self._connection.send_event(h11.Data(data))

    def finish(self) -> None:
        """Ends a complete answer."""
        self._connection.send_event(h11.EndOfMessage())

    def abort(self) -> None:
        """Closes the connection so that the answer looks incomplete."""
        self._connection.abort()


class _ServerConnection:
    """One caller's connection."""

    def __init__(self, server: "HttpExchangeServer", sock: Any) -> None:
        self.server = server
        self.busy = False
        self._sock = sock
        self._http = self._new_http()
        self._ahead = b""
        self._ended = False
        self._watcher: Any = None
        self._thread: Any = None

    def run(self) -> None:
        """Serves requests until the connection ends."""
        self._thread = eventlet.getcurrent()
        try:
            while self._serve_one():
                pass
        except CallerGoneError:
            logging.debug("caller left")
        except OSError as exc:
            logging.debug("caller's connection: %s", exc)
        finally:
            self._thread = None
            self.close()

    def end(self) -> None:
        """Ends the serving thread and closes the socket."""
        if self._thread is not None:
            greenthread.kill(self._thread)
        self.close()

    def close(self) -> None:
        """Closes the socket after what was sent."""
        self._stop_watching()
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()

    def abort(self) -> None:
        """Closes the socket at once."""
        self._http.send_failed()
        self.close()

    def send_head(
        self, status: int, headers: _messages.Headers, length: int | None
    ) -> None:
        """Sends the head of an answer."""
        fields = [
            (key, value)
            for key, value in headers
            if key.lower() != b"content-length"
        ]
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        if self.server.draining:
            fields.append((b"Connection", b"close"))
        self.send_event(
            h11.Response(status_code=status, headers=fields, reason=b"")
        )

    def send_event(self, event: Any) -> None:
        """Sends one event of the answer.

        Raises:
            CallerGoneError: If the caller closed or does not read.
        """
        data = self._http.send(event)
        if not data:
            return
        try:
            if self._sock is None:
                raise CallerGoneError("connection is closed")
            self._sock.settimeout(_WRITE_TIMEOUT_MS / 1000.0)
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def _new_http(self) -> Any:
        return h11.Connection(
            h11.SERVER, self.server.limits.header_bytes + _READ_BYTES
        )

    def _serve_one(self) -> bool:
        request = self._read_request()
        if request is None:
            return False
        self.busy = True
        self.server.running += 1
        current = eventlet.getcurrent()
        self._watcher = eventlet.spawn(self._watch, current)
        try:
            self.server.handler(request)
        finally:
            self._stop_watching()
            self.server.running -= 1
            self.busy = False
        if self._sock is None or self._ended:
            return False
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            return False
        self._http.start_next_cycle()
        return not (self.server.closing and not self._ahead)

    def _stop_watching(self) -> None:
        # Before the socket is closed: its number may be used again at once.
        watcher, self._watcher = self._watcher, None
        if watcher is not None and watcher is not eventlet.getcurrent():
            watcher.kill()

    def _watch(self, handler: Any) -> None:
        """Reads ahead and ends the handler when the caller leaves."""
        sock = self._sock
        while sock is not None and len(self._ahead) < _MAX_AHEAD_BYTES:
            try:
                sock.settimeout(None)
                data = sock.recv(_READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self._ended = True
                greenthread.kill(
                    handler, CallerGoneError("closed its connection")
                )
                return
            self._ahead += data

    def _read_request(self) -> Exchange | None:
        limits = self.server.limits
        clock = self.server.clock
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        received_ms = 0.0
        began_ms: float | None = None
        self._feed()
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._reject(exc.error_status_hint, str(exc))
                return None
            if isinstance(event, h11.Request):
                head, received_ms = event, clock.now_ms()
                if self._http.they_are_waiting_for_100_continue:
                    self.send_event(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    self._reject(413, "body too large")
                    return None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return Exchange(
                    self,
                    _messages.RequestHead(
                        bytes(head.method),
                        bytes(head.target),
                        tuple(head.headers.raw_items()),
                    ),
                    b"".join(parts),
                    received_ms,
                )
            elif event is h11.NEED_DATA:
                if began_ms is None and self._http.trailing_data[0]:
                    began_ms = clock.now_ms()
                if not self._receive(limits, head is not None, began_ms):
                    return None
                if began_ms is None:
                    began_ms = clock.now_ms()
            else:
                return None

    def _receive(
        self, limits: ServerLimits, in_body: bool, began_ms: float | None
    ) -> bool:
        """Reads more of a request; returns whether to go on."""
        timeout_ms = limits.idle_timeout_ms
        if began_ms is not None and not in_body:
            spent_ms = self.server.clock.now_ms() - began_ms
            timeout_ms = max(1.0, limits.header_timeout_ms - spent_ms)
        try:
            self._sock.settimeout(timeout_ms / 1000.0)
            data = self._sock.recv(_READ_BYTES)
        except TimeoutError:
            if began_ms is not None:
                self._reject(408, "request not complete in time")
            return False
        except OSError:
            return False
        if not data and began_ms is None:
            return False
        self._http.receive_data(data)
        return True

    def _feed(self) -> None:
        if self._ahead:
            data, self._ahead = self._ahead, b""
            self._http.receive_data(data)

    def _reject(self, status: int, detail: str) -> None:
        logging.info("request rejected: status=%d detail=%s", status, detail)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.send_head(status, ((b"Connection", b"close"),), 0)
        self.send_event(h11.EndOfMessage())


class HttpExchangeServer:
    """Listens for callers.

    Args:
        address: `IP:PORT`.
        handler: Answers one exchange; runs in a green thread.
        clock: Source of time.
        limits: Bounds on requests.

    Attributes:
        draining: Whether answers tell the caller to close its connection.
        running: Requests in progress.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[Exchange], None],
        clock: base.Clock,
        limits: ServerLimits = ServerLimits(),  # noqa: B008
    ) -> None:
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.draining = False
        self.closing = False
        self.running = 0
        self._listener: Any = None
        self._acceptor: Any = None
        self._connections: set[_ServerConnection] = set()

    def start(self) -> None:
        """Binds and accepts.

        Raises:
            OSError: If the address cannot be bound.
        """
        host, _, port = self.address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
        self._listener = listener
        self._acceptor = eventlet.spawn(self._accept)

    def drain(self) -> None:
        """Tells callers with each answer to close their connections."""
        self.draining = True

    def close(self) -> None:
        """Stops accepting and closes idle connections, then the others."""
        self.closing = True
        if self._acceptor is not None:
            self._acceptor.kill()
            self._listener.close()
            self._acceptor = None
        for conn in sorted(self._connections, key=lambda c: c.busy):
            conn.end()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as exc:
                if exc.errno in (errno.EBADF, errno.EINVAL):
                    return
                logging.warning("accept: %s", exc)
                eventlet.sleep(0.05)
                continue
            try:
                _sockets.configure(sock, _USER_TIMEOUT_MS)
            except OSError as exc:
                logging.info("connection lost on accept: %s", exc)
                sock.close()
                continue
            eventlet.spawn_n(self._run, sock)

    def _run(self, sock: Any) -> None:
        conn = _ServerConnection(self, sock)
        self._connections.add(conn)
        try:
            conn.run()
        finally:
            self._connections.discard(conn)
