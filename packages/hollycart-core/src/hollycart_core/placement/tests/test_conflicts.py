import hypothesis
from hypothesis import strategies
import pytest

from hollycart_core import placement

SLOTS = 8


def assignment(attempt_id, prefill_ms, decoding=False, max_gap_ms=1000.0):
    return placement.Assignment(
        attempt_id, "e", decoding, decoding, prefill_ms, 100.0, 100.0, 300.0,
        max_gap_ms, 9000, 9000, 1.0,
    )  # fmt: skip


@pytest.fixture
def view():
    """A load view with one short answer in decode."""
    made = placement.LoadView()
    made.add("peer", [assignment("short", 20.0, True, 250.0)])
    return made


def conflicts(view, own, known=frozenset(("short",))):
    if not placement.needs_confirmation([own], SLOTS, view):
        return []
    return placement.find_conflicts([own], SLOTS, known, view)


def test_parts_of_two_long_prompts_do_not_meet_beside_a_short_answer(view):
    """Guards against gaps of 334 ms where 250 ms are accepted.

    Parts of 152 and 140 ms were placed by two instances within 10 ms.
    """
    first, second = assignment("a", 152.0), assignment("b", 140.0)
    view.add("x", [first])
    view.add("y", [second])
    assert not conflicts(view, first)
    assert conflicts(view, second) == ["a"]


def test_parts_that_fit_together_stay(view):
    first, second = assignment("a", 70.0), assignment("b", 85.0)
    view.add("x", [first])
    view.add("y", [second])
    assert not conflicts(view, second)


def test_parts_meet_where_nothing_is_in_decode():
    view = placement.LoadView()
    first, second = assignment("a", 100.0), assignment("b", 140.0)
    view.add("x", [first])
    view.add("y", [second])
    assert not conflicts(view, second, frozenset())


@hypothesis.given(strategies.lists(strategies.floats(82.0, 149.0), max_size=6))
def test_one_of_the_prompts_that_meet_stays(parts_ms):
    """Guards against prompts that all give up the same endpoint."""
    view = placement.LoadView()
    view.add("peer", [assignment("short", 20.0, True, 250.0)])
    made = [assignment(f"{i}", ms) for i, ms in enumerate(parts_ms)]
    for number, own in enumerate(made):
        view.add(f"i{number}", [own])
    staying = [own for own in made if not conflicts(view, own)]
    assert len(staying) == min(1, len(made))
