"""Attempts by the endpoints that they depend on."""

from typing import Any

import eventlet
from eventlet import greenthread

from hollycart.gateway import _failures
from hollycart_core import placement


class WaitingAttempts:
    """Ends attempts that would only wait for an endpoint that is gone."""

    def __init__(self) -> None:
        self._threads: dict[str, tuple[Any, frozenset[str]]] = {}

    def add(
        self, attempt: str, assignments: tuple[placement.Assignment, ...]
    ) -> None:
        """Notes that the calling green thread waits for these endpoints."""
        endpoints = frozenset(w.endpoint for w in assignments)
        self._threads[attempt] = (eventlet.getcurrent(), endpoints)

    def keep_writer(
        self, attempt: str, assignments: tuple[placement.Assignment, ...]
    ) -> None:
        """Notes that an attempt depends only on those that write for it."""
        found = self._threads.get(attempt)
        if found is not None:
            writers = [
                w.endpoint for w in assignments if w.primary or w.memory_tokens
            ]
            self._threads[attempt] = (found[0], frozenset(writers))

    def remove(self, attempt: str) -> None:
        """Notes that an attempt does not wait any more."""
        self._threads.pop(attempt, None)

    def end(self, endpoint: str) -> None:
        """Ends the attempts that depend on an endpoint."""
        for attempt, (thread, endpoints) in list(self._threads.items()):
            if endpoint in endpoints:
                self.remove(attempt)
                exc = _failures.EndpointLostError(f"{endpoint} is gone")
                eventlet.spawn_n(greenthread.kill, thread, exc)
