"""The bench's commands: `python -m hollycart_bench.commands`."""

import pathlib
import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import defopt

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


if __name__ == "__main__":
    sys.exit(defopt.run([sample, up], no_negated_flags=True))
