"""Checks that cold engines get few requests."""

from collections.abc import Sequence

from hollycart_bench import checks
from hollycart_bench.soak import _configuration
from hollycart_bench.soak import _record

COLD_EVENT = "cold"
_WINDOW_MS = 1000.0


def check_cold_engines(
    entries: Sequence[_record.JournalEntry], checker: checks.GuaranteeChecker
) -> None:
    """Checks the requests that cold engines got, from all instances together.

    Nothing is excused: an instance that is stopped, cut off or has just been
    started counts as well.

    Args:
        entries: Entries of the journals of all engines.
        checker: Receives the checks.
    """
    allowed = (
        _configuration.COLD_PER_S * _configuration.COLD_OVERAGE
        + _configuration.COLD_SLACK
    )
    arrivals: dict[str, list[float]] = {}
    for entry in entries:
        if entry.event == COLD_EVENT:
            arrivals.setdefault(entry.engine, []).append(entry.at_ms)
    for engine, times_ms in arrivals.items():
        most = max(
            sum(t <= x < t + _WINDOW_MS for x in times_ms) for t in times_ms
        )
        checker.check(
            most <= allowed,
            f"{engine} got {most} requests in a second while it was cold, "
            f"allowed {allowed:.0f}",
        )
