"""Simulated grids of placement schemes, loads and seeds."""

from hollycart_bench.experiment._cut import CutResult
from hollycart_bench.experiment._cut import compare_cuts
from hollycart_bench.experiment._cut import format_cuts
from hollycart_bench.experiment._grid import Cell
from hollycart_bench.experiment._grid import Grid
from hollycart_bench.experiment._grid import run_grid
from hollycart_bench.experiment._report import Difference
from hollycart_bench.experiment._report import compare
from hollycart_bench.experiment._report import write_report
from hollycart_bench.experiment._zones import ZoneRun
from hollycart_bench.experiment._zones import format_zones
from hollycart_bench.experiment._zones import run_zones

__all__ = [
    "Cell",
    "CutResult",
    "Difference",
    "Grid",
    "ZoneRun",
    "compare",
    "format_zones",
    "compare_cuts",
    "format_cuts",
    "run_grid",
    "run_zones",
    "write_report",
]
