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


def test_first_event_frees_those_that_only_read(view, assignment):
    view.add(
        "i",
        [assignment("a", "e1"), assignment("a", "e2", primary=False, memory=0)],
    )
    view.start_decoding("a")
    assert [w.decoding for w in view.on_endpoint("e1")] == [True]
    assert not list(view.on_endpoint("e2"))


def test_endpoint_that_holds_memory_stays_until_the_end(view, assignment):
    view.add("i", [assignment("a", "e1"), assignment("a", "e2", primary=False)])
    view.start_decoding("a")
    assert [w.memory_tokens for w in view.on_endpoint("e2")] == [100]
    view.remove("a")
    assert not list(view.on_endpoint("e2"))


def test_announcement_replaces_what_an_instance_said(view, assignment):
    view.add("i", [assignment("a", "e1")])
    view.add("j", [assignment("b", "e1")])
    view.replace_instance("i", [(assignment("c", "e2"),)])
    assert [w.attempt for w in view.on_endpoint("e1")] == ["b"]
    assert [w.attempt for w in view.on_endpoint("e2")] == ["c"]


def test_lost_instance_leaves_nothing(view, assignment):
    view.add("i", [assignment("a", "e1")])
    view.replace_instance("i", ())
    assert not list(view.on_endpoint("e1"))
    assert view.of_instance("i") == []
