"""Checks that what crashes engines is kept away from them."""

from typing import NamedTuple

from hollycart_bench import checks
from hollycart_bench.soak import _record

# Requests that crash engines may reach them, but for a few, until so long after
# the crash with the number of the rule.
_CRASH_CONTACT_MS = 3000.0
_MAX_CRASHING = 3
# Share of the sound requests that are served from twice that time on.
_MIN_SOUND_SHARE = 0.5
_MAX_SHOWN = 5  # findings listed in one violation


class CrashRule(NamedTuple):
    """The bound on requests of one kind that crash engines.

    Attributes:
        subject: What crashes engines.
        fault: Fault during which it does.
        arrival: Event of the journal by which it arrives.
        crash: Event by which it crashes an engine.
        number: Number of the crash from which the bound counts.
    """

    subject: str
    fault: str
    arrival: str
    crash: str
    number: int


PROMPTS = CrashRule(
    "prompts", "engines_crash_on_segment", "crashing", "crash", 5
)
REQUESTS = CrashRule(
    "requests", "engines_crash_on_request", "repeated", "repeated_crash", 3
)


def check_crashing(
    record: _record.SoakRecord,
    rule: CrashRule,
    checker: checks.GuaranteeChecker,
) -> None:
    """Checks a run in which prompts with one segment, or a request, did.

    Args:
        record: What callers, engines and the operator recorded.
        rule: The bound.
        checker: Receives the checks.
    """
    crashed_ms = sorted(
        e.at_ms for e in record.journal_entries if e.event == rule.crash
    )
    counted_ms = crashed_ms[: rule.number][-1]
    late = [
        e.request_id
        for e in record.journal_entries
        if e.event == rule.arrival and e.at_ms > counted_ms + _CRASH_CONTACT_MS
    ]
    checker.check(
        len(crashed_ms) < rule.number or len(late) <= _MAX_CRASHING,
        f"{len(late)} too late, {len(crashed_ms)} crashes: {late[:_MAX_SHOWN]}",
    )
    since_ms = counted_ms + 2.0 * _CRASH_CONTACT_MS
    until_ms = max(f.end_ms for f in record.faults if f.kind == rule.fault)
    kind = record.crashing_kind if rule is REQUESTS else "stream"
    sound = [
        c
        for c in record.calls
        if c.kind == kind
        and not c.crashes_engines
        and not c.abandoned
        and since_ms <= c.start_ms
        and c.end_ms <= until_ms
    ]
    whole = sum(c.status == 200 and c.complete for c in sound)
    checker.check(
        whole >= _MIN_SOUND_SHARE * len(sound),
        f"{whole} of {len(sound)} sound requests served",
    )
