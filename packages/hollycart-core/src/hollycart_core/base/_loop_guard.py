"""Keeps loops in green threads alive."""

from collections.abc import Iterator
import contextlib
from typing import ClassVar

from absl import logging


class LoopGuard:
    """Ends one turn of a loop by an unforeseen exception, not the loop.

    Args:
        name: What the loop does, for the log.

    Attributes:
        faults: Number of turns that ended so, of all loops of the process.

    Example:
        >>> guard = LoopGuard("example")
        >>> with guard.turn():
        ...     raise ValueError("unforeseen")
    """

    faults: ClassVar[int] = 0

    def __init__(self, name: str) -> None:
        self.name = name

    @contextlib.contextmanager
    def turn(self) -> Iterator[None]:
        """Logs and counts an exception that is raised within the turn."""
        try:
            yield
        except Exception:
            LoopGuard.faults += 1
            logging.exception("unexpected error, %s goes on", self.name)
