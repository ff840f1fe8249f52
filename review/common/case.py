"""Runs a case, writes its record and returns its exit code."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback

from common import system

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
_MAX_S = 115.0


class Record:
    """Lines of `record.txt`: what was sent, answered and run.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        """Writes a line with the time since the start of the case."""
        at_s = time.monotonic() if at_s is None else at_s
        self._file.write(f"{at_s - self._start_s:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


Body = Callable[[Record, pathlib.Path, bool], Awaitable[bool]]


def run(folder: pathlib.Path, body: Body) -> int:
    """Runs a case.

    Args:
        folder: Folder of the case, for its record.
        body: Runs it with the record, a temporary folder and whether there
            is a disruption; returns whether the rule held.

    Returns:
        The exit code.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="hollycart-review-") as name:
        scratch = pathlib.Path(name)
        try:
            held = asyncio.run(
                asyncio.wait_for(body(record, scratch, trouble), _MAX_S)
            )
        except (system.CannotRunError, OSError, TimeoutError) as exc:
            traceback.print_exc()
            record.write(f"could not run: {exc!r}")
            return COULD_NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                _copy_logs(scratch, pathlib.Path(os.environ["KEEP_LOGS"]))
        record.write("the rule held" if held else "the rule was broken")
        record.close()
        return HELD if held else BROKEN


def _copy_logs(scratch: pathlib.Path, target: pathlib.Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for path in scratch.glob("*.log"):
        (target / path.name).write_bytes(path.read_bytes())
