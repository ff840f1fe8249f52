import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from hollycart_core import placement

ENDPOINT = placement.Endpoint(
    "e", "1:1", "s", "z", 8, born_ms=5, written=(1, 10)
)
SERVICES = {"s": 3000.0}


@pytest.fixture
def cold():
    followed = placement.ColdEndpoints()
    followed.follow([ENDPOINT], SERVICES, 0.0)
    return followed


def test_endpoints_of_the_first_state_are_cold_only_by_their_entries():
    cold = placement.ColdEndpoints()
    entry = ENDPOINT._replace(id="f", cold_left_ms=800.0)
    assert cold.follow([ENDPOINT, entry], SERVICES, 0.0) == [entry]
    assert cold.left_ms(ENDPOINT, 0.0) == 0.0
    assert (cold.left_ms(entry, 300.0), cold.source(entry)) == (500.0, "entry")


def test_endpoints_of_a_service_that_was_added_later_are_not_all_new(cold):
    other = ENDPOINT._replace(id="f", service="t")
    assert cold.follow([ENDPOINT, other], {**SERVICES, "t": 9.0}, 5.0) == []


@pytest.mark.parametrize(
    "started",
    [ENDPOINT._replace(born_ms=6, written=(1, 20)), ENDPOINT._replace(id="f")],
)
def test_new_incarnation_is_cold_from_when_it_was_first_seen(cold, started):
    assert cold.follow([started], SERVICES, 1000.0) == [started]
    cold.follow([started], SERVICES, 2000.0)
    assert cold.left_ms(started, 2500.0) == 1500.0
    assert cold.left_ms(started, 4000.0) == 0.0


def test_service_without_cold_endpoints_has_none(cold):
    other = ENDPOINT._replace(service="t", cold_left_ms=500.0)
    cold.follow([other], SERVICES, 10.0)
    cold.record_zone_reopened("z", 10.0)
    assert not cold.record_statement(other, 500.0, 10.0, 20.0)
    assert cold.left_ms(other, 20.0) == 0.0


def test_entries_that_are_written_again_make_no_incarnation_cold(cold):
    """The store restarts, and all register again with a later revision."""
    again = ENDPOINT._replace(written=(2, 3))
    assert cold.follow([], SERVICES, 500.0) == []
    assert cold.follow([again], SERVICES, 1000.0) == []
    assert cold.left_ms(again, 1000.0) == 0.0


def test_older_incarnation_of_a_restored_store_is_not_new(cold):
    started = ENDPOINT._replace(born_ms=9, written=(1, 20))
    cold.follow([started], SERVICES, 1000.0)
    assert cold.follow([ENDPOINT], SERVICES, 9000.0) == []
    assert cold.follow([started], SERVICES, 9500.0) == []
    assert cold.left_ms(started, 9500.0) == 0.0


def test_time_left_in_an_entry_counts_once_for_each_version(cold):
    entry = ENDPOINT._replace(cold_left_ms=900.0, written=(1, 11))
    cold.follow([entry], SERVICES, 100.0)
    cold.follow([entry], SERVICES, 600.0)
    assert cold.left_ms(entry, 600.0) == 400.0
    second = entry._replace(written=(1, 12))
    cold.follow([second], SERVICES, 5000.0)
    assert cold.left_ms(second, 5000.0) == 900.0


def test_statement_counts_before_entry_and_start(cold):
    started = ENDPOINT._replace(born_ms=6, cold_left_ms=2900.0)
    cold.record_announced("e", 6, 500.0, 1000.0)
    assert cold.follow([started], SERVICES, 1100.0) == []
    assert cold.left_ms(started, 1100.0) == 400.0


def test_statement_ends_a_cold_time_only_if_its_request_was_sent_later(cold):
    started = ENDPOINT._replace(born_ms=6)
    cold.follow([started], SERVICES, 1000.0)
    assert not cold.record_statement(started, 0.0, 900.0, 1100.0)
    assert cold.left_ms(started, 1100.0) == 2900.0
    assert cold.record_statement(started, 0.0, 1101.0, 1200.0) == -2800.0
    assert cold.left_ms(started, 1200.0) == 0.0


def test_endpoint_that_becomes_cold_twice_is_cold_by_the_later_statement(cold):
    assert cold.record_statement(ENDPOINT, 3000.0, 0.0, 10.0) == 3000.0
    assert not cold.record_statement(ENDPOINT, 2900.0, 100.0, 110.0)
    assert cold.record_statement(ENDPOINT, 0.0, 2000.0, 2010.0) == -1000.0
    assert cold.record_statement(ENDPOINT, 3000.0, 2500.0, 2510.0) == 3000.0
    # A response that was on its way while the second one was received.
    cold.record_statement(ENDPOINT, 0.0, 2505.0, 2600.0)
    assert cold.left_ms(ENDPOINT, 2600.0) == 2910.0


def test_announcement_never_shortens_a_cold_time(cold):
    cold.record_statement(ENDPOINT, 3000.0, 0.0, 10.0)
    assert not cold.record_announced("e", 5, 100.0, 20.0)
    assert not cold.record_announced("e", 4, 9000.0, 20.0)
    assert cold.left_ms(ENDPOINT, 20.0) == 2990.0


def test_zone_that_is_open_again_is_cold_until_an_endpoint_says_otherwise(cold):
    other = ENDPOINT._replace(id="f", zone="y")
    cold.follow([ENDPOINT, other], SERVICES, 10.0)
    cold.record_statement(ENDPOINT, 0.0, 100.0, 110.0)
    cold.record_zone_reopened("z", 20000.0)
    assert cold.left_ms(ENDPOINT, 21000.0) == 2000.0
    assert cold.source(ENDPOINT) == "reopened"
    assert cold.left_ms(other, 21000.0) == 0.0
    cold.record_statement(ENDPOINT, 0.0, 21000.0, 21010.0)
    assert cold.left_ms(ENDPOINT, 21010.0) == 0.0


@pytest.mark.parametrize("left_ms", [float("nan"), -5.0, float("inf")])
def test_meaningless_time_is_ignored_or_bounded(cold, left_ms):
    cold.record_statement(ENDPOINT, left_ms, 0.0, 10.0)
    assert cold.left_ms(ENDPOINT, 10.0) in (0.0, 600_000.0)


# Announcements of one cold time, each with its delay until it arrives.
DELAYS = st.lists(st.floats(0.0, 2000.0), min_size=1, max_size=4)


@hypothesis.given(DELAYS)
def test_late_and_reordered_announcements_never_end_a_cold_time_early(delays):
    """The endpoint is cold until 3000; the messages are sent 100 ms apart."""
    received = sorted(
        (100.0 * n + delay, 3000.0 - 100.0 * n)
        for n, delay in enumerate(delays)
    )
    ends = set()
    for order in itertools.permutations(received):
        cold = placement.ColdEndpoints()
        cold.follow([ENDPOINT], SERVICES, 0.0)
        for at_ms, left_ms in order:
            cold.record_announced("e", 5, left_ms, at_ms)
        ends.add(cold.left_ms(ENDPOINT, 0.0))
    assert len(ends) == 1
    assert ends.pop() >= 3000.0
