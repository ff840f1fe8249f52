"""Tracks which endpoints each attempt in flight depends on."""

from typing import Any

import eventlet
from eventlet import greenthread

from hollycart.gateway import _failures
from hollycart_core import placement


class AttemptDependencies:
    """Aborts attempts whose endpoints became unreachable.

    Without the abort such an attempt would wait until its timeout.
    """

    def __init__(self) -> None:
        self._threads: dict[str, tuple[Any, frozenset[str]]] = {}

    def add(
        self, attempt_id: str, assignments: tuple[placement.Assignment, ...]
    ) -> None:
        """Registers the calling green thread as one that runs an attempt.

        The attempt depends on all endpoints with assignments.
        """
        endpoints = frozenset(a.endpoint for a in assignments)
        self._threads[attempt_id] = (eventlet.getcurrent(), endpoints)

    def drop_finished_helpers(
        self, attempt_id: str, assignments: tuple[placement.Assignment, ...]
    ) -> None:
        """Drops the helpers whose prefill has ended with the first event.

        The attempt still depends on the primary and on endpoints that hold
        KV cache for it.
        """
        found = self._threads.get(attempt_id)
        if found is not None:
            decoding = [
                a.endpoint for a in assignments if a.primary or a.memory_tokens
            ]
            self._threads[attempt_id] = (found[0], frozenset(decoding))

    def remove(self, attempt_id: str) -> None:
        """Removes an attempt that ended."""
        self._threads.pop(attempt_id, None)

    def abort_dependents(self, endpoint: str) -> None:
        """Aborts the attempts that depend on an endpoint."""
        for attempt_id, (_, endpoints) in self._threads.items():
            if endpoint in endpoints:
                eventlet.spawn_n(self._abort, attempt_id, endpoint)

    def _abort(self, attempt_id: str, endpoint: str) -> None:
        """Aborts an attempt, unless it has ended since this was scheduled.

        Its thread would meet the exception in whatever it does next.
        """
        thread, _ = self._threads.pop(attempt_id, (None, None))
        if thread is not None:
            exc = _failures.EndpointLostError(f"{endpoint} became unreachable")
            greenthread.kill(thread, exc)
