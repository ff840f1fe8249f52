"""Arrivals of prompts of several kinds, in phases."""

import math
import random
from typing import NamedTuple

from hollycart_core import routing

# The step model that both users publish.
PUBLISHED_ENGINE = routing.EngineParameters(
    8, 450000, 46, 0.925, 0.00966, 0.00254, 256.0, 0.0917, 2048
)


class PromptKind(NamedTuple):
    """A kind of prompt.

    Attributes:
        name: Name of the kind.
        per_s: Prompts a second in a calm time.
        mean_tokens: Mean length of the prompt.
        spread: Standard deviation of the logarithm of the length.
        max_tokens: Longest prompt.
        output_tokens: Mean length of the answer.
        target_ms: Time to the first event, in ms.
        pause_ms: Longest pause between events, in ms.
        wait_ms: Time after which the caller gives up, in ms.
        abandon_after_ms: Time without a first event after which it leaves, in
            ms.
    """

    name: str
    per_s: float
    mean_tokens: float
    spread: float
    max_tokens: int
    output_tokens: int
    target_ms: float
    pause_ms: float
    wait_ms: float
    abandon_after_ms: float = float("inf")


class Arrival(NamedTuple):
    """One prompt of a load."""

    at_ms: float
    kind: PromptKind
    tokens: int
    output_tokens: int


def seasonal_phases(
    kinds: tuple[PromptKind, ...], seconds: float = 10.0
) -> list[tuple[float, dict[str, float]]]:
    """Returns phases of long, short and long prompts with their factors."""
    short, middle, long = (k.name for k in kinds)
    much = {short: 0.35, middle: 1.3, long: 2.8}
    quick = {short: 2.4, middle: 0.5, long: 0.05}
    return [(seconds, much), (seconds, quick), (seconds, much)]


def draw_arrivals(
    kinds: tuple[PromptKind, ...],
    phases: list[tuple[float, dict[str, float]]],
    rng: random.Random,
) -> list[Arrival]:
    """Returns a Poisson load, sorted by time.

    Args:
        kinds: Kinds of prompts.
        phases: Length in seconds and factor on the rate by kind.
        rng: Source of randomness.
    """
    found: list[Arrival] = []
    for kind in kinds:
        begin_ms = 0.0
        for seconds, factors in phases:
            end_ms = begin_ms + seconds * 1000.0
            rate = kind.per_s * factors.get(kind.name, 1.0) / 1000.0
            at_ms = begin_ms
            while rate > 0:
                at_ms += rng.expovariate(rate)
                if at_ms >= end_ms:
                    break
                found.append(
                    Arrival(
                        at_ms,
                        kind,
                        _length(kind, rng),
                        max(46, int(rng.gauss(1.0, 0.4) * kind.output_tokens)),
                    )
                )
            begin_ms = end_ms
    return sorted(found, key=lambda a: a.at_ms)


def _length(kind: PromptKind, rng: random.Random) -> int:
    location = math.log(kind.mean_tokens) - kind.spread**2 / 2
    tokens = rng.lognormvariate(location, kind.spread)
    return int(min(kind.max_tokens, max(200.0, tokens)))
