"""Predicts the load of model engines and places prompts on them."""

from hollycart_core.placement._engine_model import EngineModel
from hollycart_core.placement._health import EndpointHealth
from hollycart_core.placement._least_busy import least_busy
from hollycart_core.placement._load_view import LoadView
from hollycart_core.placement._placer import Placer
from hollycart_core.placement._retry_budget import SharedRetryBudget
from hollycart_core.placement._types import Assignment
from hollycart_core.placement._types import Endpoint
from hollycart_core.placement._types import Placement
from hollycart_core.placement._types import Prompt
from hollycart_core.placement._types import Reservation

__all__ = [
    "Endpoint",
    "EndpointHealth",
    "EngineModel",
    "LoadView",
    "Placement",
    "Placer",
    "Prompt",
    "Reservation",
    "SharedRetryBudget",
    "Assignment",
    "least_busy",
]
