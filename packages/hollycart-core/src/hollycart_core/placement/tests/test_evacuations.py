import hypothesis
from hypothesis import strategies as st

from hollycart_core import placement

OPEN = placement.ZoneAccess.OPEN
LAST_RESORT = placement.ZoneAccess.LAST_RESORT
CLOSED = placement.ZoneAccess.CLOSED
NEVER = float("-inf")
BOUNDS = st.sampled_from([0.0, 500.0, 2500.0, 5000.0, 20000.0])
LONGEST_SEND_MS = 2000.0


def listed(position, *zones):
    return dict.fromkeys(zones, position)


@hypothesis.given(
    BOUNDS,
    st.floats(0.0, 20000.0),
    st.lists(
        st.tuples(st.floats(1.0, 900.0), st.floats(0.0, 4000.0)),
        min_size=1,
        max_size=30,
    ),
    st.lists(st.floats(0.0, 40000.0), max_size=30),
)
def test_no_request_arrives_after_the_bound(
    evacuate_ms, acked_ms, reads, sends_ms
):
    """Reads last any time; each sees the store as of its start or later."""
    evacuations = placement.ZoneEvacuations(evacuate_ms)
    read_ms, results = 0.0, []
    for gap_ms, duration_ms in reads:
        read_ms += gap_ms
        results.append((read_ms + duration_ms, read_ms, read_ms >= acked_ms))
    confirmed_ms, revision = NEVER, 0
    learned_ms = None
    for end_ms, began_ms, sees_it in sorted(results):
        if sees_it or learned_ms is None:
            revision = 2 if sees_it else 1
            evacuations.update(
                listed((0, 2), "z") if sees_it else {},
                (0, revision),
                confirmed_ms,
                end_ms,
            )
            confirmed_ms = max(confirmed_ms, began_ms)
        if sees_it and learned_ms is None:
            learned_ms = end_ms
    if learned_ms is None:
        return
    for sent_ms in sends_ms:
        now_ms = learned_ms + sent_ms
        access = evacuations.access("z", now_ms)
        assert access is not OPEN
        if access is LAST_RESORT:
            assert now_ms + LONGEST_SEND_MS <= acked_ms + evacuate_ms


STATES = st.lists(
    st.tuples(st.integers(0, 2), st.sets(st.sampled_from("xyz"))),
    min_size=1,
    max_size=12,
)


def positions(states):
    """Returns the states in their order, with era and revision of each."""
    eras = sorted(era for era, _ in states)
    return [
        ((era, revision), zones)
        for revision, (era, (_, zones)) in enumerate(
            zip(eras, states, strict=True)
        )
    ]


@hypothesis.given(STATES, st.data())
def test_older_states_change_nothing(states, data):
    """A peer that lags behind sends its state at any time."""
    evacuations = placement.ZoneEvacuations(5000.0)
    applied = []
    for now_ms, (position, zones) in enumerate(positions(states)):
        evacuations.update(
            listed(position, *zones), position, NEVER, float(now_ms)
        )
        before = evacuations.in_force()
        if applied:
            old, old_zones = data.draw(st.sampled_from(applied))
            evacuations.update(
                listed(old, *old_zones), old, NEVER, float(now_ms)
            )
        assert evacuations.in_force() == before
        applied.append((position, zones))


@hypothesis.given(STATES, st.lists(st.floats(0.0, 9000.0), min_size=12))
def test_listed_zones_are_never_open_and_others_end_in_time(states, gaps_ms):
    evacuations = placement.ZoneEvacuations(5000.0)
    now_ms = 0.0
    era_when_listed: dict[str, int] = {}
    missing: dict[str, tuple[int, float]] = {}
    for (position, zones), gap_ms in zip(
        positions(states), gaps_ms, strict=False
    ):
        now_ms += gap_ms
        evacuations.update(listed(position, *zones), position, NEVER, now_ms)
        for zone in "xyz":
            access = evacuations.access(zone, now_ms)
            assert (access is OPEN) == (zone not in evacuations.in_force())
            if zone in zones:
                assert access is CLOSED
                assert evacuations.ended_ms(zone) is None
                era_when_listed[zone] = position[0]
                missing.pop(zone, None)
            elif era_when_listed.get(zone) == position[0]:
                assert access is OPEN
                assert evacuations.ended_ms(zone) is not None
            elif zone in era_when_listed and access is not OPEN:
                era, since_ms = missing.get(zone, (position[0], now_ms))
                if era != position[0]:
                    since_ms = now_ms
                missing[zone] = (position[0], since_ms)
                assert now_ms < since_ms + 10000.0


def test_restored_store_that_lacks_it_keeps_the_zone_closed_for_a_time():
    """A store comes back from a copy made before the evacuation."""
    evacuations = placement.ZoneEvacuations(6000.0)
    evacuations.update(listed((1, 50), "z"), (1, 50), 0.0, 100.0)
    evacuations.update({}, (2, 40), 900.0, 1000.0)
    evacuations.update({}, (2, 45), 5000.0, 9000.0)
    evacuations.remove_lapsed(12999.0)
    assert evacuations.access("z", 12999.0) is CLOSED
    evacuations.remove_lapsed(13000.0)
    assert evacuations.access("z", 13000.0) is OPEN
    assert evacuations.ended_ms("z") == 13000.0


def test_evacuation_written_again_after_a_restore_is_in_force_as_usual():
    evacuations = placement.ZoneEvacuations(5000.0)
    evacuations.update(listed((1, 50), "z"), (1, 50), 0.0, 100.0)
    evacuations.update({}, (2, 40), 900.0, 1000.0)
    evacuations.update(listed((2, 41), "z"), (2, 41), 1900.0, 2000.0)
    evacuations.remove_lapsed(99000.0)
    assert evacuations.access("z", 99000.0) is CLOSED
    evacuations.update({}, (2, 60), 99000.0, 99500.0)
    assert evacuations.access("z", 99500.0) is OPEN


def test_second_restore_starts_the_time_anew():
    evacuations = placement.ZoneEvacuations(1000.0)
    evacuations.update(listed((1, 50), "z"), (1, 50), 0.0, 100.0)
    evacuations.update({}, (2, 40), 900.0, 1000.0)
    evacuations.update({}, (3, 30), 7000.0, 8000.0)
    evacuations.remove_lapsed(17999.0)
    assert evacuations.access("z", 17999.0) is CLOSED
    evacuations.remove_lapsed(18000.0)
    assert evacuations.access("z", 18000.0) is OPEN


def test_without_a_bound_the_zone_is_closed_at_once():
    evacuations = placement.ZoneEvacuations()
    evacuations.update({}, (0, 1), NEVER, 1000.0)
    evacuations.update(listed((0, 2), "z"), (0, 2), 1400.0, 1400.0)
    assert evacuations.access("z", 1400.0) is CLOSED


def test_first_state_with_the_evacuation_closes_the_zone_at_once():
    """An instance that has restarted does not know when it was written."""
    evacuations = placement.ZoneEvacuations(5000.0)
    evacuations.update(listed((0, 2), "z"), (0, 2), NEVER, 1000.0)
    assert evacuations.access("z", 1000.0) is CLOSED
