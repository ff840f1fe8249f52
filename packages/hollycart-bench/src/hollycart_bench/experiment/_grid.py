"""Plays a grid and returns what callers got in each cell."""

import random
from typing import NamedTuple

from hollycart_bench import virtual
from hollycart_bench.experiment import _loads
from hollycart_bench.experiment import _policies

KINDS = ("short", "middle", "long")


class Grid(NamedTuple):
    """What is played.

    Attributes:
        ways: Names of the ways to decide.
        pools: Names of the users.
        loads: Names of the loads.
        seeds: Seeds; each gives every way the same arrivals.
    """

    ways: tuple[str, ...] = tuple(_policies.WAYS)
    pools: tuple[str, ...] = tuple(_loads.POOLS)
    loads: tuple[str, ...] = tuple(_loads.PHASES)
    seeds: tuple[int, ...] = tuple(range(1, 11))


class Cell(NamedTuple):
    """What callers got.

    Attributes:
        way: How decisions were made.
        pool: Whose engines.
        load: The load.
        seed: Seed of the arrivals.
        on_time: Share of prompts on time by kind.
        complete: Share of prompts that were answered.
    """

    way: str
    pool: str
    load: str
    seed: int
    on_time: dict[str, float]
    complete: float


def run_grid(grid: Grid) -> list[Cell]:
    """Returns all cells of a grid.

    Args:
        grid: What is played.

    Example:
        >>> grid = Grid(("alone",), ("hinokuni",), ("calm",), (1,))
        >>> [cell.load for cell in run_grid(grid)]
        ['calm']
    """
    return [
        _play(way, pool, load, seed)
        for pool in grid.pools
        for load in grid.loads
        for seed in grid.seeds
        for way in grid.ways
    ]


def _play(way: str, pool: str, load: str, seed: int) -> Cell:
    how, engines = _policies.WAYS[way], _loads.POOLS[pool]
    arrivals = virtual.draw_arrivals(
        engines.kinds, _loads.PHASES[load], random.Random(seed)
    )
    # A decision that takes a call begins and ends later by as much.
    kinds = {
        k.name: k._replace(target_ms=k.target_ms - how.call_ms)
        for k in engines.kinds
    }
    arrivals = [
        a._replace(at_ms=a.at_ms + how.call_ms, kind=kinds[a.kind.name])
        for a in arrivals
    ]
    outcomes = virtual.simulate(
        arrivals,
        engines.parameters,
        engines.engines,
        instances=how.instances,
        propagation_delay_ms=how.propagation_delay_ms,
        make_policy=how.make_policy,
    )
    return Cell(
        way,
        pool,
        load,
        seed,
        {kind: virtual.share_on_time(outcomes, kind) for kind in KINDS},
        sum(o.complete for o in outcomes) / max(1, len(outcomes)),
    )
