"""Measures the time to recover from large failures under load."""

from hollycart_bench.recover._cases import CASES
from hollycart_bench.recover._runner import CaseResult
from hollycart_bench.recover._runner import run_cases

__all__ = ["CASES", "CaseResult", "run_cases"]
