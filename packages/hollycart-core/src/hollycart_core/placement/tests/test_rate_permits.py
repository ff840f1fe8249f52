import hypothesis
from hypothesis import strategies as st

from hollycart_core import placement

QUERY_TIMES = st.lists(st.floats(0.0, 500.0), min_size=1, max_size=200)
RATES = st.sampled_from([0.5, 1.0, 3.0, 20.0])


def granted_ms(gaps_ms, per_s, permits, now_ms=0.0):
    found = []
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        if permits.take("e", per_s, now_ms).granted:
            found.append(now_ms)
    return found


def most_in(times_ms, window_ms):
    return max(
        (sum(t <= x < t + window_ms for x in times_ms) for t in times_ms),
        default=0,
    )


@hypothesis.given(QUERY_TIMES, RATES)
def test_permits_in_any_time_are_those_of_the_rate_and_one_burst(
    gaps_ms, per_s
):
    times_ms = granted_ms(gaps_ms, per_s, placement.RatePermits())
    burst = max(1.0, 0.5 * per_s)
    for window_ms in (500.0, 4000.0):
        most = most_in(times_ms, window_ms)
        assert most <= per_s * window_ms / 1000.0 + burst + 1e-6


@hypothesis.given(QUERY_TIMES, RATES)
def test_grantor_that_takes_over_at_any_time_stays_within_the_margin(
    gaps_ms, per_s
):
    """The old one goes on granting for two seconds."""
    old, new = placement.RatePermits(), placement.RatePermits()
    old.take("e", per_s, -10000.0)
    old_ms = granted_ms(gaps_ms, per_s, old)
    new_ms = granted_ms(gaps_ms, per_s, new)
    times_ms = sorted([t for t in old_ms if t < 2000.0] + new_ms)
    assert most_in(times_ms, 4000.0) <= 1.5 * per_s * 4.0 + 5.0


def test_wait_tells_when_the_next_permit_is_granted():
    permits = placement.RatePermits()
    permits.take("e", 2.0, 0.0)
    granted, wait_ms = permits.take("e", 2.0, 10000.0)
    assert granted
    assert not permits.take("e", 2.0, 10000.0 + wait_ms - 1.0).granted
    assert permits.take("e", 2.0, 10000.0 + wait_ms).granted


def test_refused_callers_return_one_after_the_other():
    permits = placement.RatePermits()
    permits.take("e", 4.0, 0.0)
    returns_ms = [permits.plan_return("e", 4.0, 10000.0) for _ in range(4)]
    gaps_ms = [b - a for a, b in zip(returns_ms, returns_ms[1:], strict=False)]
    assert gaps_ms == [250.0, 250.0, 250.0]
    assert permits.plan_return("e", 4.0, 60000.0) == 0.0


def test_return_is_bounded_however_many_callers_are_refused():
    permits = placement.RatePermits()
    for _ in range(1000):
        return_ms = permits.plan_return("e", 1.0, 0.0)
    assert return_ms == 60000.0
