"""Commands of the bench: `python -m hollycart_bench.commands`."""

import pathlib
import signal
import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import defopt

from hollycart_bench import experiment
from hollycart_bench import measure as measure_pkg
from hollycart_bench import prove as prove_pkg
from hollycart_bench import recover as recover_pkg
from hollycart_bench import run
from hollycart_bench import soak as soak_pkg


def sample(
    *, duration_s: float = 25.0, seed: int = 1, out: str = "out/run"
) -> int:
    """Runs the system under a mixed load and prints what callers saw.

    Args:
        duration_s: Time over which each user's requests arrive, in seconds.
        seed: Seed of the load.
        out: Folder for the output of the processes.
    """
    return run.run_sample(pathlib.Path(out), duration_s, seed)


def up(*, out: str = "out/up") -> int:
    """Runs the system until interrupted.

    Args:
        out: Folder for the output of the processes.
    """
    return run.run_up(pathlib.Path(out))


def prove(
    *,
    seed: int = 1,
    seeds: int = 1,
    duration_s: float = 120.0,
    out: str = "out/prove",
) -> int:
    """Runs the system under random faults and checks the eight guarantees.

    Args:
        seed: First seed.
        seeds: Number of consecutive seeds.
        duration_s: Time over which requests arrive, in seconds.
        out: Folder for the output of the processes.
    """
    seed_list = list(range(seed, seed + seeds))
    return prove_pkg.run_seeds(seed_list, duration_s, pathlib.Path(out))


def soak(
    *,
    seed: int = 1,
    per_s: float = 25.0,
    short: bool = False,
    only: str = "",
    out: str = "out/soak",
) -> int:
    """Injects every kind of fault once under load and checks the guarantees.

    The entry instances use the platform's protocol.

    Args:
        seed: Seed of the load and the faults.
        per_s: Requests per second.
        short: Whether only some kinds of faults are injected, and only
            guarantees are checked whose checks compare no times.
        only: Kinds of faults to inject, separated by commas; all if empty.
        out: Folder for settings, journals and output.
    """
    return soak_pkg.run_soak(
        pathlib.Path(out),
        seed,
        per_s,
        short=short,
        only=frozenset(only.split(",")) if only else None,
    )


def calm(
    *,
    seed: int = 1,
    seconds: float = 60.0,
    per_s: float = 25.0,
    out: str = "out/platform",
) -> int:
    """Runs a load without faults and checks the guarantees.

    The entry instances use the platform's protocol.

    Args:
        seed: Seed of the load.
        seconds: Length of the load, in seconds.
        per_s: Requests per second.
        out: Folder for settings, journals and output.
    """
    return soak_pkg.run_soak(
        pathlib.Path(out), seed, per_s, fault_free_s=seconds
    )


def slow_readers(
    *,
    callers: int = 500,
    seconds: float = 60.0,
    memory_mb: int = 200,
    out: str = "out/slow_readers",
) -> int:
    """Measures one instance in front of many callers that read slowly.

    Args:
        callers: Callers that read an answer of 1 MB at 2 kB/s.
        seconds: Length of the run, in seconds.
        memory_mb: Memory that the instance is told, in MB.
        out: Folder for settings, journals and output.
    """
    return soak_pkg.run_slow_readers(
        pathlib.Path(out), callers, seconds=seconds, memory_mb=memory_mb
    )


def compare(*, seeds: int = 10, out: str = "out/experiment") -> int:
    """Compares placement schemes in a simulation.

    Args:
        seeds: Number of seeds.
        out: Folder for the cells and the plot.
    """
    grid = experiment.Grid(seeds=tuple(range(1, seeds + 1)))
    cells = experiment.run_grid(grid)
    text = experiment.write_report(cells, pathlib.Path(out))
    sys.stdout.write(text + "\n")
    return 0


def zones(
    *,
    seeds: int = 10,
    schemes: str = "fixed,everywhere,two choices,dual prices,model",
    loads: str = "even,uneven,step,wave,full",
    prices: str = "100",
) -> int:
    """Compares ways to decide what leaves a zone, in a simulation.

    Args:
        seeds: Number of seeds.
        schemes: Names of the ways, separated by commas.
        loads: Names of the loads, separated by commas.
        prices: Losses that a GB between zones is worth, separated by commas.
    """
    names = schemes.split(",")
    runs = experiment.run_zones(
        names,
        loads.split(","),
        [float(price) for price in prices.split(",")],
        range(1, seeds + 1),
    )
    sys.stdout.write(experiment.format_zones(runs, names[0]) + "\n")
    return 0


def compare_cuts(*, seeds: int = 20) -> int:
    """Compares what instances do while they are cut off from each other.

    Args:
        seeds: Number of seeds.
    """
    results = experiment.compare_cuts(range(1, seeds + 1))
    sys.stdout.write(experiment.format_cuts(results) + "\n")
    return 0


def measure(
    *,
    quick: bool = False,
    user: str = "",
    policies: str = "",
    loads: str = "",
    seeds: str = "1",
    duration_s: float = 0.0,
    surge: bool = False,
    parallel: int = 2,
    settings: str = "",
    out: str = "out/measure",
) -> int:
    """Compares placement policies under the same load.

    Args:
        quick: Runs fewer cells.
        user: User whose workload is run; empty for all.
        policies: Policies separated by commas; empty for all.
        loads: Offered load relative to the engines' capacity without prefix
            caching, separated by commas; empty for the default loads.
        seeds: Seeds separated by commas.
        duration_s: Time over which requests arrive in a cell, in seconds; 0
            for the default time.
        surge: Whether the users' surges are part of the load.
        parallel: Number of cells that run at the same time.
        settings: Environment variables of the instances, NAME=VALUE separated
            by commas.
        out: Folder for the results.
    """
    experiment_spec = measure_pkg.ExperimentSpec(surge=surge, parallel=parallel)
    if quick:
        experiment_spec = experiment_spec._replace(
            users=("hinokuni",),
            loads=(0.9,),
            policies=(
                measure_pkg.SHORT_ONLY_POLICY,
                measure_pkg.SPLIT_POLICY,
                "least-requests",
                "least-tokens",
            ),
            duration_s=40.0,
        )
    if user:
        experiment_spec = experiment_spec._replace(users=(user,))
    if policies:
        experiment_spec = experiment_spec._replace(
            policies=tuple(policies.split(","))
        )
    if loads:
        experiment_spec = experiment_spec._replace(
            loads=tuple(float(v) for v in loads.split(","))
        )
    if duration_s:
        experiment_spec = experiment_spec._replace(duration_s=duration_s)
    settings_pairs = [p.partition("=")[::2] for p in settings.split(",") if p]
    experiment_spec = experiment_spec._replace(
        seeds=tuple(int(s) for s in seeds.split(",")),
        settings=dict(settings_pairs),
    )
    measure_pkg.run_experiment(experiment_spec, pathlib.Path(out))
    return 0


def recover(
    *, outage_s: float = 60.0, seed: int = 1, out: str = "out/recover"
) -> int:
    """Measures the time to recover from four large failures.

    Args:
        outage_s: Length of the key-value store's outage, in seconds.
        seed: Seed of the load.
        out: Folder for the output of the processes.
    """
    return recover_pkg.run_cases(pathlib.Path(out), outage_s, seed)


def cell(spec: pathlib.Path) -> int:
    """Runs one cell of a comparison of policies.

    Args:
        spec: File that describes the cell.
    """
    return measure_pkg.run_cell_file(spec)


if __name__ == "__main__":
    # SIGTERM ends the bench as Ctrl-C does, so that it stops its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(
        defopt.run(
            [
                sample,
                up,
                prove,
                soak,
                calm,
                slow_readers,
                compare,
                zones,
                compare_cuts,
                measure,
                recover,
                cell,
            ],
            no_negated_flags=True,
        )
    )
