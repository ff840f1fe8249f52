"""Clients that send requests to endpoints."""

from hollycart.endpoints._engine_client import EngineClient
from hollycart.endpoints._engine_client import EngineStream
from hollycart.endpoints._sse import EngineFrame
from hollycart.endpoints._sse import parse_events

__all__ = ["EngineClient", "EngineFrame", "EngineStream", "parse_events"]
