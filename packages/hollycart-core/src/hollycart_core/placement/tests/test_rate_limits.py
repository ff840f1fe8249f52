import itertools

import hypothesis
from hypothesis import strategies as st

from hollycart_core import placement

ENDPOINT = placement.Endpoint("e", "1:1", "s", "z", 8)
# Requests overlap: each is sent at one instant and answered at a later one.
STATEMENTS = st.lists(
    st.builds(
        lambda per_s, sent_ms, duration_ms: placement.RateStatement(
            "e", 0, per_s, sent_ms, sent_ms + duration_ms
        ),
        st.sampled_from([None, 0.5, 1.0, 4.0]),
        st.integers(0, 50),
        st.integers(1, 20),
    ),
    min_size=1,
    max_size=5,
)


def replay(statements):
    limits = placement.EndpointRateLimits()
    for statement in statements:
        limits.record(statement)
    return limits.find(ENDPOINT)


@hypothesis.given(STATEMENTS)
def test_limit_ends_only_by_a_response_to_a_later_request(statements):
    """Whatever the order in which the responses are recorded."""
    named = [s for s in statements if s.per_s is not None]
    ended_ms = max(
        (s.sent_ms for s in statements if s.per_s is None), default=-1
    )
    for order in itertools.permutations(statements):
        found = replay(order)
        if found is None and named:
            assert all(s.received_ms <= ended_ms for s in named)


@hypothesis.given(STATEMENTS)
def test_statement_that_is_later_than_all_others_is_in_force(statements):
    last = placement.RateStatement("e", 0, 2.0, 1000, 1001)
    found = replay([*statements, last])
    assert found.per_s == 2.0
    ended = last._replace(per_s=None, sent_ms=1001, received_ms=1002)
    assert replay([*statements, last, ended]) is None


def test_lower_of_two_limits_of_unknown_order_is_in_force():
    low = placement.RateStatement("e", 0, 1.0, 0, 10)
    high = placement.RateStatement("e", 0, 3.0, 5, 15)
    assert replay([low, high]).per_s == replay([high, low]).per_s == 1.0


def test_limit_belongs_to_an_incarnation():
    limits = placement.EndpointRateLimits()
    limits.record(placement.RateStatement("e", 1, 1.0, 0, 10))
    assert limits.find(ENDPOINT._replace(born_ms=1)) is not None
    assert limits.find(ENDPOINT._replace(born_ms=2)) is None
    late = placement.RateStatement("e", 0, 5.0, 20, 30)
    assert not limits.record(late)
