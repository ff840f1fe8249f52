"""Randomised fault injection runs, checked from outside the system."""

from hollycart_bench.prove._record import RunRecord
from hollycart_bench.prove._runner import FaultRun
from hollycart_bench.prove._runner import run_seeds

__all__ = ["FaultRun", "RunRecord", "run_seeds"]
