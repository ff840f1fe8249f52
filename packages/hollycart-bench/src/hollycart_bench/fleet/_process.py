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
    """Starts one program and signals it by its process id.

    Args:
        name: Name in messages and of the log file.
        argv: Program and arguments.
        log_dir: Directory for its output, `NAME.log`.
        environ: Variables added to the environment of the bench.
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
        """Process id of the last start.

        Raises:
            ProcessLookupError: If the program was never started.
        """
        if self._child is None:
            raise ProcessLookupError(self.name)
        return self._child.pid

    def start(self) -> None:
        """Starts the program; its output is appended to the log file."""
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
        """Sends a signal, unless the program has ended."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the program and waits up to 5 s for its end."""
        self.signal(signal.SIGKILL)
        self.wait(5.0)

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the program to end.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            The exit code, or None if it still runs or was never started.
        """
        end_s = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < end_s:
            eventlet.sleep(0.02)
        return self.poll()

    def poll(self) -> int | None:
        """Returns the exit code, or None if it runs or was never started."""
        return None if self._child is None else self._child.poll()

    @property
    def is_running(self) -> bool:
        """Whether the program runs."""
        return self._child is not None and self._child.poll() is None


def python_module(module: str, *args: str) -> list[str]:
    """Returns the command line that runs a module in this environment."""
    return [sys.executable, "-m", module, *args]


def read_memory_bytes(pid: int, field: str) -> int:
    """Returns a size that Linux states of a process, in bytes.

    Args:
        pid: Process id.
        field: Name in `/proc/PID/status`, such as `VmHWM`, the peak of the
            resident memory, or `VmRSS`.

    Returns:
        The size; 0 if the process has ended.
    """
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1024
    return 0
