"""Runs the operators' command `hollycartctl` as a process."""

from collections.abc import Mapping
import pathlib
import tempfile
from typing import Any

import msgspec

from hollycart_bench.fleet import _process

_TIMEOUT_S = 60.0


class OperatorCommand:
    """Runs `hollycartctl` in a process of its own.

    Args:
        environ: Variables added to its environment.
    """

    def __init__(self, environ: Mapping[str, str]) -> None:
        self.environ = environ

    def run(self, *args: str) -> Any:
        """Runs a command and returns its JSON output, or None if it is empty.

        Raises:
            RuntimeError: If its exit code is not zero.
        """
        code, output = self.run_unchecked(*args)
        if code != 0:
            raise RuntimeError(
                f"hollycartctl {args} exited with {code}: {output}"
            )
        return msgspec.json.decode(output) if output.strip() else None

    def run_unchecked(self, *args: str, json: bool = True) -> tuple[int, str]:
        """Runs a command and returns its exit code and output.

        The exit code is -1 if the command still ran after 60 s; then it is
        killed.
        """
        flags = ["--json"] if json else []
        with tempfile.TemporaryDirectory() as directory:
            process = _process.BenchProcess(
                "ctl",
                _process.python_module("hollycartctl.main", *args, *flags),
                pathlib.Path(directory),
                self.environ,
            )
            process.start()
            code = process.wait(_TIMEOUT_S)
            process.kill()
            text = (process.log_dir / "ctl.log").read_text()
        return -1 if code is None else code, text

    def export_csv(self) -> str:
        """Returns the stored table as CSV.

        Raises:
            RuntimeError: If the command fails.
        """
        code, text = self.run_unchecked("export", json=False)
        if code != 0:
            raise RuntimeError(
                f"hollycartctl export exited with {code}: {text}"
            )
        return text
