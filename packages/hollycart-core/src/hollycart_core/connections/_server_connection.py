"""Connection of one caller to the server.

It reads the requests one after the other and sends what the handler responds.
"""

from collections.abc import Callable
import socket as std_socket
import sys
from typing import Any

from absl import logging
import eventlet
from eventlet import greenthread
from eventlet import hubs
from eventlet.green import socket
import h11

from hollycart_core import base
from hollycart_core.connections import _exchange
from hollycart_core.connections import _exchange_memory
from hollycart_core.connections import _memory_gate
from hollycart_core.connections import _messages
from hollycart_core.connections import _server_interface
from hollycart_core.connections import _sockets

# TCP_USER_TIMEOUT: Linux drops a connection whose sent bytes are not
# acknowledged for this long.
TCP_USER_TIMEOUT_MS = 20000
_READ_BYTES = 65536
_HEAD_READ_BYTES = 8192  # read at once while no body is expected
_MAX_READ_AHEAD_BYTES = 65536  # received after the request in progress
# Part of a head and of bytes to parse that each connection may hold without an
# account. Heads within the usual limit need no more.
_FREE_HEAD_BYTES = 32768
_POLL_ROOM_MS = 100.0  # between looks for room to read ahead
# Wire bytes of a byte of a body in a chunk of its own: its size in one digit
# and two line ends.
_WIRE_BYTES_PER_BYTE = 6
_FIELD_BYTES = 128  # of a header field, in addition to its content
_UNIT_BYTES = 4096  # bytes that are received in one unit of work
_HTTP_1_0 = b"1.0"
_WRITE_TIMEOUT_MS = 10000.0  # a caller that reads nothing is disconnected
# Time in which the rest of a body is discarded after its request was refused.
# A connection that is closed before would be reset, and the response lost.
_DISCARD_TIMEOUT_MS = 1000.0
_MAX_DISCARD_BYTES = 1 << 20
# The refusal of a body asks for a retry after this time, in which the budget
# sheds what is held for longest.
_REFUSAL_RETRY_AFTER_MS = 500.0


class ServerConnection:
    """Connection of one caller.

    Args:
        server: The server that accepted the connection.
        sock: Socket of the connection.

    Attributes:
        busy: Whether a request is being answered.
        active_ms: Instant at which something was received or a response
            ended, in ms of the clock.
        memory: What is held for the request in progress; None if there is none
            or nothing bounds it.
    """

    def __init__(self, server: _server_interface.Server, sock: Any) -> None:
        self.server = server
        self.busy = False
        self.active_ms = server.clock.now_ms()
        self.memory: _exchange_memory.ExchangeMemory | None = None
        self._sock = sock
        self._http = self._new_parser()
        self._read_ahead_data = b""
        self._caller_gone = False
        self._interrupted = False
        self._head: _messages.RequestHead | None = None
        self._head_bytes = 0
        self._received_ms = 0.0
        self._body_wire_bytes = 0  # received of a body, with its framing
        self._resets_on_close = False
        self._has_long_timeout = False
        self._watcher: Any = None
        self._thread: Any = None
        self._work = base.WorkMeter(f"request to {server.address}")

    @property
    def stalled_since_ms(self) -> float | None:
        """Instant since which the caller does not accept its response."""
        return None if self.memory is None else self.memory.stalled_since_ms

    def run(self) -> None:
        """Serves requests until the connection ends."""
        if self._sock is None:
            return  # the server was closed before this thread started
        self._thread = eventlet.getcurrent()
        try:
            while self._serve_one():
                pass
        except _exchange.CallerGoneError:
            logging.debug("caller disconnected")
        except _memory_gate.ResponseShedError as exc:
            logging.info("incomplete head given up: %s", exc.detail)
        except OSError as exc:
            logging.debug("connection to the caller failed: %s", exc)
        finally:
            self._thread = None
            self.close()

    def has_received(self) -> bool:
        """Returns whether a request has arrived that was not answered yet."""
        if self.busy or self._sock is None:
            return self.busy
        if self._read_ahead_data or self._http.trailing_data[0]:
            return True
        try:
            peeked = self._sock.fd.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            return False
        return bool(peeked)

    def terminate(self) -> None:
        """Kills the serving thread and closes the socket."""
        if self._thread is not None:
            greenthread.kill(self._thread)
        self.close()

    def close(self) -> None:
        """Closes the socket; bytes sent before are still delivered."""
        self._stop_watcher()
        self._close_memory()
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()

    def abort(self) -> None:
        """Closes the socket in the middle of a response."""
        self._http.send_failed()
        self.close()

    def detach(self) -> Any:
        """Returns the socket and serves no further requests on it."""
        self._stop_watcher()
        sock, self._sock = self._sock, None
        if sock is None:
            raise _exchange.CallerGoneError(
                "connection to the caller is closed"
            )
        return sock

    def send_head(
        self, status: int, headers: _messages.Headers, length: int | None
    ) -> None:
        """Sends the head of a response; no `length` means chunked coding."""
        fields = [
            (key, value)
            for key, value in headers
            if key.lower() != b"content-length"
        ]
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        if self.server.draining or self._http.their_state is h11.SEND_BODY:
            fields.append((b"Connection", b"close"))
        if length is None and self._http.their_http_version == _HTTP_1_0:
            # Only the end of the connection will declare the end of the body,
            # so an unfinished response has to end with a reset.
            self._set_reset_on_close(True)
        self.send_event(
            h11.Response(status_code=status, headers=fields, reason=b"")
        )

    def finish_response(self) -> None:
        """Ends the response."""
        self.send_event(h11.EndOfMessage())
        if self.memory is None or self.memory.is_flushed:
            self._declare_end()

    def flush(self) -> None:
        """Waits until the socket has accepted the response.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
            ResponseShedError: If the response was given up to free memory.
        """
        if self.memory is None:
            return
        try:
            self.memory.flush()
        except OSError as exc:
            raise _exchange.CallerGoneError(str(exc)) from exc
        if self._is_response_started():
            self.memory.raise_if_shed()
        if self._http.our_state in (h11.DONE, h11.MUST_CLOSE):
            self._declare_end()

    def _declare_end(self) -> None:
        """Lets the end of the connection declare the end of the body."""
        if self._resets_on_close:
            self._set_reset_on_close(False)

    def _is_response_started(self) -> bool:
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def _set_reset_on_close(self, enabled: bool) -> None:
        try:
            if self._sock is None:
                raise _exchange.CallerGoneError(
                    "connection to the caller is closed"
                )
            _sockets.set_reset_on_close(self._sock, enabled)
        except OSError as exc:
            raise _exchange.CallerGoneError(str(exc)) from exc
        self._resets_on_close = enabled

    def send_event(self, event: Any) -> None:
        """Sends one h11 event of the response.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
            ResponseShedError: If the response was given up to free memory.
        """
        if self.memory is not None and self.memory.shed_error is not None:
            if self._is_response_started():
                self.memory.raise_if_shed()
            self._reopen_memory()  # for the response with the failure
        memory = self.memory
        data = self._http.send(event)
        if not data:
            return
        try:
            if self._sock is None:
                raise _exchange.CallerGoneError(
                    "connection to the caller is closed"
                )
            if memory is not None:
                memory.write(data)
                return
            self._sock.settimeout(_WRITE_TIMEOUT_MS / 1000.0)
            self._sock.sendall(data)
        except OSError as exc:
            raise _exchange.CallerGoneError(str(exc)) from exc

    def _new_parser(self) -> Any:
        # The limits may change while the connection is open, the parser's own
        # limit cannot. `_check_incomplete` applies the one in force.
        return h11.Connection(h11.SERVER, sys.maxsize)

    def _serve_one(self) -> bool:
        self._interrupted = False
        exchange = self._read_request()
        if exchange is None:
            return False
        self.busy = True
        self.server.running += 1
        self._watcher = eventlet.spawn(self._detect_disconnect)
        try:
            self.server.handler(exchange)
            self.flush()
        except _memory_gate.ResponseShedError as exc:
            logging.info("response given up: %s", exc.detail)
            self.abort()
        finally:
            self._stop_watcher()
            self._close_memory()
            self.server.running -= 1
            self.busy = False
            self.active_ms = self.server.clock.now_ms()
        if self._sock is None or self._caller_gone:
            return False
        if exchange.refusal is not None:
            exchange.refusal.__traceback__ = None  # refers to the exchange
            del exchange
            self._release_head()
            self._discard_rest()
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            return False
        self._http.start_next_cycle()
        return not self.server.closing or self.has_received()

    def _stop_watcher(self) -> None:
        # The watcher stops before the socket is closed, because the kernel may
        # reuse the file descriptor at once.
        watcher, self._watcher = self._watcher, None
        if watcher is not None and watcher is not eventlet.getcurrent():
            watcher.kill()

    def _close_memory(self) -> None:
        memory, self.memory = self.memory, None
        if memory is not None:
            memory.close()
            self._has_long_timeout |= memory.was_buffered

    def _restore_timeout(self) -> None:
        """Ends the longer timeout once a slow caller has read everything."""
        if self._has_long_timeout and not _sockets.count_unread(self._sock):
            _sockets.set_user_timeout(self._sock, TCP_USER_TIMEOUT_MS)
            self._has_long_timeout = False

    def _open_memory(self) -> None:
        if self.server.memory is not None:
            self.memory = _exchange_memory.ExchangeMemory(
                self.server.memory,
                self._sock,
                _WRITE_TIMEOUT_MS,
                self._schedule_shedding,
                self._handle_failed_send,
            )

    def _reopen_memory(self) -> None:
        """Opens a new account after the former one was shed."""
        self._close_memory()
        self._open_memory()
        self._count_head()

    def _release_head(self) -> None:
        self._head = None
        self._head_bytes = 0

    def _count_head(self) -> None:
        """Counts the head and the bytes that were not parsed."""
        if self.memory is None:
            return
        data = self._http.trailing_data[0]
        size = len(data) + len(self._read_ahead_data) + self._head_bytes
        if self._head is None:
            # Parsing makes them objects, several times as large as a line.
            size += _FIELD_BYTES * data.count(b"\n")
        self.memory.count_head(max(0, size - _FREE_HEAD_BYTES))

    def _schedule_shedding(self, exc: _memory_gate.ResponseShedError) -> None:
        eventlet.spawn_n(self._interrupt_shed, exc)

    def _interrupt_shed(self, exc: _memory_gate.ResponseShedError) -> None:
        memory = self.memory
        if memory is None or memory.is_raised:
            return
        if memory.shed_error is exc:
            self._interrupt(exc)

    def _handle_failed_send(self, detail: str) -> None:
        if self.memory is not None and not self._interrupted:
            self._caller_gone = True
            self._interrupt(_exchange.CallerGoneError(detail))

    def _interrupt(self, exc: base.HollycartError) -> None:
        """Raises a failure in the thread that serves the request, once."""
        if not self._interrupted:
            self._interrupted = True
            greenthread.kill(self._thread, exc)

    def _detect_disconnect(self) -> None:
        """Reads ahead and interrupts the handler if the caller disconnects."""
        sock = self._sock
        left_bytes = _MAX_READ_AHEAD_BYTES - len(self._http.trailing_data[0])
        while sock is not None and left_bytes > 0:
            try:
                data = self._receive_bytes(
                    None, min(left_bytes, _HEAD_READ_BYTES), self._poll_room
                )
            except OSError:
                data = b""
            if not data:
                self._caller_gone = True
                self._interrupt(
                    _exchange.CallerGoneError("caller closed the connection")
                )
                return
            self._read_ahead_data += data
            left_bytes -= len(data)
            self._count_head()

    def _read_request(self) -> _exchange.Exchange | None:
        self._release_head()
        try:
            return self._receive_request()
        except _memory_gate.ResponseShedError as exc:
            if self._head is None:
                raise
            self._reopen_memory()
            self._interrupted = False
            refusal = base.OverloadedError(
                f"the body was not received: {exc.detail}",
                _REFUSAL_RETRY_AFTER_MS,
            )
            return _exchange.Exchange(
                self, self._head, b"", self._received_ms, refusal
            )

    def _receive_request(self) -> _exchange.Exchange | None:
        clock = self.server.clock
        # What was in force when the head was complete holds for the body.
        max_body_bytes = 0
        body = bytearray()
        started_ms: float | None = None
        self._parse_read_ahead()
        while True:
            self._work.add(1)
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._reject(exc.error_status_hint, str(exc))
                return None
            if isinstance(event, h11.Request):
                self._head = _messages.RequestHead(
                    bytes(event.method),
                    bytes(event.target),
                    tuple(event.headers.raw_items()),
                )
                self._received_ms = clock.now_ms()
                self._head_bytes = _measure(self._head)
                max_body_bytes = self.server.limits.max_body_bytes
                self._body_wire_bytes = len(self._http.trailing_data[0])
                self._restore_timeout()
                if self.memory is None:
                    self._open_memory()
                self._count_head()
                length = _messages.find_header(
                    self._head.headers, b"content-length"
                )
                if length and int(length) > max_body_bytes:
                    self._reject(
                        413, f"body of {length} bytes exceeds {max_body_bytes}"
                    )
                    return None
                if not self._has_room():
                    self._wait_for_room()
                if self._http.they_are_waiting_for_100_continue:
                    self.send_event(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            elif isinstance(event, h11.Data):
                body += event.data
                framing_bytes = (
                    self._body_wire_bytes - _WIRE_BYTES_PER_BYTE * len(body)
                )
                # Bytes of the next request may have been received as well.
                if (
                    len(body) > max_body_bytes
                    or framing_bytes > max_body_bytes + 2 * _READ_BYTES
                ):
                    self._reject(
                        413,
                        f"body or its framing exceeds {max_body_bytes} bytes",
                    )
                    return None
                if self.memory is not None:
                    self.memory.add_body(len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                if self.memory is not None:
                    self.memory.complete_body(len(body))
                return _exchange.Exchange(
                    self, self._head, bytes(body), self._received_ms
                )
            elif event is h11.NEED_DATA:
                if not self._check_incomplete():
                    return None
                if started_ms is None and self._http.trailing_data[0]:
                    started_ms = clock.now_ms()
                body_since_ms = self._received_ms if self._head else None
                if not self._receive(body_since_ms, started_ms):
                    return None
                if started_ms is None:
                    started_ms = clock.now_ms()
            else:
                return None

    def _check_incomplete(self) -> bool:
        """Returns whether what was received of a head is within the limit.

        This includes the heads of chunks and trailers.
        """
        limit_bytes = self.server.limits.max_header_bytes + _HEAD_READ_BYTES
        if len(self._http.trailing_data[0]) <= limit_bytes:
            return True
        self._reject(431, f"head exceeds {limit_bytes} bytes")
        return False

    def _receive(
        self, body_since_ms: float | None, started_ms: float | None
    ) -> bool:
        """Receives more bytes of a request.

        Args:
            body_since_ms: Instant at which the head of the request was
                complete; None if it is not.
            started_ms: Instant of the first bytes of the request; None if
                none have arrived.

        Returns:
            False if the connection timed out or failed, or was closed between
            requests.
        """
        idle_since_ms = self.server.clock.now_ms()
        timeout_ms = self._time_left_ms(
            idle_since_ms, body_since_ms, started_ms
        )
        max_bytes = _HEAD_READ_BYTES if body_since_ms is None else _READ_BYTES
        data: bytes | None = None
        while data is None:
            try:
                data = self._receive_bytes(
                    timeout_ms, max_bytes, self._wait_for_room
                )
            except TimeoutError:
                # The limits may have grown during the wait.
                timeout_ms = self._time_left_ms(
                    idle_since_ms, body_since_ms, started_ms
                )
                if timeout_ms > 1.0:
                    continue
                if started_ms is not None:
                    self._reject(
                        408, "timed out before the request was complete"
                    )
                return False
            except OSError:
                return False
        if not data and started_ms is None:
            return False
        if body_since_ms is not None and timeout_ms <= 1.0:
            self._reject(408, "the body of the request took too long")
            return False
        self._work.add(len(data) // _UNIT_BYTES)
        self._body_wire_bytes += len(data)
        self.active_ms = self.server.clock.now_ms()
        self._http.receive_data(data)
        if body_since_ms is None:
            if self.memory is None:
                self._open_memory()
            self._count_head()
        return True

    def _receive_bytes(
        self,
        timeout_ms: float | None,
        max_bytes: int,
        wait_for_room: Callable[[], None],
    ) -> bytes:
        """Returns received bytes, or no bytes at the end of the connection.

        Nothing is read without room for it; the kernel then stops the sender.

        Args:
            timeout_ms: Longest wait for the bytes, in ms; None for no limit.
            max_bytes: Largest number of bytes to return.
            wait_for_room: Called while bytes have arrived and there is no room.

        Raises:
            OSError: If the connection failed; TimeoutError if nothing arrives.
            ResponseShedError: If the request was given up to free memory.
        """
        sock = self._sock
        while True:
            try:
                if self._has_room() or not sock.fd.recv(1, socket.MSG_PEEK):
                    return bytes(sock.fd.recv(max_bytes))
                wait_for_room()
            except BlockingIOError:
                hubs.trampoline(
                    sock.fd,
                    read=True,
                    timeout=None if timeout_ms is None else timeout_ms / 1000.0,
                    timeout_exc=std_socket.timeout,
                )

    def _has_room(self) -> bool:
        if self.memory is not None:
            return self.memory.has_room
        return self.server.memory is None or not self.server.memory.is_full

    def _wait_for_room(self) -> None:
        if self.memory is None:
            self._open_memory()
        if self.memory is not None:
            self.memory.wait_to_receive()

    def _poll_room(self) -> None:
        """Waits without a turn, since the request in progress is not shed."""
        self.server.clock.sleep_ms(_POLL_ROOM_MS)

    def _time_left_ms(
        self,
        idle_since_ms: float,
        body_since_ms: float | None,
        started_ms: float | None,
    ) -> float:
        """Returns the time left to wait by the limits in force, 1 ms or more.

        Args:
            idle_since_ms: Instant at which the wait began.
            body_since_ms: As in `_receive`.
            started_ms: As in `_receive`.
        """
        limits = self.server.limits
        end_ms = idle_since_ms + limits.idle_timeout_ms
        if body_since_ms is not None:
            end_ms = min(end_ms, body_since_ms + limits.body_timeout_ms)
        elif started_ms is not None:
            end_ms = started_ms + limits.header_timeout_ms
        return max(1.0, end_ms - self.server.clock.now_ms())

    def _parse_read_ahead(self) -> None:
        if self._read_ahead_data:
            data, self._read_ahead_data = self._read_ahead_data, b""
            self._http.receive_data(data)

    def _discard_rest(self) -> None:
        """Reads the rest of a body that is not wanted, for a short time."""
        clock = self.server.clock
        end_ms = clock.now_ms() + _DISCARD_TIMEOUT_MS
        try:
            self._sock.shutdown(socket.SHUT_WR)
            left_bytes = _MAX_DISCARD_BYTES
            while clock.now_ms() < end_ms and left_bytes > 0:
                self._sock.settimeout((end_ms - clock.now_ms()) / 1000.0)
                data = self._sock.recv(_READ_BYTES)
                if not data:
                    return
                left_bytes -= len(data)
                self._work.add(1 + len(data) // _UNIT_BYTES)
        except OSError as exc:
            logging.debug("rest of a body not discarded: %s", exc)

    def _reject(self, status: int, detail: str) -> None:
        logging.info("request rejected: status=%d detail=%s", status, detail)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.send_head(status, ((b"Connection", b"close"),), 0)
        self.finish_response()
        self._release_head()
        self._discard_rest()


def _measure(head: _messages.RequestHead) -> int:
    """Returns the memory that the head of a request takes, in bytes."""
    content_bytes = sum(len(k) + len(v) for k, v in head.headers)
    return len(head.target) + content_bytes + _FIELD_BYTES * len(head.headers)
