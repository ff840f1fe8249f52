"""Placements that are decided at the same time by several instances."""

from collections.abc import Sequence

from hollycart_core.placement import _load_view
from hollycart_core.placement import _types

# Time from a placement until all instances of a cell know of it, in ms:
# batching of datagrams, transit and decoding.
ANNOUNCEMENT_LAG_MS = 10.0
# Shortest prefill of a part that may stall other prompts unexpectedly, in ms:
# it is longer than the gaps that interactive answers accept after a batch step.
LONG_PART_MS = 150.0
# Shares of the gap that an answer in decode accepts: what the prefill in one
# batch step may take of it, and from which a part leaves no room for another
# one. The decode in the step and the error of predictions take the rest.
_MAX_PREFILL_GAP_SHARE = 0.65
_CONFIRMED_GAP_SHARE = 0.5 * _MAX_PREFILL_GAP_SHARE
# A slot is contended if at most so many are free after it was taken.
_CONTENDED_FREE_SLOTS = 1


def needs_confirmation(
    assignments: Sequence[_types.Assignment],
    slots: int,
    view: _load_view.LoadView,
) -> bool:
    """Returns whether a prompt should be confirmed before it is sent.

    The load it answers: prompts arrive at different instances within the time
    of an announcement and meet at an endpoint. Short ones that lack a slot
    wait for the end of a whole answer, and those beside a very long prompt for
    seconds. Parts of two long prompts in one batch step make the gaps of all
    answers there too long, although each of them alone would not. Such
    placements are therefore announced before the prompt is sent,
    and made anew if `find_conflicts` finds others that were made meanwhile.

    Args:
        assignments: Assignments of the prompt, the primary's first.
        slots: Number of slots of the primary.
        view: Assignments of all instances, those of the prompt included.
    """
    if any(
        a.prefill_ms >= LONG_PART_MS
        or a.prefill_ms >= _CONFIRMED_GAP_SHARE * _shortest_gap_ms(a, view)
        for a in assignments
    ):
        return True
    used = sum(a.primary for a in view.on_endpoint(assignments[0].endpoint))
    return slots - _CONTENDED_FREE_SLOTS <= used <= slots


def attempts_at(
    assignments: Sequence[_types.Assignment], view: _load_view.LoadView
) -> frozenset[str]:
    """Returns the ids of the attempts at the endpoints of a prompt."""
    return frozenset(
        other.attempt_id
        for a in assignments
        for other in view.on_endpoint(a.endpoint)
    )


def find_conflicts(
    assignments: Sequence[_types.Assignment],
    slots: int,
    known: frozenset[str],
    view: _load_view.LoadView,
) -> list[str]:
    """Returns the attempts that speak against a placement after all.

    Args:
        assignments: Assignments of the prompt, the primary's first.
        slots: Number of slots of the primary.
        known: Attempts that were known when the prompt was placed.
        view: Assignments of all instances now.
    """
    return (
        _find_stalled(assignments, known, view)
        + _find_stacked(assignments, known, view)
        + _find_preceding(assignments[0], slots, known, view)
    )


def _shortest_gap_ms(
    assignment: _types.Assignment, view: _load_view.LoadView
) -> float:
    """Returns the shortest gap that the answers at an endpoint accept, in ms.

    Infinite if nothing is in decode there.
    """
    return min(
        (
            other.max_gap_ms
            for other in view.on_endpoint(assignment.endpoint)
            if other.decoding and other.primary
        ),
        default=float("inf"),
    )


def _find_stacked(
    assignments: Sequence[_types.Assignment],
    known: frozenset[str],
    view: _load_view.LoadView,
) -> list[str]:
    """Returns new attempts whose prefill fits beside decode, but not with this.

    Of those that were placed at the same time, the one with the lowest id
    stays.
    """
    stacked: list[str] = []
    for own in assignments:
        new = [
            other
            for other in view.on_endpoint(own.endpoint)
            if other.attempt_id not in known
            and other.attempt_id < own.attempt_id
            and not other.decoding
        ]
        prefill_ms = own.prefill_ms + sum(other.prefill_ms for other in new)
        allowed_ms = _MAX_PREFILL_GAP_SHARE * _shortest_gap_ms(own, view)
        if new and prefill_ms > allowed_ms:
            stacked += [other.attempt_id for other in new]
    return stacked


def _find_stalled(
    assignments: Sequence[_types.Assignment],
    known: frozenset[str],
    view: _load_view.LoadView,
) -> list[str]:
    """Returns new attempts that the prompt's prefill would stall."""
    return [
        other.attempt_id
        for a in assignments
        for other in view.on_endpoint(a.endpoint)
        if a.prefill_ms >= LONG_PART_MS
        and other.attempt_id != a.attempt_id
        and other.attempt_id not in known
        and other.max_gap_ms <= a.prefill_ms
    ]


def _find_preceding(
    primary: _types.Assignment,
    slots: int,
    known: frozenset[str],
    view: _load_view.LoadView,
) -> list[str]:
    """Returns new attempts that leave no slot for the prompt.

    Of the prompts that were placed at the same time, those with the lowest ids
    keep their slots. All instances come to the same result.
    """
    attempt_ids = [
        a.attempt_id for a in view.on_endpoint(primary.endpoint) if a.primary
    ]
    new = sorted(i for i in attempt_ids if i not in known)
    free_slots = slots - (len(attempt_ids) - len(new))
    preceding = [i for i in new if i < primary.attempt_id]
    return preceding if len(preceding) >= max(1, free_slots) else []
