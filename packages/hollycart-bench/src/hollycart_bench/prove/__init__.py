"""Randomised runs under failure with verdicts from outside."""

from hollycart_bench.prove._record import RunRecord
from hollycart_bench.prove._record import Verdict
from hollycart_bench.prove._runner import ProofRun
from hollycart_bench.prove._runner import run_seeds

__all__ = ["ProofRun", "RunRecord", "Verdict", "run_seeds"]
