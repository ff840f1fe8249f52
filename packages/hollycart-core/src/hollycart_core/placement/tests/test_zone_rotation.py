import collections

import pytest

from hollycart_core import placement

ENDPOINTS = [
    placement.Endpoint(name, "", "s", zone, 2)
    for name, zone in (("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"))
]


@pytest.fixture
def rotation():
    return placement.ZoneRotation("a", "i")


def test_idle_endpoints_of_the_zone_are_used_in_turn(rotation):
    """Calls one after the other all went to the endpoint of the lowest id."""
    chosen = [rotation.choose(ENDPOINTS, {}, 0.0).id for _ in range(30)]
    assert collections.Counter(chosen) == {"a1": 10, "a2": 10, "a3": 10}


def test_instances_begin_their_turns_at_different_endpoints():
    first = {
        placement.ZoneRotation("a", f"i{n}").choose(ENDPOINTS, {}, 0.0).id
        for n in range(20)
    }
    assert first == {"a1", "a2", "a3"}


def test_zone_is_left_only_while_its_endpoints_are_full(rotation):
    busy = {"a1": 2, "a2": 2, "a3": 1}
    assert rotation.choose(ENDPOINTS, busy, 0.0).id == "a3"
    assert rotation.choose(ENDPOINTS, {**busy, "a3": 2}, 0.0).id == "b1"
    assert rotation.choose(ENDPOINTS, busy, 0.0).id == "a3"


def test_load_of_other_instances_counts_for_a_second(rotation):
    """30 instances with one call each fill an endpoint that seems idle."""
    for name in ("a1", "a2", "a3"):
        rotation.record_load(name, 5, 1, 0.0)
    assert rotation.choose(ENDPOINTS, {}, 10.0).id == "b1"
    assert rotation.choose(ENDPOINTS, {}, 1000.0).zone == "a"


def test_least_utilized_endpoint_is_used_if_all_are_full(rotation):
    busy = {"a1": 6, "a2": 4, "a3": 6, "b1": 4}
    assert rotation.choose(ENDPOINTS, busy, 0.0).id == "a2"
    assert rotation.choose([], {}, 0.0) is None
