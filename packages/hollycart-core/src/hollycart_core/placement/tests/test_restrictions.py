import hypothesis
from hypothesis import strategies as st

from hollycart_core import placement

ENDPOINT = placement.Endpoint("e", "1:1", "s", "z", 8)
NOTICES = st.lists(
    st.tuples(
        st.sampled_from(["leaving", "pause"]),
        st.integers(0, 3),  # born_ms
        st.floats(allow_nan=True, allow_infinity=True),  # pause_ms
        st.floats(0, 1000),  # now_ms
    ),
    max_size=12,
)


def replay(notices):
    restrictions = placement.EndpointRestrictions()
    for kind, born_ms, pause_ms, now_ms in notices:
        if kind == "leaving":
            restrictions.record_leaving("e", born_ms)
        else:
            restrictions.record_pause(
                ENDPOINT._replace(born_ms=born_ms), pause_ms, now_ms
            )
    return restrictions


@hypothesis.given(NOTICES)
def test_only_the_latest_incarnation_is_restricted_by_its_own_notices(notices):
    restrictions = replay(notices)
    latest = max((n[1] for n in notices if n[0] == "leaving"), default=None)
    for born_ms in range(4):
        endpoint = ENDPOINT._replace(born_ms=born_ms)
        if latest is not None and born_ms <= latest:
            known = restrictions.is_leaving(endpoint)
            newer = any(
                n[1] > latest and n[0] == "pause" and n[2] > 0 for n in notices
            )
            assert known or newer
        else:
            assert not restrictions.is_leaving(endpoint)


@hypothesis.given(NOTICES)
def test_pauses_are_bounded_and_end(notices):
    restrictions = replay(notices)
    left_ms = restrictions.pause_left_ms(ENDPOINT, 1000.0)
    assert 0.0 <= left_ms <= 600_000.0
    assert restrictions.pause_left_ms(ENDPOINT, 601_001.0) == 0.0


@hypothesis.given(NOTICES, st.randoms(use_true_random=False))
def test_order_of_notices_of_one_incarnation_does_not_matter(notices, rng):
    notices = [(kind, 1, pause, now) for kind, _, pause, now in notices]
    shuffled = list(notices)
    rng.shuffle(shuffled)
    endpoint = ENDPOINT._replace(born_ms=1)
    one, other = replay(notices), replay(shuffled)
    assert one.is_leaving(endpoint) == other.is_leaving(endpoint)
    assert one.pause_left_ms(endpoint, 0.0) == other.pause_left_ms(
        endpoint, 0.0
    )


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5))),
    st.tuples(st.integers(0, 2), st.integers(0, 5)),
)
def test_replaced_endpoint_is_used_only_if_its_entry_was_written_later(
    replaced, written
):
    restrictions = placement.EndpointRestrictions()
    for entry in replaced:
        restrictions.record_replaced("e", 0, entry)
    endpoint = ENDPOINT._replace(written=written)
    is_later = all(written > entry for entry in replaced)
    assert restrictions.accepts(endpoint, 0.0) == is_later
    assert restrictions.record_present(endpoint) == bool(replaced)
    assert restrictions.accepts(endpoint, 0.0)


def test_replaced_endpoint_that_starts_again_is_used():
    restrictions = placement.EndpointRestrictions()
    restrictions.record_replaced("e", 3, (0, 9))
    assert not restrictions.accepts(ENDPOINT._replace(born_ms=3), 0.0)
    assert restrictions.accepts(ENDPOINT._replace(born_ms=4), 0.0)
