"""One client connection and the exchange on it."""

import socket as socket_errors
from typing import Any

from eventlet import hubs
from eventlet.green import socket
import h11

from hollycart_core import base
from hollycart_core.connections import _messages
from hollycart_core.connections import _sockets

_READ_BYTES = 65536
_MAX_HEAD_BYTES = 65536
# Linux drops a connection whose sent bytes are not acknowledged for this long.
_USER_TIMEOUT_MS = 3000
_KEEP_ALIVE_DEFAULT_MS = 4000.0  # idle time granted if the peer names none


class ClientConnection:
    """A connection to an endpoint, used for one exchange at a time.

    Args:
        address: `IP:PORT`.
        clock: Source of time.

    Attributes:
        idle_until_ms: Instant up to which the peer keeps the idle connection.
        used: Exchanges that were begun on it.
    """

    def __init__(self, address: str, clock: base.Clock) -> None:
        self.address = address
        self.clock = clock
        self.idle_until_ms = 0.0
        self.used = 0
        self._sock: Any = None
        self._http = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        self._reusable = False
        self._foreign = False

    def start(self, timeout_ms: float) -> None:
        """Connects.

        Raises:
            EndpointUnreachableError: If there is no connection in time.
        """
        host, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            _sockets.configure(sock, _USER_TIMEOUT_MS)
            sock.settimeout(max(0.001, timeout_ms / 1000.0))
            sock.connect((host, int(port)))
        except (OSError, ValueError) as exc:
            sock.close()
            raise base.EndpointUnreachableError(
                f"connect {self.address}: {exc}"
            ) from exc
        except BaseException:
            sock.close()
            raise
        self._sock = sock

    def close(self) -> None:
        """Closes the connection; what is in progress on it is given up."""
        self._reusable = False
        if self._sock is not None:
            sock, self._sock = self._sock, None
            sock.close()

    @property
    def open(self) -> bool:
        """Whether the connection has not been closed on this side."""
        return self._sock is not None

    def usable(self, now_ms: float) -> bool:
        """Returns whether an idle connection may carry another request.

        Bytes or an end that arrived while it was idle make it unusable.
        """
        if not self._reusable or self._sock is None:
            return False
        if now_ms >= self.idle_until_ms:
            return False
        try:
            self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(
        self, head: _messages.RequestHead, body: bytes, timeout_ms: float
    ) -> None:
        """Sends a whole request.

        Raises:
            EndpointFailedError: If the connection breaks; bytes may have
                been delivered.
        """
        if self.used:
            self._http.start_next_cycle()
        self.used += 1
        self._reusable = False
        self._foreign = False
        fields = [
            (key, value)
            for key, value in head.headers
            if key.lower() != b"content-length"
        ]
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            fields.append((b"Content-Length", str(len(body)).encode()))
        try:
            data = self._http.send(
                h11.Request(
                    method=head.method, target=head.target, headers=fields
                )
            )
            assert data is not None
            if body:
                data += self._http.send(h11.Data(body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as exc:
            self.close()
            raise base.InvalidRequestError(str(exc)) from exc
        try:
            self._sock.settimeout(max(0.001, timeout_ms / 1000.0))
            self._sock.sendall(data)
        except OSError as exc:
            self.close()
            raise base.EndpointFailedError(
                f"send {self.address}: {exc}"
            ) from exc

    def skip_foreign_answer(self, request: _messages.RequestHead) -> None:
        """Reads past an answer that belongs to another request.

        An endpoint may repeat an earlier answer; the answer to `request`
        follows it on the same connection.

        Raises:
            EndpointFailedError: If the foreign answer does not end.
        """
        while self.read_data(_USER_TIMEOUT_MS) is not None:
            pass
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        self._http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=[(b"Host", b"-"), (b"Content-Length", b"0")],
            )
        )
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        self._foreign = True

    def read_head(self, timeout_ms: float) -> _messages.ResponseHead:
        """Waits for the head of the answer.

        Raises:
            SilentEndpointError: If it does not come in time.
            EndpointFailedError: If the connection breaks or is no HTTP.
        """
        event = self._next_event(timeout_ms)
        while isinstance(event, h11.InformationalResponse):
            event = self._next_event(timeout_ms)
        if not isinstance(event, h11.Response):
            self.close()
            raise base.EndpointFailedError(
                f"{self.address} closed the connection without an answer"
            )
        headers = tuple(event.headers.raw_items())
        length = _messages.find_header(headers, b"content-length")
        self._note_keep_alive(headers)
        return _messages.ResponseHead(
            event.status_code, headers, int(length) if length else None
        )

    def read_data(self, timeout_ms: float) -> bytes | None:
        """Returns the next bytes of the body, None at its end.

        Raises:
            SilentEndpointError: If nothing comes in time.
            EndpointFailedError: If the body is cut.
        """
        event = self._next_event(timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._end_exchange()
            return None
        self.close()
        raise base.EndpointFailedError(f"{self.address} cut its answer")

    def read_body(self, timeout_ms: float, max_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            EndpointFailedError: If it is cut or larger than `max_bytes`.
        """
        parts: list[bytes] = []
        size = 0
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            data = self.read_data(end_ms - self.clock.now_ms())
            if data is None:
                return b"".join(parts)
            size += len(data)
            if size > max_bytes:
                self.close()
                raise base.EndpointFailedError("answer too large")
            parts.append(data)

    def _next_event(self, timeout_ms: float) -> Any:
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self.close()
                raise base.EndpointFailedError(
                    f"{self.address} sent no HTTP: {exc}"
                ) from exc
            if event is not h11.NEED_DATA:
                return event
            self._receive(end_ms - self.clock.now_ms())

    def _receive(self, timeout_ms: float) -> None:
        if self._sock is None:
            raise base.EndpointFailedError("connection is closed")
        if timeout_ms <= 0:
            raise base.SilentEndpointError(f"no answer from {self.address}")
        try:
            data = self._receive_bytes(timeout_ms)
        except TimeoutError as exc:
            raise base.SilentEndpointError(
                f"no answer from {self.address}"
            ) from exc
        except OSError as exc:
            self.close()
            raise base.EndpointFailedError(
                f"read {self.address}: {exc}"
            ) from exc
        self._http.receive_data(data)

    def _receive_bytes(self, timeout_ms: float) -> bytes:
        """Returns received bytes, none at a regular end.

        eventlet's own `recv` reports a reset as a regular end, which would
        make a cut answer without a length look complete.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            try:
                return bytes(self._sock.fd.recv(_READ_BYTES))
            except BlockingIOError:
                left_ms = max(1.0, end_ms - self.clock.now_ms())
                hubs.trampoline(
                    self._sock.fd,
                    read=True,
                    timeout=left_ms / 1000.0,
                    timeout_exc=socket_errors.timeout,
                )

    def _note_keep_alive(self, headers: _messages.Headers) -> None:
        idle_ms = _KEEP_ALIVE_DEFAULT_MS
        for part in _messages.find_header(headers, b"keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                idle_ms = float(value) * 1000.0
        # Half is left for the request to arrive before the peer closes.
        self.idle_until_ms = self.clock.now_ms() + idle_ms / 2.0

    def _end_exchange(self) -> None:
        done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._foreign
        )
        self._reusable = done
