"""Simulated grids of placement schemes, loads and seeds."""

from hollycart_bench.experiment._grid import Cell
from hollycart_bench.experiment._grid import Grid
from hollycart_bench.experiment._grid import run_grid
from hollycart_bench.experiment._report import Difference
from hollycart_bench.experiment._report import compare
from hollycart_bench.experiment._report import write_report

__all__ = [
    "Cell",
    "Difference",
    "Grid",
    "compare",
    "run_grid",
    "write_report",
]
