"""Engines and loads of both users, as they publish them."""

from typing import NamedTuple

from hollycart_bench import virtual
from hollycart_core import routing


class EnginePool(NamedTuple):
    """Engines of a user and the kinds of prompts that they get.

    Attributes:
        engines: Number of engines.
        parameters: Step model of all engines.
        kinds: Kinds of prompts with their base arrival rates.
    """

    engines: int
    parameters: routing.EngineParameters
    kinds: tuple[virtual.PromptKind, ...]


def _kinds(
    short: float, middle: float, long: float
) -> tuple[virtual.PromptKind, ...]:
    kind = virtual.PromptKind
    return (
        kind("short", short, 4960, 0.9, 23800, 1600, 300, 200, 10000, 2000),
        kind("middle", middle, 45000, 0.5, 110000, 960, 1500, 500, 10000, 6000),
        kind("long", long, 210000, 0.55, 1000000, 780, 3000, 800, 15000, 12000),
    )


ENGINE_POOLS = {
    "hinokuni": EnginePool(
        14, virtual.PUBLISHED_ENGINE, _kinds(15.4, 1.12, 0.462)
    ),
    "guild": EnginePool(
        21, virtual.PUBLISHED_ENGINE, _kinds(23.0, 1.67, 0.689)
    ),
}
# Length in seconds and factors on the arrival rates by kind, for each phase.
PHASES: dict[str, list[tuple[float, dict[str, float]]]] = {
    "calm": [(20.0, {})],
    "season": [
        (8.0, {"short": 0.35, "middle": 1.3, "long": 2.8}),
        (8.0, {"short": 2.4, "middle": 0.5, "long": 0.05}),
        (8.0, {"short": 0.35, "middle": 1.3, "long": 2.8}),
    ],
    "crowd": [(4.0, {}), (8.0, {"short": 3.2, "long": 0.5}), (4.0, {})],
}
