import pytest

from hollycart_core import placement


@pytest.fixture
def assignment():
    def make(attempt, endpoint, primary=True, memory=100):
        return placement.Assignment(
            attempt,
            endpoint,
            primary,
            False,
            50,
            60,
            60,
            300,
            200,
            100,
            memory,
            1.0,
        )

    return make


def test_first_event_releases_helpers_without_memory(view, assignment):
    view.add(
        "i",
        [assignment("a", "e1"), assignment("a", "e2", primary=False, memory=0)],
    )
    view.start_decoding("a")
    assert [a.decoding for a in view.on_endpoint("e1")] == [True]
    assert not list(view.on_endpoint("e2"))


def test_helper_with_memory_is_kept_until_the_attempt_ends(view, assignment):
    view.add("i", [assignment("a", "e1"), assignment("a", "e2", primary=False)])
    view.start_decoding("a")
    assert [a.memory_tokens for a in view.on_endpoint("e2")] == [100]
    view.remove("a")
    assert not list(view.on_endpoint("e2"))


def test_announcement_replaces_all_assignments_of_an_instance(view, assignment):
    view.add("i", [assignment("a", "e1")])
    view.add("j", [assignment("b", "e1")])
    view.replace_instance("i", [(assignment("c", "e2"),)])
    assert [a.attempt_id for a in view.on_endpoint("e1")] == ["b"]
    assert [a.attempt_id for a in view.on_endpoint("e2")] == ["c"]


def test_lost_instance_leaves_no_assignments(view, assignment):
    view.add("i", [assignment("a", "e1")])
    view.replace_instance("i", ())
    assert not list(view.on_endpoint("e1"))
    assert view.of_instance("i") == []
