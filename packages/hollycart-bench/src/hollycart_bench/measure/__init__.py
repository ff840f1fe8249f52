"""Experiments that compare placement policies under the same load."""

from hollycart_bench.measure._cell import ALONE
from hollycart_bench.measure._cell import BASELINES
from hollycart_bench.measure._cell import OURS
from hollycart_bench.measure._cell import CellResult
from hollycart_bench.measure._cell import CellSpec
from hollycart_bench.measure._cell import run_cell
from hollycart_bench.measure._runner import Experiment
from hollycart_bench.measure._runner import run_experiment
from hollycart_bench.measure._runner import run_one

__all__ = [
    "ALONE",
    "BASELINES",
    "OURS",
    "CellResult",
    "CellSpec",
    "Experiment",
    "run_cell",
    "run_experiment",
    "run_one",
]
