"""Clients that do not behave, and what a process holds for them."""

from hollycart_bench.unruly._crowd import Crowd
from hollycart_bench.unruly._process_watch import ProcessWatch
from hollycart_bench.unruly._requests import KINDS
from hollycart_bench.unruly._requests import RequestKind

__all__ = ["KINDS", "Crowd", "ProcessWatch", "RequestKind"]
