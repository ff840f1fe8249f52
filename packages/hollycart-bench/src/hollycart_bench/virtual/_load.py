"""Draws Poisson arrivals of several kinds of prompts, in phases."""

import math
import random
from typing import NamedTuple

from hollycart_core import routing

# The parameters of the engines' step model, as both users publish them.
PUBLISHED_ENGINE = routing.EngineParameters(
    8, 450000, 46, 0.925, 0.00966, 0.00254, 256.0, 0.0917, 2048
)


class PromptKind(NamedTuple):
    """A kind of prompt.

    Attributes:
        name: Name of the kind.
        per_s: Base arrival rate, in prompts per second.
        mean_tokens: Mean length of the prompt, in tokens.
        spread: Standard deviation of the logarithm of the length.
        max_tokens: Maximum length of the prompt, in tokens.
        output_tokens: Mean length of the answer, in tokens.
        target_ms: Target for the time to the first event, in ms.
        max_gap_ms: Longest gap between two events with which an answer is on
            time, in ms.
        caller_timeout_ms: Time after which the caller ends the request, in ms.
        abandon_after_ms: Time without a first event after which the caller
            abandons the request, in ms.
    """

    name: str
    per_s: float
    mean_tokens: float
    spread: float
    max_tokens: int
    output_tokens: int
    target_ms: float
    max_gap_ms: float
    caller_timeout_ms: float
    abandon_after_ms: float = float("inf")


class Arrival(NamedTuple):
    """One prompt of a load.

    Attributes:
        at_ms: Time of arrival, in ms from the start of the load.
        kind: Kind of the prompt.
        tokens: Length of the prompt, in tokens.
        output_tokens: Length of the answer, in tokens.
    """

    at_ms: float
    kind: PromptKind
    tokens: int
    output_tokens: int


def seasonal_phases(
    kinds: tuple[PromptKind, ...], seconds: float = 10.0
) -> list[tuple[float, dict[str, float]]]:
    """Returns three phases: mostly long, mostly short, mostly long prompts.

    Args:
        kinds: The short, the middle and the long kind, in this order.
        seconds: Length of each phase, in seconds.

    Returns:
        Length in seconds and factors on the arrival rates by kind, for each
        phase.
    """
    short, middle, long = (k.name for k in kinds)
    long_phase = {short: 0.35, middle: 1.3, long: 2.8}
    short_phase = {short: 2.4, middle: 0.5, long: 0.05}
    return [
        (seconds, long_phase),
        (seconds, short_phase),
        (seconds, long_phase),
    ]


def draw_arrivals(
    kinds: tuple[PromptKind, ...],
    phases: list[tuple[float, dict[str, float]]],
    rng: random.Random,
) -> list[Arrival]:
    """Returns a Poisson load, sorted by time.

    Args:
        kinds: Kinds of prompts.
        phases: Length in seconds and factors on the arrival rates by kind, for
            each phase. A kind without a factor arrives at its base rate.
        rng: Random generator for the draws.
    """
    arrivals: list[Arrival] = []
    for kind in kinds:
        phase_start_ms = 0.0
        for seconds, factors in phases:
            phase_end_ms = phase_start_ms + seconds * 1000.0
            rate_per_ms = kind.per_s * factors.get(kind.name, 1.0) / 1000.0
            at_ms = phase_start_ms
            while rate_per_ms > 0:
                at_ms += rng.expovariate(rate_per_ms)
                if at_ms >= phase_end_ms:
                    break
                arrivals.append(
                    Arrival(
                        at_ms,
                        kind,
                        _draw_length(kind, rng),
                        max(46, int(rng.gauss(1.0, 0.4) * kind.output_tokens)),
                    )
                )
            phase_start_ms = phase_end_ms
    return sorted(arrivals, key=lambda a: a.at_ms)


def _draw_length(kind: PromptKind, rng: random.Random) -> int:
    location = math.log(kind.mean_tokens) - kind.spread**2 / 2
    tokens = rng.lognormvariate(location, kind.spread)
    return int(min(kind.max_tokens, max(200.0, tokens)))
