import random

import hypothesis
from hypothesis import strategies
import pytest

from hollycart_core import placement
from hollycart_core.placement import _cells

zone_counts = strategies.dictionaries(
    strategies.sampled_from("abcdefgh"), strategies.integers(0, 30)
)


@hypothesis.settings(derandomize=True)
@hypothesis.given(zone_counts, zone_counts)
def test_cells_partition_the_zones_and_can_serve(endpoints, instances):
    cells = placement.group_zones(endpoints, instances)
    assert sorted(z for c in cells for z in c) == sorted(
        endpoints.keys() | instances.keys()
    )
    if len(cells) > 1:
        for cell in cells:
            staff = sum(instances.get(z, 0) for z in cell)
            assert staff > 0
            size = sum(endpoints.get(z, 0) for z in cell)
            assert (
                size >= _cells.MIN_CELL_ENDPOINTS
                or staff >= _cells.MANY_INSTANCES
            )


@hypothesis.settings(derandomize=True)
@hypothesis.given(zone_counts, zone_counts)
def test_cells_do_not_depend_on_the_order_of_the_zones(endpoints, instances):
    cells = placement.group_zones(endpoints, instances)
    assert cells == placement.group_zones(
        dict(reversed(endpoints.items())), dict(reversed(instances.items()))
    )


@pytest.mark.parametrize(
    ("endpoints", "cells"),
    [
        ((5, 5, 4), 1),
        ((6, 6, 6), 1),
        ((20, 20, 20), 3),
        ((23, 23, 22, 22, 22), 5),
        ((2, 2, 2, 2, 2), 1),
        ((22, 22, 22, 22, 0), 4),
    ],
)
def test_number_of_cells_follows_the_endpoints_of_the_zones(endpoints, cells):
    zones = "abcde"[: len(endpoints)]
    found = placement.group_zones(
        dict(zip(zones, endpoints, strict=True)), dict.fromkeys(zones, 8)
    )
    assert len(found) == cells


def test_lapsed_registrations_of_engines_do_not_merge_large_zones():
    found = placement.group_zones({"a": 1}, dict.fromkeys("abcde", 39))
    assert len(found) == 5


def test_small_fleet_is_one_cell_whatever_its_endpoints():
    zones = dict.fromkeys("abc", 34)
    assert len(placement.group_zones(zones, dict.fromkeys("abc", 3))) == 1
    assert len(placement.group_zones(zones, dict.fromkeys("abc", 10))) == 3


def test_zone_without_instances_joins_a_cell_that_serves_its_endpoints():
    found = placement.group_zones(
        {"a": 20, "b": 20, "c": 20}, {"a": 20, "b": 20}
    )
    assert any("c" in cell and len(cell) > 1 for cell in found)


def test_offers_follow_the_open_endpoints_of_the_cells():
    directory = placement.CellDirectory()
    directory.record(placement.CellReport("b", 40, {"s": 0}, 0.0))
    directory.record(placement.CellReport("c", 40, {"s": 2}, 0.0))
    rng = random.Random(1)
    chosen = []
    for _ in range(3):
        cell = directory.choose("s", ["b", "c"], 100.0, rng)
        chosen.append(cell)
        if cell:
            directory.record_offer(cell, "s")
    assert chosen == ["c", "c", None]


def test_older_report_does_not_replace_a_newer_one():
    directory = placement.CellDirectory()
    directory.record(placement.CellReport("b", 40, {"s": 2}, 50.0))
    directory.record(placement.CellReport("b", 7, {"s": 9}, 10.0))
    assert directory.instances("b", 60.0) == 40


def test_cell_that_was_not_heard_of_lately_is_tried_but_counts_no_instances():
    directory = placement.CellDirectory()
    directory.record(placement.CellReport("b", 40, {"s": 0}, 0.0))
    assert directory.instances("b", 10000.0) == 0
    assert directory.choose("s", ["b"], 10000.0, random.Random(1)) == "b"
