"""Simulates the cells of a grid."""

import random
from typing import NamedTuple

from hollycart_bench import virtual
from hollycart_bench.experiment import _loads
from hollycart_bench.experiment import _policies

KINDS = ("short", "middle", "long")


class Grid(NamedTuple):
    """Selects the cells of a grid.

    Attributes:
        schemes: Names of the placement schemes.
        pools: Names of the users whose engines and prompts are simulated.
        loads: Names of the loads.
        seeds: Seeds; a seed gives every scheme the same arrivals.
    """

    schemes: tuple[str, ...] = tuple(_policies.SCHEMES)
    pools: tuple[str, ...] = tuple(_loads.ENGINE_POOLS)
    loads: tuple[str, ...] = tuple(_loads.PHASES)
    seeds: tuple[int, ...] = tuple(range(1, 11))


class Cell(NamedTuple):
    """Outcomes of one simulated cell.

    Attributes:
        way: Name of the placement scheme.
        pool: Name of the user whose engines and prompts were simulated.
        load: Name of the load.
        seed: Seed of the arrivals.
        on_time: Share of prompts on time by kind.
        complete: Share of prompts that got their whole answer.
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
        grid: Selects the cells.

    Example:
        >>> grid = Grid(("alone",), ("hinokuni",), ("calm",), (1,))
        >>> [cell.load for cell in run_grid(grid)]
        ['calm']
    """
    return [
        _run_cell(way, pool, load, seed)
        for pool in grid.pools
        for load in grid.loads
        for seed in grid.seeds
        for way in grid.schemes
    ]


def _run_cell(way: str, pool: str, load: str, seed: int) -> Cell:
    scheme, engine_pool = _policies.SCHEMES[way], _loads.ENGINE_POOLS[pool]
    arrivals = virtual.draw_arrivals(
        engine_pool.kinds, _loads.PHASES[load], random.Random(seed)
    )
    # The latency of a decision delays the prompt and shortens the time that
    # remains until its target.
    kinds = {
        k.name: k._replace(target_ms=k.target_ms - scheme.decision_latency_ms)
        for k in engine_pool.kinds
    }
    arrivals = [
        a._replace(
            at_ms=a.at_ms + scheme.decision_latency_ms, kind=kinds[a.kind.name]
        )
        for a in arrivals
    ]
    outcomes = virtual.simulate(
        arrivals,
        engine_pool.parameters,
        engine_pool.engines,
        instances=scheme.instances,
        propagation_delay_ms=scheme.propagation_delay_ms,
        make_policy=scheme.make_policy,
    )
    return Cell(
        way,
        pool,
        load,
        seed,
        {kind: virtual.share_on_time(outcomes, kind) for kind in KINDS},
        sum(o.complete for o in outcomes) / max(1, len(outcomes)),
    )
