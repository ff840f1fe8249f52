"""Runs the cells of an experiment, each in a process of its own."""

import pathlib
import sys
import time
from typing import NamedTuple

import msgspec

from hollycart_bench import fleet
from hollycart_bench.measure import _cell
from hollycart_bench.measure import _report


class ExperimentSpec(NamedTuple):
    """Describes the cells of an experiment and how they are run.

    Attributes:
        users: Names of the workloads.
        policies: Policies, as in `CellSpec`.
        loads: Offered load relative to the engines' capacity without prefix
            caching.
        seeds: Seeds of the load; equal seeds send the same requests.
        duration_s: Time over which requests arrive in a cell, in seconds.
        surge: Whether the users' surges are part of the load.
        parallel: Number of cells that run at the same time.
        settings: Further environment variables of the instances.
    """

    users: tuple[str, ...] = ("hinokuni", "guild")
    policies: tuple[str, ...] = (
        _cell.SHORT_ONLY_POLICY,
        _cell.SPLIT_POLICY,
        *_cell.BASELINES,
    )
    loads: tuple[float, ...] = (0.7, 0.9, 1.2)
    seeds: tuple[int, ...] = (1,)
    duration_s: float = 25.0
    surge: bool = False
    parallel: int = 2
    settings: dict[str, str] = {}


def run_experiment(
    experiment: ExperimentSpec, out: pathlib.Path
) -> list[_cell.CellResult]:
    """Runs all cells, prints the table and writes JSON and plots.

    Args:
        experiment: Describes the cells.
        out: Folder for the results.

    Returns:
        Results of the cells that ended without a failure.
    """
    out.mkdir(parents=True, exist_ok=True)
    specs = _specs(experiment)
    waiting = list(enumerate(specs))
    running: dict[int, fleet.BenchProcess] = {}
    while waiting or running:
        while waiting and len(running) < experiment.parallel:
            number, spec = waiting.pop(0)
            running[number] = _start(number, spec, out)
        for number, process in list(running.items()):
            if not process.is_running:
                del running[number]
                _print_line(
                    f"cell {number + 1} of {len(specs)}: {specs[number]}"
                )
        time.sleep(0.2)
    cells = [c for n in range(len(specs)) for c in _read_result(out, n)]
    (out / "cells.json").write_bytes(
        msgspec.json.encode([_cell.to_json(c) for c in cells])
    )
    _report.write_plots(cells, out / "plots.png")
    _print_line(_report.format_cells(cells))
    if len(cells) < len(specs):
        _print_line(
            f"{len(specs) - len(cells)} of {len(specs)} cells failed, see {out}"
        )
    return cells


def run_cell_file(path: pathlib.Path) -> int:
    """Runs the cell that a file describes; writes the result next to it."""
    spec = msgspec.json.decode(path.read_bytes(), type=_cell.CellSpec)
    result = _cell.run_cell(spec, path.with_suffix(""))
    path.with_suffix(".result").write_bytes(msgspec.msgpack.encode(result))
    return 0


def _specs(experiment: ExperimentSpec) -> list[_cell.CellSpec]:
    return [
        _cell.CellSpec(
            user,
            policy,
            offered,
            seed,
            experiment.duration_s,
            experiment.surge,
            experiment.settings,
        )
        for user in experiment.users
        for offered in experiment.loads
        for policy in experiment.policies
        for seed in experiment.seeds
    ]


def _start(
    number: int, spec: _cell.CellSpec, out: pathlib.Path
) -> fleet.BenchProcess:
    path = out / f"cell{number}.spec"
    path.with_suffix(".result").unlink(missing_ok=True)
    path.write_bytes(msgspec.json.encode(spec))
    process = fleet.BenchProcess(
        f"cell{number}",
        fleet.python_module("hollycart_bench.commands", "cell", str(path)),
        out,
    )
    process.start()
    return process


def _read_result(out: pathlib.Path, number: int) -> list[_cell.CellResult]:
    path = out / f"cell{number}.result"
    if not path.exists():
        return []
    return [msgspec.msgpack.decode(path.read_bytes(), type=_cell.CellResult)]


def _print_line(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
