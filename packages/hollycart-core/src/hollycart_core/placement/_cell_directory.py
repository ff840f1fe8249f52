"""What an instance knows of the cells other than its own."""

import random
from typing import NamedTuple

from hollycart_core.placement import _zone_room

# Age above which a report says nothing any more, in ms. Queues of engines are
# built up and processed within this time.
_MAX_REPORT_AGE_MS = 3000.0
# Endpoints that a cell without a recent report is assumed to have open, so that
# it is tried now and then.
_UNKNOWN_OPEN_ENDPOINTS = 1.0


class CellReport(NamedTuple):
    """Summary of the load of a cell.

    Attributes:
        cell: Name of the cell.
        instances: Number of its live instances.
        open_endpoints: Number of its endpoints with a free slot and without a
            prefill, by service.
        made_ms: Instant at which the report was made.
        rooms: Room for prompts, by service; empty if prompts are offered by
            fixed thresholds.
    """

    cell: str
    instances: int
    open_endpoints: dict[str, int]
    made_ms: float
    rooms: dict[str, _zone_room.ServiceRoom] = {}

    def recency(self, now_ms: float) -> float:
        """Returns how much the report counts: 1 if it is new, down to 0."""
        age_ms = max(0.0, now_ms - self.made_ms)
        return max(0.0, 1.0 - age_ms / _MAX_REPORT_AGE_MS)

    def room(self, service: str) -> _zone_room.ServiceRoom:
        """Returns the room for prompts of a service.

        Instances without this report it by their open endpoints only.
        """
        count = self.open_endpoints.get(service, 0)
        return self.rooms.get(service, _zone_room.ServiceRoom(count, count))


class CellDirectory:
    """Holds the newest report of each cell and chooses among the cells.

    The load it answers: a cell is full while others are not, because callers or
    the kinds of their prompts are spread unevenly. Prompts are offered to the
    other cells in proportion to their open endpoints. What was offered since a
    report was made is subtracted from it, so that a burst does not follow one
    report into the same cell.

    Example:
        >>> directory = CellDirectory()
        >>> directory.record(CellReport("b", 4, {"s": 3}, 0.0))
        >>> directory.choose("s", ["b", "c"], 1000.0, random.Random(1))
        'b'
    """

    def __init__(self) -> None:
        self._reports: dict[str, CellReport] = {}
        self._offered: dict[tuple[str, str], int] = {}

    def record(self, report: CellReport) -> None:
        """Records a report unless a newer one of the cell is known."""
        known = self._reports.get(report.cell)
        if known is not None and known.made_ms >= report.made_ms:
            return
        self._reports[report.cell] = report
        for service in report.open_endpoints:
            self._offered.pop((report.cell, service), None)

    def record_offer(self, cell: str, service: str) -> None:
        """Records that a prompt of a service was offered to a cell."""
        key = (cell, service)
        self._offered[key] = self._offered.get(key, 0) + 1

    def recent(self, now_ms: float) -> list[CellReport]:
        """Returns the reports that are not outdated."""
        return [
            r
            for r in self._reports.values()
            if now_ms - r.made_ms <= _MAX_REPORT_AGE_MS
        ]

    def find(self, cell: str, now_ms: float) -> CellReport | None:
        """Returns the report of a cell unless it is outdated."""
        report = self._reports.get(cell)
        if report is None or now_ms - report.made_ms > _MAX_REPORT_AGE_MS:
            return None
        return report

    def instances(self, cell: str, now_ms: float) -> int:
        """Returns the number of live instances of a cell; 0 if unknown."""
        report = self._reports.get(cell)
        if report is None or now_ms - report.made_ms > _MAX_REPORT_AGE_MS:
            return 0
        return report.instances

    def choose(
        self,
        service: str,
        cells: list[str],
        now_ms: float,
        rng: random.Random,
    ) -> str | None:
        """Returns the cell that a prompt is offered to, if any has room.

        Args:
            service: Service of the prompt.
            cells: Names of the cells to choose from.
            now_ms: Current instant.
            rng: Source of randomness.
        """
        weights = [self._open(cell, service, now_ms) for cell in cells]
        if not any(weights):  # also without cells
            return None
        return rng.choices(cells, weights)[0]

    def _open(self, cell: str, service: str, now_ms: float) -> float:
        report = self._reports.get(cell)
        if report is None or now_ms - report.made_ms > _MAX_REPORT_AGE_MS:
            return _UNKNOWN_OPEN_ENDPOINTS
        offered = self._offered.get((cell, service), 0)
        return max(0.0, report.open_endpoints.get(service, 0) - offered)
