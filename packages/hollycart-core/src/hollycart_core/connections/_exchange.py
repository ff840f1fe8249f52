"""A request of a caller and the way to respond to it."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

import h11

from hollycart_core import base
from hollycart_core.connections import _exchange_memory
from hollycart_core.connections import _messages


class CallerGoneError(base.HollycartError):
    """The caller disconnected before the response was complete."""

    code = "caller_gone"


class ServerConnection(Protocol):
    """Connection of a caller, as an exchange uses it."""

    memory: _exchange_memory.ExchangeMemory | None

    def send_head(
        self, status: int, headers: _messages.Headers, length: int | None
    ) -> None:
        """Sends the head of a response; no `length` means chunked coding."""

    def send_event(self, event: Any) -> None:
        """Sends one h11 event of the response."""

    def finish_response(self) -> None:
        """Ends the response."""

    def flush(self) -> None:
        """Waits until the socket has accepted the response."""

    def abort(self) -> None:
        """Closes the socket in the middle of a response."""

    def detach(self) -> Any:
        """Returns the socket and serves no further requests on it."""


class Exchange:
    """A request and the response to it.

    Attributes:
        head: Head of the request.
        body: Body of the request.
        response_started: Whether sending a response has started.
        received_ms: Instant at which the request head was complete, in ms of
            the clock.
        refusal: Why the body was not received, with the time of a retry; None
            if it was. The request has to be answered with this failure.
    """

    def __init__(
        self,
        connection: "ServerConnection",
        head: _messages.RequestHead,
        body: bytes,
        received_ms: float,
        refusal: base.OverloadedError | None = None,
    ) -> None:
        self.head = head
        self.body = body
        self.received_ms = received_ms
        self.refusal = refusal
        self.response_started = False
        self._connection = connection

    def respond(
        self, status: int, headers: _messages.Headers, body: bytes
    ) -> None:
        """Sends a complete response.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
        """
        self.respond_parts(status, headers, (body,) if body else ())

    def respond_parts(
        self, status: int, headers: _messages.Headers, parts: Sequence[bytes]
    ) -> None:
        """Sends a complete response whose body is held in parts.

        With a memory budget this buffers what the caller does not accept, and
        returns at once.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
            ResponseShedError: If the response was given up to free memory.
        """
        size = sum(len(part) for part in parts)
        self.start(status, headers, size)
        for part in parts:
            self._connection.send_event(h11.Data(part))
            size -= len(part)
            self.hold(size)
        self.finish()

    def hold(self, size: int) -> None:
        """Counts what was received of the response and not yet written.

        With a memory budget this waits, if there is no room for more.

        Args:
            size: Bytes that are held now.

        Raises:
            ResponseShedError: If the response was given up to free memory.
        """
        if self._connection.memory is not None:
            self._connection.memory.hold(size)

    def release_body(self) -> None:
        """Gives up the body of the request, once it is not sent again."""
        self.body = b""
        if self._connection.memory is not None:
            self._connection.memory.release_body()

    def flush(self) -> None:
        """Waits until the caller's connection has accepted the response.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
            ResponseShedError: If the response was given up to free memory.
        """
        self._connection.flush()

    def start(
        self, status: int, headers: _messages.Headers, length: int | None
    ) -> None:
        """Sends the head of a response.

        Args:
            status: HTTP status.
            headers: Header fields; Content-Length is replaced.
            length: Bytes of the body; None for chunked transfer coding.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
        """
        self.response_started = True
        self._connection.send_head(status, headers, length)

    def write(self, data: bytes) -> None:
        """Sends a part of the response body.

        With a memory budget this buffers what the caller does not accept, and
        waits only if there is no room for more.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
            ResponseShedError: If the response was given up to free memory.
        """
        self._connection.send_event(h11.Data(data))
        if self._connection.memory is not None:
            self._connection.memory.wait_for_room()

    def finish(self) -> None:
        """Ends the response.

        Raises:
            CallerGoneError: If the caller disconnected or does not read.
        """
        self._connection.finish_response()

    def abort(self) -> None:
        """Closes the connection, which truncates the response."""
        self._connection.abort()

    def detach(self) -> Any:
        """Returns the socket, which the server no longer uses.

        The caller of this method sends the response and closes the socket.

        Raises:
            CallerGoneError: If the caller disconnected.
        """
        self.response_started = True
        return self._connection.detach()
