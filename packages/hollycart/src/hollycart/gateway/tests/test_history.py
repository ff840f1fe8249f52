"""A store that was restored from an older copy."""

import hypothesis
from hypothesis import strategies as st
import pytest

from hollycart.gateway import _history
from hollycart_core import kv


class Order:
    """The value of a key is its precedence; `bad` is malformed."""

    def is_registration(self, key):
        return key.startswith("instance-")

    def precedence(self, item):
        return None if item.value == b"bad" else int(item.value or b"0")


def read(era, revision, **values):
    """Returns a read; each key has a precedence and a revision."""
    items = tuple(
        kv.KeyValue(key, value, mod, 1, era)
        for key, (value, mod) in sorted(values.items())
    )
    return kv.RangeResult(revision, items, era)


def merged(raw):
    return {i.key: (i.value, i.era) for i in raw.merge().items}


@pytest.fixture
def history():
    return _history.StoreHistory(Order())


def test_later_value_outlasts_the_older_copy_until_it_is_written_again(history):
    history.update(read(1, 100, a=(b"0", 90), b=(b"0", 95)))
    raw = history.update(read(2, 85, a=(b"0", 80), b=(b"0", 80)))
    assert merged(raw) == {"a": (b"0", 1), "b": (b"0", 1)}
    raw = history.update(read(2, 87, a=(b"0", 80), b=(b"0", 87)))
    assert merged(raw) == {"a": (b"0", 1), "b": (b"0", 2)}


def test_deleted_key_stays_deleted_although_the_copy_holds_it(history):
    history.update(read(1, 90, a=(b"0", 80)))
    history.update(read(1, 95))
    raw = history.update(read(2, 85, a=(b"0", 80)))
    assert merged(raw) == {}
    raw = history.update(read(2, 86, a=(b"0", 86)))
    assert merged(raw) == {"a": (b"0", 2)}


def test_key_that_vanishes_in_the_new_era_is_not_kept(history):
    history.update(read(1, 100, a=(b"0", 99)))
    history.update(read(2, 90, a=(b"0", 80)))
    assert merged(history.update(read(2, 91))) == {}


def test_higher_precedence_wins_whatever_the_revisions_are(history):
    """An older configuration, or an older incarnation of an endpoint."""
    history.update(read(1, 100, config=(b"7", 60)))
    raw = history.update(read(2, 50, config=(b"5", 40)))
    assert merged(raw) == {"config": (b"7", 1)}
    raw = history.update(read(2, 90, config=(b"6", 90)))
    assert merged(raw) == {"config": (b"7", 1)}
    raw = history.update(read(2, 91, config=(b"8", 91)))
    assert merged(raw) == {"config": (b"8", 2)}


def test_malformed_value_of_the_copy_does_not_replace_a_valid_one(history):
    history.update(read(1, 100, config=(b"7", 60)))
    raw = history.update(read(2, 120, config=(b"bad", 110)))
    assert merged(raw) == {"config": (b"7", 1)}


def test_value_without_precedence_is_never_hidden_by_its_deletion(history):
    """An evacuation is written before any instance reads the new era."""
    history.update(read(1, 90, a=(b"bad", 80)))
    history.update(read(1, 95))
    raw = history.update(read(2, 85, a=(b"bad", 85)))
    assert merged(raw) == {"a": (b"bad", 2)}


def test_late_answer_of_an_earlier_era_is_ignored(history):
    history.update(read(1, 100))
    history.update(read(2, 90))
    assert history.update(read(1, 130)) is None
    assert history.raw.contents.era == 2


def test_new_instance_takes_from_a_peer_what_the_copy_lacks(history):
    history.update(read(1, 100, a=(b"0", 90), config=(b"7", 95)))
    raw = history.update(read(2, 85, a=(b"0", 80), config=(b"5", 70)))
    newcomer = _history.StoreHistory(Order())
    newcomer.update(read(2, 86, a=(b"0", 80), config=(b"5", 70)))
    adopted = newcomer.update(
        read(2, 86, a=(b"0", 80), config=(b"5", 70)), raw.former, raw.era_start
    )
    assert (
        merged(adopted)
        == merged(raw)
        == {
            "a": (b"0", 1),
            "config": (b"7", 1),
        }
    )


def test_equal_revisions_of_two_eras_have_different_digests(history):
    before = history.update(read(1, 100, a=(b"0", 90)))
    after = history.update(read(2, 100, a=(b"0", 90)))
    assert before.digest != after.digest


STATES = st.lists(
    st.tuples(
        st.integers(1, 3),  # era
        st.integers(1, 12),  # revision
        st.dictionaries(
            st.sampled_from("ab"),
            st.tuples(st.sampled_from([b"0", b"1", b"bad"]), st.integers(1, 9)),
        ),
    ),
    max_size=8,
)


@hypothesis.given(STATES)
def test_precedence_never_falls_from_one_era_to_the_next(states):
    history = _history.StoreHistory(Order())
    held = {}
    for era, revision, values in states:
        raw = history.update(read(era, revision, **values))
        if raw is None:
            continue
        for item in raw.merge().items:
            now = Order().precedence(item)
            known_era, known = held.get(item.key, (0, None))
            if known is not None and known_era < item.era:
                assert now is not None and now >= known
            held[item.key] = (item.era, now)
        listed = {i.key for i in raw.merge().items}
        held = {k: v for k, v in held.items() if k in listed}


@hypothesis.given(STATES, st.randoms(use_true_random=False))
def test_instances_that_exchange_their_states_agree(states, rng):
    """Each has seen only a part of the reads, in the order of the store."""
    states = sorted(states, key=lambda s: s[:2])
    instances = [_history.StoreHistory(Order()) for _ in range(3)]
    last = {}
    for era, revision, values in states:
        contents = last.setdefault(
            (era, revision), read(era, revision, **values)
        )
        for instance in instances:
            if rng.random() < 0.6:
                instance.update(contents)
    seen = [i for i in instances if i.raw is not None]
    for _ in range(4):
        for one in seen:
            for other in seen:
                raw = other.raw
                one.update(raw.contents, raw.former, raw.era_start)
    assert len({i.raw.digest for i in seen}) <= 1
    assert len({str(merged(i.raw)) for i in seen}) <= 1


def test_former_values_of_a_peer_that_lags_in_the_same_era_count(history):
    """The peer has not read the registrations since the store came back."""
    peer = _history.StoreHistory(Order())
    peer.update(read(1, 100, config=(b"7", 60)))
    lagging = peer.update(read(2, 50, config=(b"5", 40)))
    copy = {"config": (b"5", 40), "instance-9": (b"0", 53)}
    history.update(read(2, 53, **copy))
    raw = history.update(lagging.contents, lagging.former, lagging.era_start)
    assert raw.contents.revision == 53
    assert merged(raw)["config"] == (b"7", 1)
    assert "instance-9" in merged(raw)
    # Nothing new comes from it after that.
    again = history.update(lagging.contents, lagging.former, lagging.era_start)
    assert again is None
