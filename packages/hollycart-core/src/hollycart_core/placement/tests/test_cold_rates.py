import hypothesis
from hypothesis import strategies as st
import pytest

from hollycart_core import placement

RATES = st.tuples(
    st.floats(2.0, 60.0), st.floats(1.0, 2.0), st.floats(2.0, 10.0)
)
# Times between queries, and times after which their permits are used, in ms.
QUERIES = st.lists(
    st.tuples(st.floats(0.0, 200.0), st.floats(0.0, 499.0)),
    min_size=1,
    max_size=80,
)


def most_in_a_second(times_ms):
    return max(
        (sum(t <= x <= t + 1000.0 for x in times_ms) for t in times_ms),
        default=0,
    )


def uses_ms(queries, per_s, contested, known_since_ms=-10000.0):
    permits = placement.RatePermits()
    permits.take("e", per_s, known_since_ms)
    now_ms, found = 0.0, []
    for gap_ms, delay_ms in queries:
        now_ms += gap_ms
        if permits.take("e", per_s, now_ms, contested).granted:
            found.append(now_ms + delay_ms)
    return found


@hypothesis.given(RATES, QUERIES, QUERIES, st.booleans())
def test_grants_of_two_grantors_stay_within_the_bound_in_any_second(
    rates, first, second, is_new
):
    """The second one is new, or knows that it is not the first in order."""
    cold_per_s, overage, slack = rates
    rate = placement.cold_rate(cold_per_s, overage, slack, 100_000)
    times_ms = uses_ms(first, rate.per_s, False) + uses_ms(
        second, rate.per_s, not is_new, 0.0 if is_new else -10000.0
    )
    bound = cold_per_s * overage + slack
    if not is_new or max(times_ms, default=0.0) <= 4000.0:
        assert most_in_a_second(times_ms) <= bound + 1e-6


@hypothesis.given(
    RATES,
    st.lists(st.integers(0, 3), min_size=1, max_size=20),
    st.lists(
        st.tuples(
            st.integers(0, 19), st.floats(0.0, 60.0), st.floats(0.0, 400.0)
        ),
        max_size=150,
    ),
)
def test_shares_of_all_instances_stay_within_the_bound_in_any_second(
    rates, unknown, requests
):
    """Each instance misses some of the others."""
    cold_per_s, overage, slack = rates
    count = len(unknown)
    allowed = [
        placement.cold_rate(
            cold_per_s, overage, slack, max(1, count - min(n, count // 5))
        ).share
        for n in unknown
    ]
    shares = [placement.LocalShares() for _ in unknown]
    pending, times_ms, now_ms = [], [], 0.0
    for number, (instance, gap_ms, delay_ms) in enumerate(requests):
        now_ms += gap_ms
        for due_ms, sender, attempt in sorted(pending):
            if due_ms <= now_ms:
                pending.remove((due_ms, sender, attempt))
                if shares[sender].send("e", attempt, due_ms):
                    times_ms.append(due_ms)
        sender, attempt = instance % count, f"a{number}"
        share = allowed[sender]
        if share and shares[sender].take("e", attempt, share, now_ms):
            pending.append((now_ms + delay_ms, sender, attempt))
    assert most_in_a_second(times_ms) <= cold_per_s * overage + slack


@pytest.mark.parametrize(
    ("instances", "share"), [(1, 11), (8, 2), (13, 1), (14, 0), (300, 0)]
)
def test_share_needs_two_requests_a_second_for_each_instance(instances, share):
    assert placement.cold_rate(14.0, 1.5, 5.0, instances).share == share


def test_grants_leave_room_for_shares_near_the_threshold():
    """Some instances know of 13, others of 14, and the latter need permits."""
    by_share = placement.cold_rate(14.0, 1.5, 5.0, 13)
    rate = placement.cold_rate(14.0, 1.5, 5.0, 14)
    assert 13 * by_share.share + 3.0 * rate.per_s <= 26.0


def test_unused_part_of_a_share_is_free_again():
    shares = placement.LocalShares()
    assert shares.take("e", "a", 1, 0.0)
    shares.release("e", "a")
    assert shares.take("e", "b", 1, 1.0)
    assert not shares.take("e", "c", 1, 400.0)
    assert shares.take("e", "c", 1, 501.0)
    assert not shares.send("e", "b", 502.0)


def test_share_that_was_sent_counts_for_a_second_after_its_release():
    shares = placement.LocalShares()
    shares.take("e", "a", 1, 0.0)
    assert shares.send("e", "a", 100.0)
    shares.release("e", "a")
    assert not shares.take("e", "b", 1, 1100.0)
    assert shares.wait_ms("e", 1, 1100.0) == 50.0
    assert shares.take("e", "b", 1, 1150.0)
