from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollycart_core import membership


def _entry(name, leaving=False):
    return membership.ListEntry(
        name, "instance", f"{name}:1", cell="c", leaving=leaving
    )


def _digest(name, incarnation=1, heartbeat=1, leaving=False):
    return membership.MemberDigest(name, incarnation, heartbeat, leaving, 0)


@pytest.fixture(name="view")
def _view():
    view = membership.MembershipView(_entry("a"), incarnation=1)
    view.apply_list([_entry("b"), _entry("c")], now_ms=0.0)
    return view


def test_instance_without_heartbeats_is_not_live_after_the_timeout(view):
    assert view.live(0.0) == ["a", "b", "c"]
    late = membership.FAILURE_TIMEOUT_MS + 1
    view.merge([_digest("b")], now_ms=late - 10)
    assert view.live(late) == ["a", "b"]


def test_known_heartbeat_does_not_make_an_instance_live_again(view):
    view.merge([_digest("b", heartbeat=5)], now_ms=1.0)
    late = membership.FAILURE_TIMEOUT_MS + 2
    view.merge([_digest("b", heartbeat=5)], now_ms=late)
    assert "b" not in view.live(late)
    view.merge([_digest("b", incarnation=2)], now_ms=late)
    assert "b" in view.live(late)


def test_suspected_instance_is_excluded_for_a_short_time(view):
    view.suspect("b", now_ms=0.0)
    assert "b" not in view.live(10.0)
    view.merge([_digest("b")], now_ms=1500.0)
    assert "b" in view.live(1500.0)


def test_leaving_instances_own_no_keys(view):
    view.apply_list([_entry("b", leaving=True), _entry("c")], now_ms=1.0)
    view.merge([_digest("c", leaving=True)], now_ms=1.0)
    view.leaving = True
    assert view.live(2.0) == []
    assert view.owners("pool/x", 2.0) == ["a"]


def test_instance_of_another_cell_is_ignored(view):
    view.apply_list([_entry("z")._replace(cell="other")], now_ms=0.0)
    assert "z" not in view.live(0.0)


_DIGESTS = st.lists(
    st.builds(
        membership.MemberDigest,
        st.sampled_from("bcd"),
        st.integers(0, 3),
        st.integers(0, 5),
        st.booleans(),
        st.integers(0, 9),
    ),
    max_size=10,
)


@given(digests=_DIGESTS, rng=st.randoms(use_true_random=False))
def test_newest_heartbeat_wins_in_any_order(digests, rng):
    newest = {}
    for digest in digests:
        version = digest.incarnation, digest.heartbeat
        if version > newest.get(digest.instance_id, (0, 0)):
            newest[digest.instance_id] = version
    shuffled = list(digests)
    rng.shuffle(shuffled)
    view = membership.MembershipView(_entry("a"), incarnation=1)
    view.apply_list([_entry("b"), _entry("c"), _entry("d")], now_ms=0.0)
    for digest in shuffled:
        view.merge([digest], now_ms=1.0)
    shown = {
        d.instance_id: (d.incarnation, d.heartbeat) for d in view.digests(1.0)
    }
    for name, version in newest.items():
        assert shown[name] == version
