"""Client side of an HTTP/1.1 connection."""

from collections.abc import Callable
import socket as std_socket
from typing import Any

from eventlet import hubs
from eventlet.green import socket
import h11

from hollycart_core import base
from hollycart_core.connections import _messages
from hollycart_core.connections import _sockets

_READ_BYTES = 65536
_MAX_HEAD_BYTES = 65536
# Interim responses before the final one. One a second is usual while a request
# is processed; no request takes longer than a minute.
_MAX_INTERIM_RESPONSES = 64
_MAX_INTERIM_BYTES = 1 << 18  # received for them
# Pieces of one body: chunks, or what arrives at once. Framing of much smaller
# pieces would cost more than the content.
_MAX_BODY_PIECES = 16384
_MAX_COPIED_BYTES = 65536  # of a body that is sent together with its head
_MAX_FOREIGN_BYTES = 1 << 20  # body of a response to another request
_UNIT_BYTES = 4096  # bytes that are received in one unit of work
# TCP_USER_TIMEOUT: Linux drops a connection whose sent bytes are not
# acknowledged for this long.
_TCP_USER_TIMEOUT_MS = 3000
# Keep-alive timeout of a peer that does not declare one.
_DEFAULT_KEEP_ALIVE_MS = 4000.0


class ClientConnection:
    """A connection to an endpoint, used for one exchange at a time.

    Args:
        address: `IP:PORT`.
        clock: Source of time.

    Attributes:
        idle_until_ms: Instant until which the idle connection may be reused,
            in ms of the clock.
        exchange_count: Number of exchanges started on the connection.
    """

    def __init__(self, address: str, clock: base.Clock) -> None:
        self.address = address
        self.clock = clock
        self.idle_until_ms = 0.0
        self.exchange_count = 0
        self._sock: Any = None
        self._http = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        self._method = b""
        self._reusable = False
        self._skipped_foreign = False
        self._framing = _messages.Framing.LENGTH
        self._interim_count = 0
        self._head_bytes = 0
        self._work = base.WorkMeter(f"response of {address}")

    def start(self, timeout_ms: float) -> None:
        """Connects to the endpoint.

        Args:
            timeout_ms: Timeout of connecting, in ms.

        Raises:
            EndpointUnreachableError: If connecting fails or times out.
        """
        host, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            _sockets.configure(sock, _TCP_USER_TIMEOUT_MS)
            sock.settimeout(max(0.001, timeout_ms / 1000.0))
            sock.connect((host, int(port)))
        except (OSError, ValueError) as exc:
            sock.close()
            raise base.EndpointUnreachableError(
                f"connecting to {self.address} failed: {exc}"
            ) from exc
        except BaseException:
            sock.close()
            raise
        self._sock = sock

    def close(self) -> None:
        """Closes the connection and aborts an exchange in progress."""
        self._reusable = False
        if self._sock is not None:
            sock, self._sock = self._sock, None
            sock.close()

    @property
    def is_open(self) -> bool:
        """Whether this side has connected and not closed the connection."""
        return self._sock is not None

    @property
    def is_new(self) -> bool:
        """Whether the connection has carried no other response.

        On a new one, what arrives can only be the response to its request.
        """
        return self.exchange_count == 1 and not self._skipped_foreign

    def is_reusable(self, now_ms: float) -> bool:
        """Returns whether the idle connection can carry another request.

        It cannot if bytes or the end of the stream arrived while it was idle.

        Args:
            now_ms: Current instant, in ms of the clock.
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
        self,
        head: _messages.RequestHead,
        body: bytes,
        timeout_ms: float,
        total_timeout_ms: float = float("inf"),
    ) -> None:
        """Sends a complete request.

        Args:
            head: Head of the request; its Content-Length is replaced.
            body: Body of the request.
            timeout_ms: Longest time in which the endpoint accepts nothing, in
                ms.
            total_timeout_ms: Timeout of sending the whole request, in ms.

        Raises:
            InvalidRequestError: If the request is not valid HTTP; nothing was
                sent.
            SilentEndpointError: If the endpoint does not accept the request in
                time; a part of it may have been delivered.
            EndpointFailedError: If sending fails; a part of the request may
                have been delivered.
        """
        if self.exchange_count:
            self._http.start_next_cycle()
        self.exchange_count += 1
        self._method = head.method
        self._reusable = False
        self._skipped_foreign = False
        self._interim_count = 0
        self._head_bytes = 0
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
            content = (self._http.send(h11.Data(body)) or b"") if body else b""
            end = self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as exc:
            self.close()
            raise base.InvalidRequestError(str(exc)) from exc
        end_ms = self.clock.now_ms() + total_timeout_ms
        try:
            self._sock.settimeout(max(0.001, timeout_ms / 1000.0))
            if len(content) <= _MAX_COPIED_BYTES:
                self._sock.sendall(data + content + end)
            else:
                self._sock.sendall(data)
                _sockets.send_all(
                    self._sock, content, timeout_ms, end_ms, self.clock
                )
                self._sock.sendall(end)
        except TimeoutError as exc:
            self.close()
            raise base.SilentEndpointError(
                f"{self.address} did not accept the request in time"
            ) from exc
        except OSError as exc:
            self.close()
            raise base.EndpointFailedError(
                f"sending to {self.address} failed: {exc}"
            ) from exc

    def skip_foreign_response(self, request: _messages.RequestHead) -> None:
        """Discards the body of a response that belongs to another request.

        An endpoint may send an earlier response again before the response to
        `request`, on the same connection. The connection is not reused after
        that.

        Args:
            request: Head of the request that still awaits its response.

        Raises:
            SilentEndpointError: If the body is not complete in time.
            EndpointFailedError: If the body is truncated or too large, or ends
                with the connection.
        """
        if self._framing is _messages.Framing.CONNECTION:
            self.close()
            raise base.EndpointFailedError(
                f"{self.address} sent a response to another request, without a "
                "declared end"
            )
        self.read_body(_TCP_USER_TIMEOUT_MS, _MAX_FOREIGN_BYTES)
        # h11 accepts one response per request, so a new parser that awaits the
        # response to `request` takes over the bytes received so far.
        trailing = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT, _MAX_HEAD_BYTES)
        self._http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=[(b"Host", b"-"), (b"Content-Length", b"0")],
            )
        )
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)
        self._skipped_foreign = True

    def read_head(self, timeout_ms: float) -> _messages.ResponseHead:
        """Waits for the head of the response.

        Args:
            timeout_ms: Time to wait for a complete head, in ms.

        Raises:
            SilentEndpointError: If the head does not arrive in time.
            EndpointFailedError: If the connection breaks, the response is not
                valid HTTP or there are too many interim ones.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        event = self._next_event(timeout_ms)
        while isinstance(event, h11.InformationalResponse):
            self._check_interim_responses()
            event = self._next_event(end_ms - self.clock.now_ms())
        if not isinstance(event, h11.Response):
            self.close()
            raise base.EndpointFailedError(
                f"{self.address} closed the connection before a response"
            )
        headers = tuple(event.headers.raw_items())
        length = _messages.find_header(headers, b"content-length")
        self._update_idle_until(headers)
        self._framing = _messages.find_framing(
            self._method, event.status_code, headers
        )
        return _messages.ResponseHead(
            event.status_code,
            headers,
            int(length) if length else None,
            self._framing,
        )

    def read_data(self, timeout_ms: float) -> bytes | None:
        """Returns the next bytes of the body, or None at its end.

        Args:
            timeout_ms: Time to wait for data, in ms.

        Raises:
            SilentEndpointError: If no data arrives in time.
            EndpointFailedError: If the body is truncated.
        """
        event = self._next_event(timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish_exchange()
            return None
        self.close()
        raise base.EndpointFailedError(f"response of {self.address} truncated")

    def read_body(self, timeout_ms: float, max_bytes: int) -> bytes:
        """Returns the whole body.

        Args:
            timeout_ms: Time to wait for the whole body, in ms.
            max_bytes: Largest accepted body, in bytes.

        Raises:
            SilentEndpointError: If the body is not complete in time.
            EndpointFailedError: If the body is truncated or too large.
        """
        return b"".join(self.read_parts(timeout_ms, max_bytes))

    def read_parts(
        self,
        timeout_ms: float,
        max_bytes: int,
        on_growth: Callable[[int], None] = lambda size: None,
    ) -> list[bytes]:
        """Returns the whole body in parts, of 64 KB at least but for the last.

        Args:
            timeout_ms: Time to wait for the whole body, in ms.
            max_bytes: Largest accepted body, in bytes.
            on_growth: Called with the bytes received so far, before more is
                read. The time that it takes does not count.

        Raises:
            SilentEndpointError: If the body is not complete in time.
            EndpointFailedError: If the body is truncated or too large.
        """
        parts: list[bytes] = []
        last: list[bytes] = []
        last_bytes = 0
        size = 0
        pieces = 0
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            data = self.read_data(end_ms - self.clock.now_ms())
            if data is None:
                return [*parts, b"".join(last)] if last else parts
            size += len(data)
            pieces += 1
            last.append(data)
            last_bytes += len(data)
            if last_bytes >= _READ_BYTES:
                parts.append(b"".join(last))
                last, last_bytes = [], 0
            grown_ms = self.clock.now_ms()
            on_growth(size)
            end_ms += self.clock.now_ms() - grown_ms
            if size > max_bytes or pieces > _MAX_BODY_PIECES:
                self.close()
                raise base.EndpointFailedError(
                    f"response of {self.address} exceeds {max_bytes} bytes or "
                    f"{_MAX_BODY_PIECES} pieces"
                )

    def _next_event(self, timeout_ms: float) -> Any:
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self.close()
                raise base.EndpointFailedError(
                    f"{self.address} sent an invalid HTTP response: {exc}"
                ) from exc
            if event is not h11.NEED_DATA:
                self._work.add(1)
                return event
            self._receive(end_ms - self.clock.now_ms())

    def _check_interim_responses(self) -> None:
        self._interim_count += 1
        if (
            self._interim_count > _MAX_INTERIM_RESPONSES
            or self._head_bytes > _MAX_INTERIM_BYTES
        ):
            self.close()
            raise base.EndpointFailedError(
                f"{self.address} sent {self._interim_count} interim responses "
                f"in {self._head_bytes} bytes and no final one"
            )

    def _receive(self, timeout_ms: float) -> None:
        if self._sock is None:
            raise base.EndpointFailedError(
                f"connection to {self.address} is closed"
            )
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
                f"reading from {self.address} failed: {exc}"
            ) from exc
        self._head_bytes += len(data)
        self._http.receive_data(data)
        self._work.add(1 + len(data) // _UNIT_BYTES)

    def _receive_bytes(self, timeout_ms: float) -> bytes:
        """Returns received bytes, or no bytes at an orderly close.

        eventlet's `recv` reports a reset as an orderly close. A truncated
        response without Content-Length would then look complete.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            try:
                return bytes(self._sock.fd.recv(_READ_BYTES))
            except BlockingIOError:
                remaining_ms = max(1.0, end_ms - self.clock.now_ms())
                hubs.trampoline(
                    self._sock.fd,
                    read=True,
                    timeout=remaining_ms / 1000.0,
                    timeout_exc=std_socket.timeout,
                )
                self._work.reset()

    def _update_idle_until(self, headers: _messages.Headers) -> None:
        keep_alive_ms = _DEFAULT_KEEP_ALIVE_MS
        for part in _messages.find_header(headers, b"keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                keep_alive_ms = float(value) * 1000.0
        # Reuse ends at half the peer's timeout, so that the next request
        # arrives before the peer closes the connection.
        self.idle_until_ms = self.clock.now_ms() + keep_alive_ms / 2.0

    def _finish_exchange(self) -> None:
        done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._skipped_foreign
        )
        self._reusable = done
