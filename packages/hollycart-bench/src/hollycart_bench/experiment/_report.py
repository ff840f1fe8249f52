"""Tables, intervals and plots of a grid."""

from collections.abc import Sequence
import pathlib
from typing import NamedTuple

import matplotlib
import msgspec
import numpy

matplotlib.use("Agg")
from matplotlib import figure

from hollycart_bench.experiment import _grid

_SIZE = (9.0, 3.0)  # inches
_RESAMPLES = 2000
_SEED = 1  # of the resampling


class Difference(NamedTuple):
    """Paired difference of two ways in the share of prompts on time.

    Attributes:
        pool: Whose engines.
        load: The load.
        kind: Kind of the prompts.
        way: The way that is compared.
        against: The way that it is compared with.
        mean: Mean of the differences over the seeds.
        low: Lower end of the 95% interval.
        high: Upper end of the 95% interval.
    """

    pool: str
    load: str
    kind: str
    way: str
    against: str
    mean: float
    low: float
    high: float


def compare(
    cells: Sequence[_grid.Cell], way: str, against: str
) -> list[Difference]:
    """Returns paired differences with bootstrap intervals over the seeds.

    Args:
        cells: Cells of a grid.
        way: The way that is compared.
        against: The way that it is compared with.
    """
    found = []
    places = sorted({(c.pool, c.load) for c in cells})
    by_place = {(c.way, c.pool, c.load, c.seed): c for c in cells}
    for pool, load in places:
        place = (way, pool, load)
        seeds = sorted(
            c.seed for c in cells if (c.way, c.pool, c.load) == place
        )
        for kind in _grid.KINDS:
            pairs = numpy.array(
                [
                    by_place[way, pool, load, seed].on_time[kind]
                    - by_place[against, pool, load, seed].on_time[kind]
                    for seed in seeds
                ]
            )
            low, high = _interval(pairs)
            mean = float(pairs.mean())
            found.append(
                Difference(pool, load, kind, way, against, mean, low, high)
            )
    return found


def write_report(cells: Sequence[_grid.Cell], folder: pathlib.Path) -> str:
    """Writes cells as JSON and a plot; returns the tables.

    Args:
        cells: Cells of a grid.
        folder: Where the files go.
    """
    folder.mkdir(parents=True, exist_ok=True)
    rows = [cell._asdict() for cell in cells]
    (folder / "cells.json").write_bytes(msgspec.json.encode(rows))
    ways = list(dict.fromkeys(c.way for c in cells))
    lines = [_head("share on time", ways)]
    for pool, load, kind in _rows(cells):
        shares = [_mean(cells, way, pool, load, kind) for way in ways]
        text = "".join(f"{share:10.3f}" for share in shares)
        lines.append(f"{pool:>9} {load:>7} {kind:>7}{text}")
    for way in ways[1:]:
        lines.append(f"{way} against {ways[0]}, mean and 95% interval")
        lines += [
            f"{d.pool:>9} {d.load:>7} {d.kind:>7} {d.mean:+8.3f}"
            f" [{d.low:+.3f}, {d.high:+.3f}]"
            for d in compare(cells, way, ways[0])
        ]
    _plot(cells, ways).savefig(folder / "on_time.png", bbox_inches="tight")
    return "\n".join(lines)


def _interval(pairs: numpy.ndarray) -> tuple[float, float]:
    rng = numpy.random.default_rng(_SEED)
    drawn = rng.choice(pairs, (_RESAMPLES, len(pairs)))
    low, high = numpy.quantile(drawn.mean(axis=1), (0.025, 0.975))
    return float(low), float(high)


def _rows(cells: Sequence[_grid.Cell]) -> list[tuple[str, str, str]]:
    places = dict.fromkeys((c.pool, c.load) for c in cells)
    return [(p, load, kind) for p, load in places for kind in _grid.KINDS]


def _mean(
    cells: Sequence[_grid.Cell], way: str, pool: str, load: str, kind: str
) -> float:
    shares = [
        c.on_time[kind]
        for c in cells
        if (c.way, c.pool, c.load) == (way, pool, load)
    ]
    return sum(shares) / len(shares)


def _head(title: str, ways: Sequence[str]) -> str:
    return f"{title:>25}" + "".join(f"{way:>10}" for way in ways)


def _plot(cells: Sequence[_grid.Cell], ways: Sequence[str]) -> figure.Figure:
    rows = _rows(cells)
    plot = figure.Figure(figsize=_SIZE)
    axes = plot.subplots()
    width = 0.8 / len(ways)
    for number, way in enumerate(ways):
        axes.bar(
            [i + number * width for i in range(len(rows))],
            [_mean(cells, way, *row) for row in rows],
            width,
            label=way,
        )
    axes.set_xticks(range(len(rows)))
    axes.set_xticklabels([" ".join(row) for row in rows], rotation=90)
    axes.set_ylabel("share on time")
    axes.legend()
    return plot
