"""One child process of the test bench."""

from collections.abc import Mapping
import os
import pathlib
import signal
import subprocess
import sys
import time

import eventlet


class BenchProcess:
    """Starts one program and ends it by its id.

    Args:
        name: For messages and the log file.
        argv: Program and arguments.
        log_dir: Folder for its output.
        environ: Added to the environment.
    """

    def __init__(
        self,
        name: str,
        argv: list[str],
        log_dir: pathlib.Path,
        environ: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.argv = argv
        self.log_dir = log_dir
        self.environ = dict(environ or {})
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        if self._child is None:
            raise ProcessLookupError(self.name)
        return self._child.pid

    def start(self) -> None:
        """Starts the program."""
        self.log_dir.mkdir(parents=True, exist_ok=True)
        with open(self.log_dir / f"{self.name}.log", "ab") as log:
            self._child = subprocess.Popen(
                self.argv,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **self.environ},
            )

    def signal(self, number: int) -> None:
        """Sends a signal if the program runs."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends the program at once."""
        self.signal(signal.SIGKILL)
        self.wait(5.0)

    def wait(self, timeout_s: float) -> int | None:
        """Returns the exit code, or None if it still runs."""
        end_s = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < end_s:
            eventlet.sleep(0.02)
        return self.poll()

    def poll(self) -> int | None:
        """Returns the exit code, or None if it runs."""
        return None if self._child is None else self._child.poll()

    @property
    def is_running(self) -> bool:
        """Whether the program runs."""
        return self._child is not None and self._child.poll() is None


def python_module(module: str, *args: str) -> list[str]:
    """Returns the arguments that run a module of this environment."""
    return [sys.executable, "-m", module, *args]
