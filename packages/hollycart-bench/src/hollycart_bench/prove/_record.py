"""Record of the faults injected during a run."""

import collections
from typing import NamedTuple


class Interval(NamedTuple):
    """A fault that affected one process.

    Attributes:
        name: Name of the process; `-` for a fault kind as a whole.
        kind: Kind of the fault.
        start_ms: Wall clock time of its start, in ms.
        end_ms: Wall clock time of its end, in ms.
    """

    name: str
    kind: str
    start_ms: float
    end_ms: float


class RunRecord:
    """Counts and time intervals of the injected faults."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.intervals: list[Interval] = []

    def add_interval(
        self, name: str, kind: str, start_ms: float, end_ms: float
    ) -> None:
        """Records a fault that affects a process from start to end."""
        self.intervals.append(Interval(name, kind, start_ms, end_ms))

    def timeline(self) -> list[str]:
        """Returns a line per interval by start, in seconds from the first."""
        if not self.intervals:
            return []
        zero = min(i.start_ms for i in self.intervals)
        return [
            f"{(i.start_ms - zero) / 1000:7.1f} to "
            f"{(i.end_ms - zero) / 1000:6.1f} s {i.kind} {i.name}"
            for i in sorted(self.intervals, key=lambda i: i.start_ms)
        ]

    def was_affected(
        self, name: str, kinds: tuple[str, ...], start: float, end: float
    ) -> bool:
        """Returns whether a fault affected a process during a time span.

        Args:
            name: Name of the process.
            kinds: Kinds of faults that count.
            start: Wall clock time at which the span starts, in ms.
            end: Wall clock time at which the span ends, in ms.
        """
        return any(
            i.name == name
            and i.kind in kinds
            and i.start_ms <= end
            and i.end_ms >= start
            for i in self.intervals
        )
