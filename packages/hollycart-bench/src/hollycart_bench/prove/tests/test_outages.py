import pytest

from hollycart_bench.prove import _outages


@pytest.fixture
def outages():
    made = _outages.Outages()
    made.begin(1000.0)
    made.end(6000.0)
    return made


@pytest.mark.parametrize(
    ("shown_ms", "known_ms"),
    [
        (500.0, 6000.0),  # shown too shortly before the outage to be read
        (3000.0, 6000.0),
        (6000.0, 6000.0),
        (9000.0, 9000.0),
        (-1000.0, -1000.0),  # read before the outage
    ],
)
def test_what_an_outage_hides_counts_from_its_end(outages, shown_ms, known_ms):
    assert outages.readable_from(shown_ms) == known_ms


def test_outage_without_end_hides_for_good(outages):
    outages.begin(8000.0)
    assert outages.readable_from(8500.0) == float("inf")
    assert outages.readable_from(6500.0) == 6500.0


def test_outages_in_a_row(outages):
    outages.begin(6500.0)
    outages.end(8000.0)
    assert outages.readable_from(3000.0) == 8000.0
