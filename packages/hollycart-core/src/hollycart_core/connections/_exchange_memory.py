"""Memory that is held for one request and its response."""

from collections.abc import Callable
from typing import Any

from hollycart_core.connections import _memory_gate
from hollycart_core.connections import _response_writer


class ExchangeMemory:
    """Counts head and bodies of an exchange and buffers its response.

    The exchange can be shed while the request is received and while the
    response is, not while a request that may run waits for its response.

    Args:
        gate: Counts what all exchanges hold.
        sock: Socket of the connection to the caller.
        stall_timeout_ms: Time without any progress after which the caller is
            regarded as gone, in ms.
        on_shed: Called with the failure if the exchange is shed.
        on_failure: Called with what failed in sending the response.

    Attributes:
        shed_error: Failure of the exchange if it was shed; else None.
        is_raised: Whether the failure was raised in the thread that serves it.
    """

    def __init__(
        self,
        gate: _memory_gate.MemoryGate,
        sock: Any,
        stall_timeout_ms: float,
        on_shed: Callable[[_memory_gate.ResponseShedError], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self.gate = gate
        self.on_shed = on_shed
        self.shed_error: _memory_gate.ResponseShedError | None = None
        self.is_raised = False
        self._account = gate.budget.open()
        self._account.shed = self._shed
        self._writer = _response_writer.ResponseWriter(
            sock, gate, self._account, stall_timeout_ms, on_failure
        )
        self._head_bytes = 0
        self._body_bytes = 0
        self._received_bytes = 0

    @property
    def has_room(self) -> bool:
        """Whether more may be received now."""
        return self.gate.budget.has_room(self._account)

    def wait_to_receive(self) -> None:
        """Waits until more may be received.

        Raises:
            ResponseShedError: If the request has to be shed.
        """
        self._wait()

    def count_head(self, size: int) -> None:
        """Counts what is held besides bodies: the head, and bytes to parse."""
        if size != self._head_bytes:
            self.gate.add(self._account, size - self._head_bytes)
            self._head_bytes = size

    def add_body(self, size: int) -> None:
        """Counts a piece of the request body.

        Raises:
            ResponseShedError: If the request was shed.
        """
        self._body_bytes += size
        self.gate.add(self._account, size)
        self.raise_if_shed()

    def complete_body(self, size: int) -> None:
        """Counts the complete request body, which cannot be shed.

        Raises:
            ResponseShedError: If the request was shed before.
        """
        self.raise_if_shed()
        self.gate.add(self._account, size - self._body_bytes)
        self._body_bytes = size
        self.gate.budget.protect(self._account)

    def release_body(self) -> None:
        """Counts the request body no longer."""
        self.gate.add(self._account, -self._body_bytes)
        self._body_bytes = 0

    def hold(self, size: int) -> None:
        """Counts what was received of a response and not yet written.

        Args:
            size: Bytes that are held now. If they are more than before, this
                waits until there is room.

        Raises:
            ResponseShedError: If the response has to be shed.
        """
        grown = size - self._received_bytes
        if not grown:
            return
        self._received_bytes = size
        self._account.shed = self._shed
        self.gate.add(self._account, grown)
        if grown > 0:
            self._wait()
        elif not size and self._writer.is_empty:
            self.gate.budget.protect(self._account)

    def write(self, data: bytes) -> None:
        """Sends or buffers a part of the response.

        Raises:
            OSError: If the connection failed.
        """
        self._account.shed = self._shed
        self._writer.write(data)

    def wait_for_room(self) -> None:
        """Waits until there is room for more, if something is buffered.

        Raises:
            ResponseShedError: If the response has to be shed.
        """
        if not self._writer.is_empty:
            self._wait()

    @property
    def stalled_since_ms(self) -> float | None:
        """Instant since which the caller does not accept what is sent."""
        return self._account.since_ms if self._account.is_buffered else None

    @property
    def was_buffered(self) -> bool:
        """Whether the caller did not accept something at once."""
        return self._writer.was_buffered

    @property
    def is_flushed(self) -> bool:
        """Whether the socket has accepted everything that was written."""
        return self._writer.is_empty

    def flush(self) -> None:
        """Waits until the socket has accepted everything.

        Raises:
            OSError: If the connection failed.
        """
        self._writer.flush()

    def raise_if_shed(self) -> None:
        """Raises the failure of an exchange that was shed.

        Raises:
            ResponseShedError: If it was.
        """
        if self.shed_error is not None:
            self.is_raised = True
            raise self.shed_error

    def close(self) -> None:
        """Discards what is buffered and ends the account."""
        self._writer.close()
        self.gate.close(self._account)
        # Without these cycles, what was received or not yet sent is freed now
        # and not by the next garbage collection: the account refers to this
        # object, and the failure to the frames of the thread that got it.
        self.gate.budget.protect(self._account)
        if self.shed_error is not None:
            self.shed_error.__traceback__ = None

    def _wait(self) -> None:
        try:
            self.gate.wait(self._account)
        except _memory_gate.ResponseShedError as exc:
            self.shed_error = exc
            self._writer.discard()
            self.gate.close(self._account)
        self.raise_if_shed()

    def _shed(self) -> None:
        """Gives up the request or its response for another one."""
        self.shed_error = self.gate.make_error(self._account)
        self._writer.discard()
        self.on_shed(self.shed_error)
