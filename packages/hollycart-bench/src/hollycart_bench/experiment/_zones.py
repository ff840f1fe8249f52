"""Paired experiment on the ways to decide what leaves a zone."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

import numpy

from hollycart_bench import virtual
from hollycart_bench.experiment import _zone_schemes

_ENGINES = 24
_INSTANCES = 24
_SECONDS = 22.0
_WAVE_MS = 11000.0
# Loss of an answer that is late, relative to its weight.
_LATE_LOSS = 0.75
_RESAMPLES = 2000
_BYTES_PER_GB = 1e9


def _spread(counts: Sequence[int]) -> list[str]:
    """Returns zones of the instances, in an order that mixes them."""
    homes = [
        zone
        for zone, count in zip(_zone_schemes.ZONES, counts, strict=True)
        for _ in range(count)
    ]
    random.Random(1).shuffle(homes)
    return homes


_EVEN, _SKEWED = _spread((8, 8, 8)), _spread((13, 7, 4))
_MOVED = _spread((4, 7, 13))


class ZoneLoad(NamedTuple):
    """A load on three zones with equal engines.

    Attributes:
        factor: Factor on the rates of all kinds of prompts.
        homes: Returns the zones of all instances at an instant.
    """

    factor: float
    homes: Callable[[float], Sequence[str]]


LOADS = {
    "even": ZoneLoad(0.6, lambda now_ms: _EVEN),
    "uneven": ZoneLoad(1.4, lambda now_ms: _SKEWED),
    "step": ZoneLoad(
        1.4, lambda now_ms: _SKEWED if 6000 <= now_ms < 14000 else _EVEN
    ),
    "wave": ZoneLoad(
        1.4,
        lambda now_ms: _SKEWED if now_ms % _WAVE_MS < _WAVE_MS / 2 else _MOVED,
    ),
    "full": ZoneLoad(1.8, lambda now_ms: _SKEWED),
}


class ZoneRun(NamedTuple):
    """Outcome of one simulated run.

    Attributes:
        scheme: Name of the scheme.
        load: Name of the load.
        price: Loss that a GB between zones is worth.
        seed: Seed of the arrivals.
        loss: Loss of an arrival on average, in lost requests of weight 1,
            with the price of what crossed.
        on_time: Share of the prompts on time.
        asked: Placements sought in other zones for each prompt.
        crossed: Share of the prompts that crossed.
        megabytes: What crossed, in MB.
    """

    scheme: str
    load: str
    price: float
    seed: int
    loss: float
    on_time: float
    asked: float
    crossed: float
    megabytes: float


def run_zones(
    schemes: Sequence[str],
    loads: Sequence[str],
    prices: Sequence[float],
    seeds: Sequence[int],
) -> list[ZoneRun]:
    """Returns the runs of all schemes; a seed gives them the same arrivals.

    Example:
        >>> runs = run_zones(("model",), ("even",), (100.0,), (1,))
        >>> runs[0].crossed < 0.05
        True
    """
    return [
        _run(scheme, load, price, seed)
        for load in loads
        for price in prices
        for seed in seeds
        for scheme in schemes
    ]


def _kinds(factor: float) -> tuple[virtual.PromptKind, ...]:
    kind = virtual.PromptKind
    rate = factor * _ENGINES
    return (
        kind("short", 1.1 * rate, 4960, 0.9, 23800, 1600, 300, 200, 1e4, 2e3),
        kind("middle", 0.08 * rate, 45e3, 0.5, 110000, 960, 1500, 500, 1e4),
        kind("long", 0.033 * rate, 21e4, 0.55, 1000000, 780, 3e3, 800, 15e3),
    )


def _run(scheme: str, load: str, price: float, seed: int) -> ZoneRun:
    zone_load = LOADS[load]
    arrivals = virtual.draw_arrivals(
        _kinds(zone_load.factor), [(_SECONDS, {})], random.Random(seed)
    )
    fleet = _zone_schemes.ZoneFleet(scheme, price, zone_load.homes, seed)
    outcomes = virtual.simulate(
        arrivals,
        virtual.PUBLISHED_ENGINE,
        _ENGINES,
        instances=_INSTANCES,
        propagation_delay_ms=10.0,
        make_policy=fleet.make_policy,
    )
    usual_tokens = sum(a.tokens for a in arrivals) / len(arrivals)
    loss = fleet.crossed_bytes / _BYTES_PER_GB * price
    for outcome in outcomes:
        weight = 1.0 + outcome.arrival.tokens / usual_tokens
        if not outcome.complete:
            loss += weight
        elif not outcome.on_time:
            loss += _LATE_LOSS * weight
    count = len(outcomes)
    return ZoneRun(
        scheme,
        load,
        price,
        seed,
        loss / count,
        sum(o.on_time for o in outcomes) / count,
        fleet.asked / count,
        fleet.crossed / count,
        fleet.crossed_bytes / 1e6,
    )


def format_zones(runs: Sequence[ZoneRun], against: str) -> str:
    """Returns a table of means and of paired differences in the loss.

    Args:
        runs: The runs.
        against: Name of the scheme that the others are compared with.
    """
    lines = [
        "| load | price | scheme | loss | on time | asked | crossed | MB | "
        f"loss less that of {against}, 95% interval |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    conditions = dict.fromkeys((r.load, r.price) for r in runs)
    for load, price in conditions:
        here = [r for r in runs if (r.load, r.price) == (load, price)]
        base = {r.seed: r.loss for r in here if r.scheme == against}
        for scheme in dict.fromkeys(r.scheme for r in here):
            own = [r for r in here if r.scheme == scheme]
            differences = [r.loss - base[r.seed] for r in own]
            values = numpy.array([r[4:] for r in own]).mean(axis=0)
            lines.append(
                f"| {load} | {price:g} | {scheme} | {values[0]:.3f} | "
                f"{values[1]:.3f} | {values[2]:.3f} | {values[3]:.3f} | "
                f"{values[4]:.1f} | "
                f"{_format_interval(differences)} |"
            )
    return "\n".join(lines)


def _format_interval(differences: Sequence[float]) -> str:
    values = numpy.array(differences)
    rng = numpy.random.default_rng(1)
    resamples = rng.choice(values, (_RESAMPLES, len(values)))
    low, high = numpy.quantile(resamples.mean(axis=1), (0.025, 0.975))
    return f"{values.mean():+.3f} [{low:+.3f}, {high:+.3f}]"
