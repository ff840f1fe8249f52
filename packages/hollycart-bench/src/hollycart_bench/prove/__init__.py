"""Randomised runs under failure with verdicts from outside."""

from hollycart_bench.prove._record import RunRecord
from hollycart_bench.prove._runner import ProofRun
from hollycart_bench.prove._runner import run_seeds

__all__ = ["ProofRun", "RunRecord", "run_seeds"]
