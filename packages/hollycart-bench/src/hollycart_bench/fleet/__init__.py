"""Starts a complete system as separate processes on one machine."""

from hollycart_bench.fleet._fleet import OPERATOR_KEY
from hollycart_bench.fleet._fleet import Fleet
from hollycart_bench.fleet._process import BenchProcess
from hollycart_bench.fleet._process import python_module
from hollycart_bench.fleet._process import read_memory_bytes
from hollycart_bench.fleet._spec import FleetSpec

__all__ = [
    "OPERATOR_KEY",
    "BenchProcess",
    "Fleet",
    "FleetSpec",
    "python_module",
    "read_memory_bytes",
]
