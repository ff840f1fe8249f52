import hypothesis
from hypothesis import strategies as st

from hollycart_core import placement

NAMES = [f"i{number}" for number in range(9)]
# Times between two datagrams of an instance that is not cut off: at most a
# heartbeat's interval with its jitter and one lost heartbeat of a few.
INTERVALS = st.lists(st.floats(1.0, 1100.0), min_size=1, max_size=30)


def heard_at(times_ms):
    return {n: placement.HeardInstance(t) for n, t in times_ms.items()}


def judge(isolation, heard, now_ms, settled=True, draining=False, listed=NAMES):
    return isolation.update(listed, heard, settled, draining, now_ms)


@hypothesis.given(st.lists(INTERVALS, min_size=9, max_size=9))
def test_nothing_is_missing_while_all_are_heard(intervals):
    """Guards against queries of engines while no instance is cut off."""
    times = [sum(own[: n + 1]) for own in intervals for n in range(len(own))]
    end_ms = min(sum(own) for own in intervals)
    isolation = placement.Isolation()
    for now_ms in sorted(t for t in times if t <= end_ms):
        last_ms = {
            name: max(
                (
                    sum(own[: n + 1])
                    for n in range(len(own))
                    if sum(own[: n + 1]) <= now_ms
                ),
                default=0.0,
            )
            for name, own in zip(NAMES, intervals, strict=True)
        }
        contact = judge(isolation, heard_at(last_ms), now_ms)
        assert (contact.listed, contact.heard, contact.missing) == (9, 9, 0)
        assert not contact.is_isolated
        assert not contact.misses_load


@hypothesis.given(st.sets(st.sampled_from(NAMES)), st.floats(1700.0, 60000.0))
def test_instance_that_hears_less_than_half_is_isolated(cut, now_ms):
    isolation = placement.Isolation()
    judge(isolation, heard_at(dict.fromkeys(NAMES, 0.0)), 0.0)
    last_ms = {name: 0.0 if name in cut else now_ms for name in NAMES}
    contact = judge(isolation, heard_at(last_ms), now_ms)
    assert contact.is_isolated == (len(NAMES) - len(cut) < len(NAMES) / 2)
    assert contact.heard == len(NAMES) - len(cut)
    assert not (contact.is_isolated and contact.misses_load)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0.0, 5000.0), st.booleans(), st.sets(st.integers(0, 8))
        )
    )
)
def test_judgement_changes_only_while_the_others_could_be_heard(steps):
    """Guards against isolation by the instance's own start or pause."""
    isolation, now_ms = placement.Isolation(), 0.0
    last_ms = dict.fromkeys(NAMES, 0.0)
    for wait_ms, settled, heard in steps:
        now_ms += wait_ms
        last_ms.update({f"i{number}": now_ms for number in heard})
        before = isolation.contact
        contact = judge(isolation, heard_at(last_ms), now_ms, settled)
        assert settled or contact == before


def test_draining_instance_is_not_isolated():
    isolation = placement.Isolation()
    judge(isolation, {}, 0.0)
    assert judge(isolation, {}, 9000.0).is_isolated
    assert not judge(isolation, {}, 9000.0, draining=True).is_isolated


def test_instances_that_left_in_order_are_not_missed():
    """Guards against isolation of the rest after a fleet was made smaller.

    The registrations of instances outlast them by up to the lease.
    """
    isolation = placement.Isolation()
    staying = {n: placement.HeardInstance(9000.0) for n in NAMES[:2]}
    leaving = {n: placement.HeardInstance(0.0, True) for n in NAMES[2:]}
    judge(isolation, staying | leaving, 0.0)
    contact = judge(isolation, staying, 9000.0)
    assert (contact.listed, contact.heard, contact.missing) == (2, 2, 0)


def test_instances_that_register_have_time_to_be_heard():
    isolation = placement.Isolation()
    judge(isolation, {}, 0.0, listed=())
    assert not judge(isolation, {}, 9000.0).is_isolated
    assert judge(isolation, {}, 11000.0).is_isolated


def test_load_of_one_missing_instance_matters_for_a_time():
    """Its prompts go on after its assignments were dropped."""
    isolation = placement.Isolation()
    last_ms = dict.fromkeys(NAMES, 0.0)
    judge(isolation, heard_at(last_ms), 0.0)
    found = {}
    for now_ms in (3200.0, 3300.0, 13000.0, 14000.0):
        last_ms |= dict.fromkeys(NAMES[1:], now_ms)
        contact = judge(isolation, heard_at(last_ms), now_ms)
        found[now_ms] = contact.misses_load
    assert list(found.values()) == [False, True, True, False]


def test_load_matters_as_long_as_a_quarter_is_missing():
    isolation = placement.Isolation()
    last_ms = dict.fromkeys(NAMES, 0.0)
    judge(isolation, heard_at(last_ms), 0.0)
    last_ms |= dict.fromkeys(NAMES[3:], 60000.0)
    assert judge(isolation, heard_at(last_ms), 60000.0).misses_load
