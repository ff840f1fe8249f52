"""Measurement of several sizes on one machine, extrapolated to the target."""

from hollycart_bench.scale._fit import Line
from hollycart_bench.scale._fit import fit_line
from hollycart_bench.scale._runner import Extrapolation
from hollycart_bench.scale._runner import ScaleRun
from hollycart_bench.scale._runner import Sizes
from hollycart_bench.scale._runner import extrapolate

__all__ = [
    "Extrapolation",
    "Line",
    "ScaleRun",
    "Sizes",
    "extrapolate",
    "fit_line",
]
