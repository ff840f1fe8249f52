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
from hollycart_core.placement._restrictions import EndpointRestrictions
from hollycart_core.placement._retry_budget import SharedRetryBudget
from hollycart_core.placement._team_shares import ReturnTimes
from hollycart_core.placement._team_shares import TeamUsage
from hollycart_core.placement._team_shares import measure_usage
from hollycart_core.placement._types import MIN_RETRY_AFTER_MS
from hollycart_core.placement._types import Assignment
from hollycart_core.placement._types import Endpoint
from hollycart_core.placement._types import Placement
from hollycart_core.placement._types import Prompt
from hollycart_core.placement._types import Reservation
from hollycart_core.placement._unaccounted import UnaccountedLoad

__all__ = [
    "ANNOUNCEMENT_LAG_MS",
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
    "HeardInstance",
    "Isolation",
    "LoadQueries",
    "LoadView",
    "LocalShares",
    "MISSING_MS",
    "MIN_RETRY_AFTER_MS",
    "PermitDecision",
    "Placement",
    "Placer",
    "Prompt",
    "RatePermits",
    "RateStatement",
    "Reservation",
    "ReturnTimes",
    "SharedRetryBudget",
    "TeamUsage",
    "UnaccountedLoad",
    "ZoneAccess",
    "ZoneEvacuation",
    "ZoneEvacuations",
    "Assignment",
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
