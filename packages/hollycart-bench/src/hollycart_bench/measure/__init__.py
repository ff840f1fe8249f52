"""Comparison of placement policies under the same load."""

from hollycart_bench.measure._cell import BASELINES
from hollycart_bench.measure._cell import SHORT_ONLY_POLICY
from hollycart_bench.measure._cell import SPLIT_POLICY
from hollycart_bench.measure._cell import CellResult
from hollycart_bench.measure._cell import CellSpec
from hollycart_bench.measure._cell import run_cell
from hollycart_bench.measure._runner import ExperimentSpec
from hollycart_bench.measure._runner import run_cell_file
from hollycart_bench.measure._runner import run_experiment

__all__ = [
    "BASELINES",
    "SHORT_ONLY_POLICY",
    "SPLIT_POLICY",
    "CellResult",
    "CellSpec",
    "ExperimentSpec",
    "run_cell",
    "run_cell_file",
    "run_experiment",
]
