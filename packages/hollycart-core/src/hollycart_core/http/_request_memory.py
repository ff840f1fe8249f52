"""Memory that is held for the body of a request to the WSGI server."""

from typing import Any

import eventlet
from eventlet import greenthread

from hollycart_core import connections

MEMORY_KEY = "hollycart.memory"  # in the WSGI environment
# The body as received, and the one that is encoded for an engine.
_COPIES = 2


class RequestMemory:
    """Counts the body of a request; it can be shed while it is received.

    Args:
        gate: Counts what all requests hold.
    """

    def __init__(self, gate: connections.MemoryGate) -> None:
        self.gate = gate
        self._account = gate.budget.open()
        self._thread: Any = None
        self._body_bytes = 0

    def start(self) -> None:
        """Begins to receive the body in the current green thread."""
        self._thread = eventlet.getcurrent()
        self._account.shed = self._shed

    def wait(self) -> None:
        """Waits until more of the body may be received.

        Raises:
            ResponseShedError: If the request has to give way.
        """
        self.gate.wait(self._account)

    def add(self, size: int) -> None:
        """Counts bytes of the body."""
        self._body_bytes += size
        self.gate.add(self._account, size)

    def complete(self) -> None:
        """Ends receiving; the request is not shed from now on."""
        self._thread = None
        self.gate.budget.protect(self._account)
        self.gate.add(self._account, self._body_bytes * (_COPIES - 1))

    def close(self) -> None:
        """Counts the body no longer."""
        self._thread = None
        self.gate.close(self._account)
        self.gate.budget.protect(self._account)

    def _shed(self) -> None:
        thread, self._thread = self._thread, None
        if thread is not None:
            exc = self.gate.make_error(self._account)
            eventlet.spawn_n(greenthread.kill, thread, exc)
