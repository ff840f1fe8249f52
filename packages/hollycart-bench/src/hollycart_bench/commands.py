"""The bench's commands: `python -m hollycart_bench.commands`."""

import pathlib
import signal
import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import defopt

from hollycart_bench import experiment
from hollycart_bench import measure as experiments
from hollycart_bench import prove as proofs
from hollycart_bench import recover as recovery
from hollycart_bench import run
from hollycart_bench import scale as scaling
from hollycart_bench import soak as soaking


def sample(
    *, duration_s: float = 25.0, seed: int = 1, out: str = "out/run"
) -> int:
    """Runs the system under a mixed load and prints what callers saw.

    Args:
        duration_s: Length of the arrivals per user, in seconds.
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
    """Runs the system under random failures and checks the eight points.

    Args:
        seed: First seed.
        seeds: Number of consecutive seeds.
        duration_s: Length of the arrivals, in seconds.
        out: Folder for the output of the processes.
    """
    numbers = list(range(seed, seed + seeds))
    return proofs.run_seeds(numbers, duration_s, pathlib.Path(out))


def soak(*, seed: int = 1, per_s: float = 25.0, out: str = "out/soak") -> int:
    """Plays every kind of fault once on the platform's protocol.

    Args:
        seed: Seed of load and faults.
        per_s: Requests a second.
        out: Folder for settings, journals and output.
    """
    return soaking.run_soak(pathlib.Path(out), seed, per_s)


def calm(
    *,
    seed: int = 1,
    seconds: float = 60.0,
    per_s: float = 25.0,
    out: str = "out/platform",
) -> int:
    """Plays a calm load on the platform's protocol.

    Args:
        seed: Seed of the load.
        seconds: Length of the load.
        per_s: Requests a second.
        out: Folder for settings, journals and output.
    """
    return soaking.run_soak(
        pathlib.Path(out), seed, per_s, fault_free_s=seconds
    )


def compare(*, seeds: int = 10, out: str = "out/experiment") -> int:
    """Plays ways to decide against each other under virtual time.

    Args:
        seeds: Number of seeds.
        out: Folder for cells and plot.
    """
    grid = experiment.Grid(seeds=tuple(range(1, seeds + 1)))
    cells = experiment.run_grid(grid)
    text = experiment.write_report(cells, pathlib.Path(out))
    sys.stdout.write(text + "\n")
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
        quick: A short run of fewer cells.
        user: Only this user.
        policies: Policies separated by commas; empty for all.
        loads: Offered loads separated by commas.
        seeds: Seeds separated by commas.
        duration_s: Length of the arrivals of a cell, in seconds.
        surge: Whether the users' surges are part of the load.
        parallel: Cells at a time.
        settings: Environment of the instances, NAME=VALUE with commas.
        out: Folder for the results.
    """
    wanted = experiments.ExperimentSpec(surge=surge, parallel=parallel)
    if quick:
        wanted = wanted._replace(
            users=("hinokuni",),
            loads=(0.9,),
            policies=(
                experiments.SHORT_ONLY_POLICY,
                experiments.SPLIT_POLICY,
                "least-requests",
                "least-tokens",
            ),
            duration_s=40.0,
        )
    if user:
        wanted = wanted._replace(users=(user,))
    if policies:
        wanted = wanted._replace(policies=tuple(policies.split(",")))
    if loads:
        wanted = wanted._replace(
            loads=tuple(float(v) for v in loads.split(","))
        )
    if duration_s:
        wanted = wanted._replace(duration_s=duration_s)
    pairs = [p.partition("=")[::2] for p in settings.split(",") if p]
    wanted = wanted._replace(
        seeds=tuple(int(s) for s in seeds.split(",")),
        settings=dict(pairs),
    )
    experiments.run_experiment(wanted, pathlib.Path(out))
    return 0


def scale(*, quick: bool = False, out: str = "out/scale") -> int:
    """Measures several sizes and extrapolates to the target.

    Args:
        quick: Fewer and smaller sizes.
        out: Folder for the results.
    """
    sizes = scaling.Sizes()
    if quick:
        sizes = scaling.Sizes(
            (6, 12, 24),
            (34, 70, 100),
            (10, 350, 700),
            (10, 50, 100),
            (10, 20, 40),
            (8, 32, 64),
            6.0,
        )
    scaling.ScaleRun(sizes, pathlib.Path(out)).run()
    return 0


def recover(
    *, outage_s: float = 60.0, seed: int = 1, out: str = "out/recover"
) -> int:
    """Measures the time to recover from four large failures.

    Args:
        outage_s: Length of the key-value service's outage, in seconds.
        seed: Seed of the load.
        out: Folder for the output of the processes.
    """
    return recovery.run_cases(pathlib.Path(out), outage_s, seed)


def cell(spec: pathlib.Path) -> int:
    """Runs one cell of an experiment.

    Args:
        spec: File that describes it.
    """
    return experiments.run_cell_file(spec)


if __name__ == "__main__":
    # An ended bench ends its processes as on Ctrl-C.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(
        defopt.run(
            [
                sample,
                up,
                prove,
                soak,
                calm,
                compare,
                measure,
                scale,
                recover,
                cell,
            ],
            no_negated_flags=True,
        )
    )
