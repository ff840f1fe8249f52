"""Compares what instances do while they are cut off from each other."""

from collections.abc import Sequence
import random
import statistics
from typing import NamedTuple

from hollycart_bench import virtual
from hollycart_core import placement
from hollycart_core import routing

_PARAMETERS = routing.EngineParameters(
    6, 450000, 46, 0.925, 0.00966, 0.00254, 110.0, 0.0917, 2048
)
# Prompts a second, of short and of long prompts, by load.
_LOADS = {"usual": (14.0, 0.8), "long": (8.0, 1.6)}
# A third of 30 instances in three cells with 60 engines: none, 4 and 11 of the
# 30 are cut off.
_INSTANCES = 10
_ENGINES = 20
_CUT_INSTANCES = (0, 1, 4)
_CUT_START_MS = 4000.0
_CUT_END_MS = 16000.0
_DURATION_S = 19.0

_QUERYING = virtual.Strategy(before_long=True, survey_ms=1000.0)
STRATEGIES = {
    "none": virtual.Strategy(),
    "before long": virtual.Strategy(before_long=True),
    "before long, survey": _QUERYING,
    "the same, 30% unanswered": _QUERYING._replace(unanswered=0.3),
    "every 400 ms": virtual.Strategy(period_ms=400.0),
    "every 1000 ms, survey": virtual.Strategy(
        period_ms=1000.0, survey_ms=1000.0
    ),
    "both, survey": _QUERYING._replace(period_ms=1000.0),
    "own endpoints": virtual.Strategy(own_endpoints=8),
    "own, avoided by others": virtual.Strategy(
        own_endpoints=8, avoided_endpoints=2
    ),
    "before long, survey, own": _QUERYING._replace(own_endpoints=8),
    "the same, avoided": _QUERYING._replace(
        own_endpoints=8, avoided_endpoints=2
    ),
}


class CutResult(NamedTuple):
    """Means over the seeds, of prompts that arrive during the cut.

    Attributes:
        load: Name of the load.
        cut: Number of instances that are cut off.
        strategy: Name of the strategy.
        short: Share of the short prompts on time, gaps included.
        long: Share of the long prompts on time, gaps included.
        first_event: Share of the long prompts whose first event is on time.
        latest_ms: Latest first event of a long prompt, in ms.
        queries: Number of queries.
    """

    load: str
    cut: int
    strategy: str
    short: float
    long: float
    first_event: float
    latest_ms: float
    queries: float


def compare_cuts(
    seeds: Sequence[int], strategies: Sequence[str] = tuple(STRATEGIES)
) -> list[CutResult]:
    """Returns a result for each load, number of instances and strategy.

    Args:
        seeds: Seeds of the loads, the same for all strategies.
        strategies: Names of the strategies.
    """
    return [
        _play(load, cut, strategy, seeds)
        for load in _LOADS
        for cut in _CUT_INSTANCES
        for strategy in strategies
    ]


def _play(
    load: str, cut: int, strategy: str, seeds: Sequence[int]
) -> CutResult:
    short_per_s, long_per_s = _LOADS[load]
    short = virtual.PromptKind(
        "short", short_per_s, 4960, 0.9, 23800, 1600, 300, 250, 10000
    )
    long = virtual.PromptKind(
        "long", long_per_s, 190000, 0.05, 250000, 780, 3000, 800, 15000
    )
    rows = []
    for seed in seeds:
        outcomes, queries = virtual.simulate_cut(
            virtual.draw_arrivals(
                (short, long), [(_DURATION_S, {})], random.Random(seed)
            ),
            _PARAMETERS,
            _ENGINES,
            _INSTANCES,
            virtual.Cut(frozenset(range(cut)), _CUT_START_MS, _CUT_END_MS),
            STRATEGIES[strategy],
        )
        during = [
            o
            for o in outcomes
            if _CUT_START_MS + placement.HEARD_MS
            <= o.arrival.at_ms
            < _CUT_END_MS
        ]
        first_ms = [
            o.time_to_first_event_ms
            for o in during
            if o.arrival.kind.name == "long"
        ]
        rows.append(
            (
                virtual.share_on_time(during, "short"),
                virtual.share_on_time(during, "long"),
                sum(ms <= long.target_ms for ms in first_ms)
                / max(1, len(first_ms)),
                max(first_ms, default=0.0),
                float(queries),
            )
        )
    means = [statistics.mean(values) for values in zip(*rows, strict=True)]
    return CutResult(load, cut, strategy, *means)


def format_cuts(results: Sequence[CutResult]) -> str:
    """Returns the results as a table."""
    lines = [
        f"{'load':6}{'cut':>4}  {'strategy':26}{'short':>7}{'long':>7}"
        f"{'first':>7}{'latest':>8}{'queries':>9}"
    ]
    lines += [
        f"{r.load:6}{r.cut:4}  {r.strategy:26}{r.short:7.3f}{r.long:7.3f}"
        f"{r.first_event:7.3f}{r.latest_ms:8.0f}{r.queries:9.0f}"
        for r in results
    ]
    return "\n".join(lines)
