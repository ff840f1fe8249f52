"""The bench's commands: `python -m hollycart_bench.commands`."""

import pathlib
import signal
import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import defopt

from hollycart_bench import prove as proofs
from hollycart_bench import run


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


if __name__ == "__main__":
    # An ended bench ends its processes as on Ctrl-C.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(defopt.run([sample, up, prove], no_negated_flags=True))
