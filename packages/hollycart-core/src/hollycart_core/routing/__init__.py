"""Routing configuration: routes, services, teams and limits."""

from hollycart_core.routing._config import RoutingConfig
from hollycart_core.routing._freshness import Freshness
from hollycart_core.routing._types import DEFAULT_USUAL_ANSWER_TOKENS
from hollycart_core.routing._types import DEFAULT_USUAL_PROMPT_TOKENS
from hollycart_core.routing._types import EngineParameters
from hollycart_core.routing._types import Limits
from hollycart_core.routing._types import Route
from hollycart_core.routing._types import RouteKind
from hollycart_core.routing._types import RouteTarget
from hollycart_core.routing._types import Service
from hollycart_core.routing._types import Team

__all__ = [
    "DEFAULT_USUAL_ANSWER_TOKENS",
    "DEFAULT_USUAL_PROMPT_TOKENS",
    "EngineParameters",
    "Freshness",
    "Limits",
    "Route",
    "RouteKind",
    "RouteTarget",
    "RoutingConfig",
    "Service",
    "Team",
]
