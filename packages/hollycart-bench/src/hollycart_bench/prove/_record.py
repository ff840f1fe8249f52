"""What happened during a run, as seen from outside hollycart."""

import collections
from typing import NamedTuple


class Interval(NamedTuple):
    """A failure that affected one process.

    Attributes:
        name: The process.
        kind: What was done to it.
        start_ms: Wall clock at the start, in ms.
        end_ms: Wall clock at the end, in ms.
    """

    name: str
    kind: str
    start_ms: float
    end_ms: float


class RunRecord:
    """Failures and their intervals."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.intervals: list[Interval] = []

    def note(
        self, name: str, kind: str, start_ms: float, end_ms: float
    ) -> None:
        """Notes what was done to a process."""
        self.intervals.append(Interval(name, kind, start_ms, end_ms))

    def timeline(self) -> list[str]:
        """Returns all intervals in order, in seconds from the first."""
        if not self.intervals:
            return []
        zero = min(i.start_ms for i in self.intervals)
        return [
            f"{(i.start_ms - zero) / 1000:7.1f} to "
            f"{(i.end_ms - zero) / 1000:6.1f} s {i.kind} {i.name}"
            for i in sorted(self.intervals, key=lambda i: i.start_ms)
        ]

    def hit(
        self, name: str, kinds: tuple[str, ...], start: float, end: float
    ) -> bool:
        """Returns whether a process was hit within a time, in wall ms."""
        return any(
            i.name == name
            and i.kind in kinds
            and i.start_ms <= end
            and i.end_ms >= start
            for i in self.intervals
        )
