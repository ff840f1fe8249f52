"""Tables, confidence intervals and plots of a grid."""

from collections.abc import Sequence
import pathlib
from typing import NamedTuple

import matplotlib
import msgspec
import numpy

matplotlib.use("Agg")
from matplotlib import figure

from hollycart_bench.experiment import _grid

_FIGURE_SIZE_IN = (9.0, 3.0)
_RESAMPLES = 2000
_RESAMPLING_SEED = 1


class Difference(NamedTuple):
    """Paired difference of two schemes in the share of prompts on time.

    Attributes:
        pool: Name of the user whose engines and prompts were simulated.
        load: Name of the load.
        kind: Kind of the prompts.
        way: Name of the placement scheme that is compared.
        against: Name of the scheme that it is compared with.
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
        way: Name of the placement scheme that is compared.
        against: Name of the scheme that it is compared with.
    """
    differences = []
    conditions = sorted({(c.pool, c.load) for c in cells})
    cell_by_key = {(c.way, c.pool, c.load, c.seed): c for c in cells}
    for pool, load in conditions:
        key = (way, pool, load)
        seeds = sorted(c.seed for c in cells if (c.way, c.pool, c.load) == key)
        for kind in _grid.KINDS:
            paired_differences = numpy.array(
                [
                    cell_by_key[way, pool, load, seed].on_time[kind]
                    - cell_by_key[against, pool, load, seed].on_time[kind]
                    for seed in seeds
                ]
            )
            low, high = _interval(paired_differences)
            mean = float(paired_differences.mean())
            differences.append(
                Difference(pool, load, kind, way, against, mean, low, high)
            )
    return differences


def write_report(cells: Sequence[_grid.Cell], folder: pathlib.Path) -> str:
    """Writes the cells as JSON and a plot; returns the tables.

    Args:
        cells: Cells of a grid.
        folder: Where the files go.
    """
    folder.mkdir(parents=True, exist_ok=True)
    rows = [cell._asdict() for cell in cells]
    (folder / "cells.json").write_bytes(msgspec.json.encode(rows))
    schemes = list(dict.fromkeys(c.way for c in cells))
    lines = [_format_header("share on time", schemes)]
    for pool, load, kind in _list_rows(cells):
        shares = [
            _mean_on_time(cells, way, pool, load, kind) for way in schemes
        ]
        text = "".join(f"{share:10.3f}" for share in shares)
        lines.append(f"{pool:>9} {load:>7} {kind:>7}{text}")
    for way in schemes[1:]:
        lines.append(f"{way} against {schemes[0]}, mean and 95% interval")
        lines += [
            f"{d.pool:>9} {d.load:>7} {d.kind:>7} {d.mean:+8.3f}"
            f" [{d.low:+.3f}, {d.high:+.3f}]"
            for d in compare(cells, way, schemes[0])
        ]
    _plot(cells, schemes).savefig(folder / "on_time.png", bbox_inches="tight")
    return "\n".join(lines)


def _interval(paired_differences: numpy.ndarray) -> tuple[float, float]:
    rng = numpy.random.default_rng(_RESAMPLING_SEED)
    resamples = rng.choice(
        paired_differences, (_RESAMPLES, len(paired_differences))
    )
    low, high = numpy.quantile(resamples.mean(axis=1), (0.025, 0.975))
    return float(low), float(high)


def _list_rows(cells: Sequence[_grid.Cell]) -> list[tuple[str, str, str]]:
    conditions = dict.fromkeys((c.pool, c.load) for c in cells)
    return [(p, load, kind) for p, load in conditions for kind in _grid.KINDS]


def _mean_on_time(
    cells: Sequence[_grid.Cell], way: str, pool: str, load: str, kind: str
) -> float:
    shares = [
        c.on_time[kind]
        for c in cells
        if (c.way, c.pool, c.load) == (way, pool, load)
    ]
    return sum(shares) / len(shares)


def _format_header(title: str, schemes: Sequence[str]) -> str:
    return f"{title:>25}" + "".join(f"{way:>10}" for way in schemes)


def _plot(cells: Sequence[_grid.Cell], schemes: Sequence[str]) -> figure.Figure:
    rows = _list_rows(cells)
    fig = figure.Figure(figsize=_FIGURE_SIZE_IN)
    axes = fig.subplots()
    width = 0.8 / len(schemes)
    for number, way in enumerate(schemes):
        axes.bar(
            [i + number * width for i in range(len(rows))],
            [_mean_on_time(cells, way, *row) for row in rows],
            width,
            label=way,
        )
    axes.set_xticks(range(len(rows)))
    axes.set_xticklabels([" ".join(row) for row in rows], rotation=90)
    axes.set_ylabel("share on time")
    axes.legend()
    return fig
