import pytest

from hollycart_core import placement


@pytest.fixture
def work():
    def make(attempt, endpoint, main=True, memory=100):
        return placement.Work(
            attempt,
            endpoint,
            main,
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


def test_first_event_frees_those_that_only_read(view, work):
    view.add("i", [work("a", "e1"), work("a", "e2", main=False, memory=0)])
    view.start_writing("a")
    assert [w.writing for w in view.at("e1")] == [True]
    assert not list(view.at("e2"))


def test_endpoint_that_holds_memory_stays_until_the_end(view, work):
    view.add("i", [work("a", "e1"), work("a", "e2", main=False)])
    view.start_writing("a")
    assert [w.memory_tokens for w in view.at("e2")] == [100]
    view.remove("a")
    assert not list(view.at("e2"))


def test_announcement_replaces_what_an_instance_said(view, work):
    view.add("i", [work("a", "e1")])
    view.add("j", [work("b", "e1")])
    view.replace_instance("i", [(work("c", "e2"),)])
    assert [w.attempt for w in view.at("e1")] == ["b"]
    assert [w.attempt for w in view.at("e2")] == ["c"]


def test_lost_instance_leaves_nothing(view, work):
    view.add("i", [work("a", "e1")])
    view.replace_instance("i", ())
    assert not list(view.at("e1"))
    assert view.of("i") == []
