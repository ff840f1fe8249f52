"""Discrete-event simulation of placement policies and model engines."""

from hollycart_bench.virtual._engine import VirtualEngine
from hollycart_bench.virtual._isolated import Cut
from hollycart_bench.virtual._isolated import Strategy
from hollycart_bench.virtual._isolated import simulate_cut
from hollycart_bench.virtual._load import PUBLISHED_ENGINE
from hollycart_bench.virtual._load import Arrival
from hollycart_bench.virtual._load import PromptKind
from hollycart_bench.virtual._load import draw_arrivals
from hollycart_bench.virtual._load import seasonal_phases
from hollycart_bench.virtual._play import Policy
from hollycart_bench.virtual._play import PolicyFactory
from hollycart_bench.virtual._play import PromptOutcome
from hollycart_bench.virtual._play import share_on_time
from hollycart_bench.virtual._play import simulate

__all__ = [
    "PUBLISHED_ENGINE",
    "Arrival",
    "Cut",
    "Policy",
    "PolicyFactory",
    "PromptKind",
    "PromptOutcome",
    "Strategy",
    "VirtualEngine",
    "draw_arrivals",
    "seasonal_phases",
    "share_on_time",
    "simulate",
    "simulate_cut",
]
