"""Systematic exploration of the schedules of small concurrent protocols."""

from hollycart_bench.explore._claims import ClaimScenario
from hollycart_bench.explore._explorer import Budget
from hollycart_bench.explore._explorer import Exploration
from hollycart_bench.explore._explorer import explore
from hollycart_bench.explore._orders import OrderScenario
from hollycart_bench.explore._table import TableScenario

__all__ = [
    "Budget",
    "ClaimScenario",
    "Exploration",
    "OrderScenario",
    "TableScenario",
    "explore",
]
