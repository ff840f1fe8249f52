import pytest

from hollycart_bench.prove import _outages


@pytest.fixture
def outages():
    tracker = _outages.Outages()
    tracker.begin(1000.0)
    tracker.end(6000.0)
    return tracker


@pytest.mark.parametrize(
    ("shown_ms", "readable_ms"),
    [
        (500.0, 6000.0),  # not yet read by all instances when the outage begins
        (3000.0, 6000.0),
        (6000.0, 6000.0),
        (9000.0, 9000.0),
        (-1000.0, -1000.0),  # read by all instances before the outage
    ],
)
def test_change_during_outage_is_readable_from_its_end(
    outages, shown_ms, readable_ms
):
    assert outages.readable_from(shown_ms) == readable_ms


def test_change_during_unended_outage_is_never_readable(outages):
    outages.begin(8000.0)
    assert outages.readable_from(8500.0) == float("inf")
    assert outages.readable_from(6500.0) == 6500.0


def test_consecutive_outages_delay_until_last_end(outages):
    outages.begin(6500.0)
    outages.end(8000.0)
    assert outages.readable_from(3000.0) == 8000.0
