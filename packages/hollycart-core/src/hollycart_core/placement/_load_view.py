"""Assignments at the endpoints, as announced by all instances."""

from collections.abc import Iterable

from hollycart_core.placement import _types
from hollycart_core.placement import _unaccounted


class LoadView:
    """Holds the assignments of this instance and those announced by peers.

    Assignments are announced when a prompt is placed and removed when its
    attempt ends. An outdated view costs latency, but never correctness.

    Example:
        >>> view = LoadView()
        >>> assignment = _types.Assignment(
        ...     "a", "e", True, False, 5, 9, 9, 99, 200, 7, 7, 1
        ... )
        >>> view.add("me", [assignment])
        >>> [a.attempt_id for a in view.on_endpoint("e")]
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
        self._unaccounted: dict[str, _unaccounted.UnaccountedLoad] = {}

    def add(
        self, instance: str, assignments: Iterable[_types.Assignment]
    ) -> None:
        """Adds or replaces the assignments of one attempt.

        Args:
            instance: Name of the instance that makes the attempt.
            assignments: All assignments of the attempt.
        """
        parts = tuple(assignments)
        if not parts:
            return
        attempt_id = parts[0].attempt_id
        self.remove(attempt_id)
        self._by_attempt[attempt_id] = (instance, parts)
        self._by_instance.setdefault(instance, set()).add(attempt_id)
        for assignment in parts:
            at_endpoint = self._by_endpoint.setdefault(assignment.endpoint, {})
            if not assignment.primary and not assignment.decoding:
                self._delay_prefills(at_endpoint, assignment)
            at_endpoint[attempt_id] = assignment

    def _delay_prefills(
        self, at_endpoint: dict[str, _types.Assignment], new: _types.Assignment
    ) -> None:
        """Delays the prefills that a new helper's part preempts.

        An engine prefills the newest helper's part first.
        """
        for attempt_id, assignment in at_endpoint.items():
            if not assignment.decoding and assignment.ready_ms > new.ready_ms:
                ready_ms = assignment.ready_ms + new.prefill_ms
                at_endpoint[attempt_id] = assignment._replace(
                    ready_ms=ready_ms,
                    first_event_at_ms=max(
                        assignment.first_event_at_ms, ready_ms
                    ),
                )

    def start_decoding(self, attempt_id: str) -> None:
        """Records the first event of an attempt: its prefill has ended.

        Helpers that only prefilled a part are released. Helpers that hold a
        part of the KV cache take part in decode and stay.
        """
        found = self._by_attempt.get(attempt_id)
        if found is None:
            return
        instance, parts = found
        self.add(
            instance,
            [
                a._replace(decoding=True)
                for a in parts
                if a.primary or a.memory_tokens
            ],
        )

    def remove(self, attempt_id: str) -> None:
        """Removes the assignments of an attempt that has ended."""
        found = self._by_attempt.pop(attempt_id, None)
        if found is None:
            return
        instance, parts = found
        self._by_instance[instance].discard(attempt_id)
        for assignment in parts:
            at_endpoint = self._by_endpoint.get(assignment.endpoint)
            if at_endpoint is not None:
                at_endpoint.pop(attempt_id, None)
                if not at_endpoint:
                    del self._by_endpoint[assignment.endpoint]

    def replace_instance(
        self, instance: str, attempts: Iterable[tuple[_types.Assignment, ...]]
    ) -> None:
        """Replaces all assignments of an instance.

        Args:
            instance: Name of the instance.
            attempts: Its assignments by attempt; empty for a lost instance.
        """
        for attempt_id in list(self._by_instance.get(instance, ())):
            self.remove(attempt_id)
        for assignments in attempts:
            self.add(instance, assignments)

    def is_empty(self) -> bool:
        """Returns whether no assignment is known."""
        return not self._by_attempt

    def attempt_ids(self) -> list[str]:
        """Returns the ids of all attempts with assignments."""
        return list(self._by_attempt)

    def set_unaccounted(
        self, endpoint: str, load: _unaccounted.UnaccountedLoad
    ) -> None:
        """Sets the load of an endpoint that no instance accounts for."""
        self._unaccounted[endpoint] = load

    def unaccounted(self, endpoint: str) -> _unaccounted.UnaccountedLoad | None:
        """Returns the load of an endpoint that no instance accounts for."""
        return self._unaccounted.get(endpoint)

    def has_recent_report(self, endpoint: str, now_ms: float) -> bool:
        """Returns whether the reported load of an endpoint is still held."""
        load = self._unaccounted.get(endpoint)
        return load is not None and now_ms - load.reported_ms <= load.hold_ms

    def clear_unaccounted(self, repeated_only: bool = False) -> None:
        """Forgets load that no instance accounts for.

        Args:
            repeated_only: Whether only load that is held until the next report
                is forgotten.
        """
        if not self._unaccounted:
            return
        self._unaccounted = {
            endpoint: load
            for endpoint, load in self._unaccounted.items()
            if repeated_only and not load.hold_ms
        }

    def on_endpoint(self, endpoint: str) -> Iterable[_types.Assignment]:
        """Returns the assignments at an endpoint."""
        return self._by_endpoint.get(endpoint, {}).values()

    def of_instance(self, instance: str) -> list[tuple[_types.Assignment, ...]]:
        """Returns the assignments of an instance, by attempt."""
        return [
            tuple(
                self._by_endpoint[assignment.endpoint][attempt_id]
                for assignment in self._by_attempt[attempt_id][1]
            )
            for attempt_id in self._by_instance.get(instance, ())
        ]

    def of_attempt(self, attempt_id: str) -> tuple[_types.Assignment, ...]:
        """Returns the assignments of one attempt as they were added.

        Delays by later attempts are not included.
        """
        found = self._by_attempt.get(attempt_id)
        return found[1] if found else ()
