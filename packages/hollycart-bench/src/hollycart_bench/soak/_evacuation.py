"""Checks that no request reaches an engine of an evacuated zone."""

from hollycart_bench import checks
from hollycart_bench.soak import _record

_MAX_SHOWN = 5  # findings listed in one violation


def check_evacuations(
    record: _record.SoakRecord,
    tolerance_ms: float,
    checker: checks.GuaranteeChecker,
) -> None:
    """Checks that no request arrives in an evacuated zone after the bound.

    Args:
        record: What callers, engines and the operator recorded.
        tolerance_ms: Tolerance for the clocks of two processes, in ms.
        checker: Checker of the guarantee.
    """
    bound_ms = _record.EVACUATE_BOUND_MS + tolerance_ms
    for evacuation in record.evacuations:
        late = [
            f"{e.engine} {e.at_ms - evacuation.acked_ms:.0f} ms on"
            for e in record.journal_entries
            if e.event == "arrived"
            and e.engine in evacuation.engines
            and evacuation.acked_ms + bound_ms < e.at_ms < evacuation.until_ms
        ]
        checker.check(not late, f"{evacuation.zone}: {late[:_MAX_SHOWN]}")
