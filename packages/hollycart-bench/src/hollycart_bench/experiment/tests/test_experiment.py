import pytest

from hollycart_bench import experiment


def cell(way, seed, short):
    on_time = {"short": short, "middle": 1.0, "long": 1.0}
    return experiment.Cell(way, "p", "calm", seed, on_time, 1.0)


@pytest.fixture
def cells():
    """Scheme "b" is better than scheme "a" by 0.1 with each seed."""
    shares = ((1, 0.5), (2, 0.7), (3, 0.8))
    first = [cell("a", seed, share) for seed, share in shares]
    return first + [cell("b", seed, share + 0.1) for seed, share in shares]


def test_pairs_are_compared_seed_by_seed(cells):
    found = {d.kind: d for d in experiment.compare(cells, "b", "a")}
    assert found["short"].mean == pytest.approx(0.1)
    assert found["short"].low == pytest.approx(0.1)
    assert found["short"].high == pytest.approx(0.1)
    assert found["long"].mean == 0.0


def test_report_is_written(cells, tmp_path):
    text = experiment.write_report(cells, tmp_path)
    assert "b against a" in text
    assert (tmp_path / "on_time.png").stat().st_size > 1000
    assert b'"seed":3' in (tmp_path / "cells.json").read_bytes()


def test_same_seed_gives_the_same_cells():
    grid = experiment.Grid(("alone",), ("guild",), ("crowd",), (1,))
    assert experiment.run_grid(grid) == experiment.run_grid(grid)


def test_placement_beats_fewest_requests_on_long_prompts():
    grid = experiment.Grid(
        ("alone", "fewest"), ("hinokuni",), ("season",), (1, 2)
    )
    found = experiment.compare(experiment.run_grid(grid), "fewest", "alone")
    long = [d for d in found if d.kind == "long"]
    assert long[0].high < 0.0
