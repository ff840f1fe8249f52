"""Placements that were decided at the same time by several instances."""

from collections.abc import Iterable

from hollycart_core.placement import _load_view
from hollycart_core.placement import _types

# Time from a placement until all instances of a cell know of it, in ms:
# batching of datagrams, transit and decoding.
ANNOUNCEMENT_LAG_MS = 10.0
# Shortest prefill of a part that is worth a second look, in ms: it is longer
# than the gaps that interactive answers accept after a batch step.
_LONG_PART_MS = 150.0


def is_disruptive(assignments: Iterable[_types.Assignment]) -> bool:
    """Returns whether a prompt's prefill would stall other answers.

    The load it answers: a very long prompt and short ones arrive at different
    instances within the time of an announcement and meet at an endpoint. The
    short ones would wait for seconds. Disruptive prompts are therefore
    announced before they are sent, and placed again if `find_conflicts` finds
    prompts that were placed meanwhile. They have the time for that.
    """
    return any(a.prefill_ms >= _LONG_PART_MS for a in assignments)


def attempts_at(
    assignments: Iterable[_types.Assignment], view: _load_view.LoadView
) -> frozenset[str]:
    """Returns the ids of the attempts at the endpoints of a prompt."""
    return frozenset(
        other.attempt_id
        for a in assignments
        for other in view.on_endpoint(a.endpoint)
    )


def find_conflicts(
    assignments: Iterable[_types.Assignment],
    known: frozenset[str],
    view: _load_view.LoadView,
) -> list[str]:
    """Returns the attempts that a prompt's prefill would stall unexpectedly.

    Args:
        assignments: Assignments of the prompt.
        known: Attempts that were known when it was placed.
        view: Assignments of all instances now.
    """
    return [
        other.attempt_id
        for a in assignments
        for other in view.on_endpoint(a.endpoint)
        if other.attempt_id != a.attempt_id
        and other.attempt_id not in known
        and other.max_gap_ms <= a.prefill_ms
    ]
