"""Work at endpoints as all instances together have announced it."""

from collections.abc import Iterable

from hollycart_core.placement import _types


class LoadView:
    """Holds the work of this instance and what peers announced of theirs.

    Predictions are shared at once and lapse with their prompts; a wrong view
    costs time and nothing else.

    Example:
        >>> view = LoadView()
        >>> assignment = _types.Assignment(
        ...     "a", "e", True, False, 5, 9, 9, 99, 200, 7, 7, 1
        ... )
        >>> view.add("me", [assignment])
        >>> [w.attempt for w in view.on_endpoint("e")]
        ['a']
        >>> view.remove("a")
        >>> list(view.on_endpoint("e"))
        []
    """

    def __init__(self) -> None:
        self._by_attempt: dict[
            str, tuple[str, tuple[_types.Assignment, ...]]
        ] = {}
        self._by_endpoint: dict[str, dict[str, _types.Assignment]] = {}
        self._by_instance: dict[str, set[str]] = {}

    def add(
        self, instance: str, assignments: Iterable[_types.Assignment]
    ) -> None:
        """Adds or replaces the work of one attempt.

        Args:
            instance: Who announced it.
            assignments: All parts of one attempt.
        """
        parts = tuple(assignments)
        if not parts:
            return
        attempt = parts[0].attempt
        self.remove(attempt)
        self._by_attempt[attempt] = (instance, parts)
        self._by_instance.setdefault(instance, set()).add(attempt)
        for assignment in parts:
            at = self._by_endpoint.setdefault(assignment.endpoint, {})
            if not assignment.primary and not assignment.decoding:
                self._delay_readers(at, assignment)
            at[attempt] = assignment

    def _delay_readers(
        self, at: dict[str, _types.Assignment], new: _types.Assignment
    ) -> None:
        """Moves parts back that a new helper's part is read ahead of."""
        for attempt, assignment in at.items():
            if not assignment.decoding and assignment.ready_ms > new.ready_ms:
                ready_ms = assignment.ready_ms + new.prefill_ms
                at[attempt] = assignment._replace(
                    ready_ms=ready_ms,
                    first_ms=max(assignment.first_ms, ready_ms),
                )

    def start_decoding(self, attempt: str) -> None:
        """Notes the first event: reading has ended everywhere.

        Endpoints that only helped to read are free again; those that hold a
        part of the memory take part in writing.
        """
        found = self._by_attempt.get(attempt)
        if found is None:
            return
        instance, parts = found
        self.add(
            instance,
            [
                w._replace(decoding=True)
                for w in parts
                if w.primary or w.memory_tokens
            ],
        )

    def remove(self, attempt: str) -> None:
        """Removes the work of an attempt that has ended."""
        found = self._by_attempt.pop(attempt, None)
        if found is None:
            return
        instance, parts = found
        self._by_instance[instance].discard(attempt)
        for assignment in parts:
            at = self._by_endpoint.get(assignment.endpoint)
            if at is not None:
                at.pop(attempt, None)
                if not at:
                    del self._by_endpoint[assignment.endpoint]

    def replace_instance(
        self, instance: str, attempts: Iterable[tuple[_types.Assignment, ...]]
    ) -> None:
        """Replaces all that an instance announced, for instance by nothing."""
        for attempt in list(self._by_instance.get(instance, ())):
            self.remove(attempt)
        for assignments in attempts:
            self.add(instance, assignments)

    def on_endpoint(self, endpoint: str) -> Iterable[_types.Assignment]:
        """Returns the work at an endpoint."""
        return self._by_endpoint.get(endpoint, {}).values()

    def of_instance(self, instance: str) -> list[tuple[_types.Assignment, ...]]:
        """Returns the work that an instance announced, by attempt."""
        return [
            tuple(
                self._by_endpoint[assignment.endpoint][attempt]
                for assignment in self._by_attempt[attempt][1]
            )
            for attempt in self._by_instance.get(instance, ())
        ]

    def of_attempt(self, attempt: str) -> tuple[_types.Assignment, ...]:
        """Returns the work of one attempt."""
        found = self._by_attempt.get(attempt)
        return found[1] if found else ()
