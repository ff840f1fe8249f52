"""Work at endpoints as all instances together have announced it."""

from collections.abc import Iterable

from hollycart_core.placement import _types


class LoadView:
    """Holds the work of this instance and what peers announced of theirs.

    Predictions are shared at once and lapse with their prompts; a wrong view
    costs time and nothing else.

    Example:
        >>> view = LoadView()
        >>> work = _types.Work("a", "e", True, False, 5, 9, 9, 99, 200, 7, 7, 1)
        >>> view.add("me", [work])
        >>> [w.attempt for w in view.at("e")]
        ['a']
        >>> view.remove("a")
        >>> list(view.at("e"))
        []
    """

    def __init__(self) -> None:
        self._by_attempt: dict[str, tuple[str, tuple[_types.Work, ...]]] = {}
        self._by_endpoint: dict[str, dict[str, _types.Work]] = {}
        self._by_instance: dict[str, set[str]] = {}

    def add(self, instance: str, works: Iterable[_types.Work]) -> None:
        """Adds or replaces the work of one attempt.

        Args:
            instance: Who announced it.
            works: All parts of one attempt.
        """
        parts = tuple(works)
        if not parts:
            return
        attempt = parts[0].attempt
        self.remove(attempt)
        self._by_attempt[attempt] = (instance, parts)
        self._by_instance.setdefault(instance, set()).add(attempt)
        for work in parts:
            at = self._by_endpoint.setdefault(work.endpoint, {})
            if not work.main and not work.writing:
                self._delay_readers(at, work)
            at[attempt] = work

    def _delay_readers(
        self, at: dict[str, _types.Work], new: _types.Work
    ) -> None:
        """Moves parts back that a new helper's part is read ahead of."""
        for attempt, work in at.items():
            if not work.writing and work.ready_ms > new.ready_ms:
                ready_ms = work.ready_ms + new.read_ms
                at[attempt] = work._replace(
                    ready_ms=ready_ms, first_ms=max(work.first_ms, ready_ms)
                )

    def start_writing(self, attempt: str) -> None:
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
                w._replace(writing=True)
                for w in parts
                if w.main or w.memory_tokens
            ],
        )

    def remove(self, attempt: str) -> None:
        """Removes the work of an attempt that has ended."""
        found = self._by_attempt.pop(attempt, None)
        if found is None:
            return
        instance, parts = found
        self._by_instance[instance].discard(attempt)
        for work in parts:
            at = self._by_endpoint.get(work.endpoint)
            if at is not None:
                at.pop(attempt, None)
                if not at:
                    del self._by_endpoint[work.endpoint]

    def replace_instance(
        self, instance: str, attempts: Iterable[tuple[_types.Work, ...]]
    ) -> None:
        """Replaces all that an instance announced, for instance by nothing."""
        for attempt in list(self._by_instance.get(instance, ())):
            self.remove(attempt)
        for works in attempts:
            self.add(instance, works)

    def at(self, endpoint: str) -> Iterable[_types.Work]:
        """Returns the work at an endpoint."""
        return self._by_endpoint.get(endpoint, {}).values()

    def of(self, instance: str) -> list[tuple[_types.Work, ...]]:
        """Returns the work that an instance announced, by attempt."""
        return [
            tuple(
                self._by_endpoint[work.endpoint][attempt]
                for work in self._by_attempt[attempt][1]
            )
            for attempt in self._by_instance.get(instance, ())
        ]

    def works_of(self, attempt: str) -> tuple[_types.Work, ...]:
        """Returns the work of one attempt."""
        found = self._by_attempt.get(attempt)
        return found[1] if found else ()
