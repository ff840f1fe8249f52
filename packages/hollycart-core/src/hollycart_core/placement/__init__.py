"""Predicts the load of model engines and places prompts on them."""

from hollycart_core.placement._cell_directory import CellDirectory
from hollycart_core.placement._cell_directory import CellReport
from hollycart_core.placement._cells import Cell
from hollycart_core.placement._cells import cell_name
from hollycart_core.placement._cells import group_zones
from hollycart_core.placement._conflicts import ANNOUNCEMENT_LAG_MS
from hollycart_core.placement._conflicts import attempts_at
from hollycart_core.placement._conflicts import find_conflicts
from hollycart_core.placement._conflicts import needs_confirmation
from hollycart_core.placement._engine_model import EngineModel
from hollycart_core.placement._health import EndpointHealth
from hollycart_core.placement._least_busy import least_busy
from hollycart_core.placement._load_view import LoadView
from hollycart_core.placement._offers import max_remote_loss
from hollycart_core.placement._placer import Placer
from hollycart_core.placement._rate_limits import EndpointRateLimits
from hollycart_core.placement._rate_limits import RateStatement
from hollycart_core.placement._rate_permits import PermitDecision
from hollycart_core.placement._rate_permits import RatePermits
from hollycart_core.placement._response_sizes import ResponseSizes
from hollycart_core.placement._restrictions import EndpointRestrictions
from hollycart_core.placement._retry_budget import SharedRetryBudget
from hollycart_core.placement._types import CROSSING_LOSS
from hollycart_core.placement._types import MIN_RETRY_AFTER_MS
from hollycart_core.placement._types import Assignment
from hollycart_core.placement._types import Endpoint
from hollycart_core.placement._types import Placement
from hollycart_core.placement._types import Prompt
from hollycart_core.placement._types import Reservation
from hollycart_core.placement._unaccounted import UnaccountedLoad
from hollycart_core.placement._zone_room import RecentLosses
from hollycart_core.placement._zone_room import ServiceRoom
from hollycart_core.placement._zone_rotation import ZoneRotation
from hollycart_core.placement._zone_spill import HomeState
from hollycart_core.placement._zone_spill import SpillOffer
from hollycart_core.placement._zone_spill import ZoneSpill

__all__ = [
    "ANNOUNCEMENT_LAG_MS",
    "CROSSING_LOSS",
    "Cell",
    "CellDirectory",
    "CellReport",
    "Endpoint",
    "EndpointHealth",
    "EndpointRateLimits",
    "EndpointRestrictions",
    "EngineModel",
    "HomeState",
    "LoadView",
    "MIN_RETRY_AFTER_MS",
    "PermitDecision",
    "Placement",
    "Placer",
    "Prompt",
    "RatePermits",
    "RateStatement",
    "RecentLosses",
    "Reservation",
    "ResponseSizes",
    "ServiceRoom",
    "SharedRetryBudget",
    "SpillOffer",
    "UnaccountedLoad",
    "ZoneRotation",
    "ZoneSpill",
    "Assignment",
    "attempts_at",
    "cell_name",
    "find_conflicts",
    "group_zones",
    "least_busy",
    "max_remote_loss",
    "needs_confirmation",
]
