"""Predicts the load of model engines and places prompts on them."""

from hollycart_core.placement._cell_directory import CellDirectory
from hollycart_core.placement._cell_directory import CellReport
from hollycart_core.placement._cells import Cell
from hollycart_core.placement._cells import cell_name
from hollycart_core.placement._cells import group_zones
from hollycart_core.placement._cold_endpoints import ColdEndpoints
from hollycart_core.placement._cold_rates import ColdRate
from hollycart_core.placement._cold_rates import LocalShares
from hollycart_core.placement._cold_rates import cold_rate
from hollycart_core.placement._conflicts import ANNOUNCEMENT_LAG_MS
from hollycart_core.placement._conflicts import attempts_at
from hollycart_core.placement._conflicts import find_conflicts
from hollycart_core.placement._conflicts import needs_confirmation
from hollycart_core.placement._engine_model import EngineModel
from hollycart_core.placement._evacuations import ZoneAccess
from hollycart_core.placement._evacuations import ZoneEvacuation
from hollycart_core.placement._evacuations import ZoneEvacuations
from hollycart_core.placement._health import EndpointHealth
from hollycart_core.placement._isolation import HEARD_MS
from hollycart_core.placement._isolation import MISSING_MS
from hollycart_core.placement._isolation import CellContact
from hollycart_core.placement._isolation import HeardInstance
from hollycart_core.placement._isolation import Isolation
from hollycart_core.placement._least_busy import least_busy
from hollycart_core.placement._load_queries import LoadQueries
from hollycart_core.placement._load_queries import assumed_load
from hollycart_core.placement._load_queries import needs_queries
from hollycart_core.placement._load_queries import unaccounted_load
from hollycart_core.placement._load_view import LoadView
from hollycart_core.placement._offers import max_remote_loss
from hollycart_core.placement._offers import min_offer_loss
from hollycart_core.placement._placer import Placer
from hollycart_core.placement._rate_limits import EndpointRateLimits
from hollycart_core.placement._rate_limits import RateStatement
from hollycart_core.placement._rate_permits import PermitDecision
from hollycart_core.placement._rate_permits import RatePermits
from hollycart_core.placement._response_sizes import ResponseSizes
from hollycart_core.placement._restrictions import EndpointRestrictions
from hollycart_core.placement._retry_budget import SharedRetryBudget
from hollycart_core.placement._team_shares import ReturnTimes
from hollycart_core.placement._team_shares import TeamUsage
from hollycart_core.placement._team_shares import measure_usage
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
    "MIN_RETRY_AFTER_MS",
    "MISSING_MS",
    "Assignment",
    "Cell",
    "CellContact",
    "CellDirectory",
    "CellReport",
    "ColdEndpoints",
    "ColdRate",
    "Endpoint",
    "EndpointHealth",
    "EndpointRateLimits",
    "EndpointRestrictions",
    "EngineModel",
    "HEARD_MS",
    "HeardInstance",
    "HomeState",
    "Isolation",
    "LoadQueries",
    "LoadView",
    "LocalShares",
    "PermitDecision",
    "Placement",
    "Placer",
    "Prompt",
    "RatePermits",
    "RateStatement",
    "RecentLosses",
    "Reservation",
    "ResponseSizes",
    "ReturnTimes",
    "ServiceRoom",
    "SharedRetryBudget",
    "SpillOffer",
    "TeamUsage",
    "UnaccountedLoad",
    "ZoneAccess",
    "ZoneEvacuation",
    "ZoneEvacuations",
    "ZoneRotation",
    "ZoneSpill",
    "assumed_load",
    "attempts_at",
    "cell_name",
    "cold_rate",
    "find_conflicts",
    "group_zones",
    "least_busy",
    "max_remote_loss",
    "min_offer_loss",
    "measure_usage",
    "needs_confirmation",
    "needs_queries",
    "unaccounted_load",
]
