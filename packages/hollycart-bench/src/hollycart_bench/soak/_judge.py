"""Checks the guarantees against what callers and engines recorded."""

import collections

from hollycart_bench import checks
from hollycart_bench.soak import _cold
from hollycart_bench.soak import _crashing
from hollycart_bench.soak import _evacuation
from hollycart_bench.soak import _record

# Bounds that the platform sets, in ms.
_LEAVING_BOUND_MS = 2000.0  # until no request starts at a leaving engine
_REVOKED_BOUND_MS = 5000.0  # until no request starts with a revoked key
_CONFIG_BOUND_MS = 2000.0  # until a new configuration is in force
_RESPONSE_BOUND_MS = 500.0  # from the caller's timeout to the response
# A request that was sent until so long after SIGTERM may be cut if an engine
# still works on it in the last sixth of the grace period of 8 s.
_SENT_IN_GRACE_MS = 3000.0
_LAST_OF_GRACE_MS = 8000.0 * 5.0 / 6.0
_PAUSE_GRACE_MS = 500.0  # until a pause that an engine asks for is kept
_MAX_IN_PAUSE = 2  # requests of an instance that reach a pausing engine
# A limit that an engine names holds from so long after it was first named, for
# requests of instances that were told so long before.
_LIMIT_CONTACT_MS = 3000.0
_LIMIT_TOLD_MS = 500.0
_LIMIT_WINDOW_MS = 4000.0
_LIMIT_SHARE = 1.5  # of the limit, allowed in a window
_LIMIT_EXTRA = 5.0  # requests allowed in addition
_ABANDONED_BOUND_MS = 500.0  # until the work for an abandoned request ends
# Tolerance for clock readings of two processes and for a busy machine.
_TOLERANCE_MS = 250.0
_MAX_SHOWN = 5  # findings listed in one violation
# Faults after which the callers of an instance may get no response.
_CONNECTION_LOSS_FAULTS = frozenset(("kill", "freeze"))
_FAILURE_STATUSES = (502, 504)
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Guarantees that a run with every kind of fault has to check.
GUARANTEES = frozenset(
    (
        "a new configuration is in force",
        "at most once",
        "evacuated zones get nothing",
        "in time",
        "leaving gets nothing",
        "leaving by its word gets nothing",
        "a pause is kept",
        "prompts that crash engines are kept away",
        "requests that crash engines are kept away",
        "a limit is kept",
        "cold engines get few requests",
        "memory comes back",
        "refusals say when",
        "refused is not run",
        "revoked keys do not run",
        "served without faults",
        "stopped in time",
        "stopping cuts nothing",
        "whole and own",
        "work ends with its caller",
    )
)
# Memory of an instance, in MB, that no peer may exceed: that of the platform's
# machines.
_MAX_MEMORY_MB = 300.0
_ENDLESS_FAULTS = frozenset(
    ("engine_endless", "callers_endless", "datagram_flood")
)
_SLOW_FAULTS = frozenset(("callers_read_slowly", "engines_read_slowly"))
_MAX_LOOP_DELAY_MS = 1000.0  # beside an engine that sends without end
# Guarantees that are checked if enough requests were sent beside the fault.
OPTIONAL_GUARANTEES = frozenset(
    (
        "what has no end harms nobody else",
        "who reads slowly harms nobody else",
        "memory is bounded",
        "the event loop comes round",
    )
)
# Guarantees whose checks compare no times, so that a busy machine cannot change
# the verdict.
UNTIMED_GUARANTEES = frozenset(
    (
        "at most once",
        "refusals say when",
        "refused is not run",
        "whole and own",
    )
)
# Minimum share served of the requests that no fault overlaps.
_MIN_SERVED_SHARE = 0.99
_MIN_CALLS_BESIDE_FAULT = 50  # without another fault nearby
_FAULT_SETTLE_MS = 4000.0  # time after a fault in which it may have effects


class _Checkers(dict[str, checks.GuaranteeChecker]):
    """Creates a checker when its guarantee is first checked."""

    def __missing__(self, name: str) -> checks.GuaranteeChecker:
        self[name] = checks.GuaranteeChecker(name)
        return self[name]


def check_guarantees(
    record: _record.SoakRecord,
) -> dict[str, checks.GuaranteeChecker]:
    """Returns a checker for each guarantee that applies to the run.

    Args:
        record: What callers, engines and the operator recorded.

    Example:
        >>> record = _record.SoakRecord()
        >>> call = _record.Call(
        ...     "r", "once", "i", "t", 0, 9, 99, 503, True, True, False, 1.0
        ... )
        >>> record.calls.append(call)
        >>> entry = _record.JournalEntry(5, "e", "run", "r", "t")
        >>> record.journal_entries.append(entry)
        >>> check_guarantees(record)["refused is not run"].violations
        ['r answered 503, ran at e']
    """
    runs = collections.defaultdict(list)
    for entry in record.journal_entries:
        if entry.event == "run":
            runs[entry.request_id].append(entry)
    checkers = _Checkers()
    for call in record.calls:
        _check_call(call, runs[call.request_id], record, checkers)
    if record.leaving:
        _check_leaving_engines(record, checkers["leaving gets nothing"])
    if record.revoked_teams:
        _check_revoked_keys(record, checkers["revoked keys do not run"])
    if record.moved_services:
        _check_moved_routes(record, checkers["a new configuration is in force"])
    if record.evacuations:
        _evacuation.check_evacuations(
            record, _TOLERANCE_MS, checkers["evacuated zones get nothing"]
        )
    if any(c.abandoned and _is_fault_free(c, record) for c in record.calls):
        _check_abandoned_calls(record, checkers["work ends with its caller"])
    _check_notices(record, checkers)
    _check_limits(record, checkers)
    if any(e.event == _cold.COLD_EVENT for e in record.journal_entries):
        _cold.check_cold_engines(
            record.journal_entries, checkers["cold engines get few requests"]
        )
    for rule in (_crashing.PROMPTS, _crashing.REQUESTS):
        if any(e.event == rule.crash for e in record.journal_entries):
            name = f"{rule.subject} that crash engines are kept away"
            _crashing.check_crashing(record, rule, checkers[name])
    for name, code in record.exits:
        checkers["stopped in time"].check(code == 0, f"{name} exit {code}")
    for name, count in record.held.items():
        checkers["memory comes back"].check(count == 0, f"{name} holds {count}")
    _check_served_without_faults(record, checkers["served without faults"])
    _check_beside_faults(
        record, _ENDLESS_FAULTS, "what has no end harms nobody else", checkers
    )
    _check_beside_faults(
        record, _SLOW_FAULTS, "who reads slowly harms nobody else", checkers
    )
    for name, memory_mb in record.peak_memory_mb.items():
        checkers["memory is bounded"].check(
            memory_mb <= _MAX_MEMORY_MB, f"{name} had {memory_mb:.0f} MB"
        )
    return dict(checkers)


def _check_call(
    call: _record.Call,
    runs: list[_record.JournalEntry],
    record: _record.SoakRecord,
    checkers: dict[str, checks.GuaranteeChecker],
) -> None:
    name = call.request_id
    if call.kind == "once":
        checkers["at most once"].check(
            len(runs) <= 1, f"{name} ran at {[r.engine for r in runs]}"
        )
        if call.status in _NOT_EXECUTED_STATUSES:
            run_engines = ", ".join(r.engine for r in runs)
            checkers["refused is not run"].check(
                not runs, f"{name} answered {call.status}, ran at {run_engines}"
            )
    if 200 <= call.status < 300:
        checkers["whole and own"].check(
            call.body_matches, f"{name} got foreign bytes"
        )
    if call.status in _NOT_EXECUTED_STATUSES:
        checkers["refusals say when"].check(
            call.retry_after_ms is not None, f"{name} answered {call.status}"
        )
    connection_lost = any(
        f.kind in _CONNECTION_LOSS_FAULTS
        and f.target == call.instance
        and f.start_ms - _TOLERANCE_MS <= call.end_ms
        and call.start_ms <= f.end_ms + _TOLERANCE_MS
        for f in record.faults
    )
    if connection_lost or call.abandoned:
        return
    answered = call.complete or call.status in _FAILURE_STATUSES
    elapsed_ms = call.end_ms - call.start_ms
    checkers["in time"].check(
        elapsed_ms
        <= call.caller_timeout_ms + _RESPONSE_BOUND_MS + _TOLERANCE_MS,
        f"{name} at {call.instance} took {elapsed_ms:.0f} ms",
    )
    stopped = any(
        f.kind == "stop"
        and f.target == call.instance
        and f.start_ms <= call.end_ms
        and call.start_ms <= f.end_ms
        for f in record.faults
    )
    if stopped:
        checkers["stopping cuts nothing"].check(
            answered
            or call.status == 0
            and not runs
            or _outlasts_grace(call, record),
            f"{name} at {call.instance} was cut",
        )


def _outlasts_grace(call: _record.Call, record: _record.SoakRecord) -> bool:
    """Returns whether an engine still worked at the end of the grace period.

    The platform does not count such a request if it was sent in time.
    """
    return any(
        f.kind == "stop"
        and f.target == call.instance
        and call.start_ms <= f.start_ms + _SENT_IN_GRACE_MS
        and any(
            entry.request_id == call.request_id
            and entry.event == "gone"
            and entry.at_ms >= f.start_ms + _LAST_OF_GRACE_MS
            for entry in record.journal_entries
        )
        for f in record.faults
    )


def _check_leaving_engines(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    for engine, acked_ms in record.leaving:
        runs = [x for x in record.journal_entries if x.engine == engine]
        late = _late_run_delays_ms(
            runs, acked_ms, _LEAVING_BOUND_MS + _TOLERANCE_MS
        )
        checker.check(not late, f"{engine} got work {late} ms on")


def _check_notices(record: _record.SoakRecord, checkers: _Checkers) -> None:
    """Checks what engines ask of the instances that got their responses.

    What reaches an engine after the instance was killed or frozen is excused.
    """
    calls = {c.request_id: c for c in record.calls}
    arrivals = collections.defaultdict(list)
    for entry in record.journal_entries:
        call = calls.get(entry.request_id)
        if call is not None and entry.event in ("run", "leaving", "pause"):
            arrivals[entry.engine, call.instance].append((entry, call))
    for (engine, instance), entries in arrivals.items():
        lost_ms = [
            f.start_ms
            for f in record.faults
            if f.target == instance and f.kind in _CONNECTION_LOSS_FAULTS
        ]
        told_ms = min(
            (e.at_ms for e, _ in entries if e.event == "leaving"), default=None
        )
        if told_ms is not None:
            bound_ms = told_ms + _LEAVING_BOUND_MS + _TOLERANCE_MS
            excused_ms = _first_after(lost_ms, told_ms)
            late = [
                c.request_id
                for e, c in entries
                if e.event == "run" and bound_ms < c.start_ms < excused_ms
            ]
            checkers["leaving by its word gets nothing"].check(
                not late, f"{engine} got {late[:_MAX_SHOWN]} from {instance}"
            )
        for pause, _ in entries:
            if pause.event != "pause":
                continue
            begin_ms = pause.at_ms + _PAUSE_GRACE_MS + _TOLERANCE_MS
            end_ms = min(
                pause.at_ms + _record.PAUSE_S * 1000.0 - _TOLERANCE_MS,
                _first_after(lost_ms, pause.at_ms - _TOLERANCE_MS),
            )
            reached = sum(
                e.event in ("run", "pause") and begin_ms < e.at_ms < end_ms
                for e, _ in entries
            )
            checkers["a pause is kept"].check(
                reached <= _MAX_IN_PAUSE,
                f"{engine} got {reached} requests from {instance}",
            )


def _check_limits(record: _record.SoakRecord, checkers: _Checkers) -> None:
    """Checks the limits of engines, summed over the instances.

    What arrives from an instance after it was killed or frozen is excused.
    """
    instances = {c.request_id: c.instance for c in record.calls}
    allowed = (
        _LIMIT_SHARE * _record.LIMIT_PER_S * _LIMIT_WINDOW_MS / 1000.0
        + _LIMIT_EXTRA
    )
    for fault in record.faults:
        if fault.kind != "engine_limits":
            continue
        for engine in fault.target.split():
            entries = [
                e
                for e in record.journal_entries
                if e.engine == engine
                and fault.start_ms <= e.at_ms <= fault.end_ms
                and e.request_id in instances
            ]
            told_ms: dict[str, float] = {}
            for entry in entries:
                if entry.event == "limited":
                    told_ms.setdefault(instances[entry.request_id], entry.at_ms)
            if not told_ms:
                continue
            counted_from_ms = min(told_ms.values()) + _LIMIT_CONTACT_MS
            arrivals = [
                entry.at_ms
                for entry in entries
                if entry.event == "run"
                and entry.at_ms >= counted_from_ms
                and _is_bound(
                    record, instances[entry.request_id], told_ms, entry.at_ms
                )
            ]
            most = max(
                (
                    sum(t <= x < t + _LIMIT_WINDOW_MS for x in arrivals)
                    for t in arrivals
                ),
                default=0,
            )
            checkers["a limit is kept"].check(
                most <= allowed,
                f"{engine} got {most} requests in 4 s, allowed {allowed:.0f}",
            )


def _is_bound(
    record: _record.SoakRecord,
    instance: str,
    told_ms: dict[str, float],
    at_ms: float,
) -> bool:
    """Returns whether an instance was told of a limit and not lost since."""
    if instance not in told_ms:
        return False
    lost_ms = [
        f.start_ms
        for f in record.faults
        if f.target == instance and f.kind in (*_CONNECTION_LOSS_FAULTS, "stop")
    ]
    bound_ms = told_ms[instance] + _LIMIT_TOLD_MS + _TOLERANCE_MS
    return bound_ms <= at_ms < _first_after(lost_ms, told_ms[instance])


def _first_after(times_ms: list[float], at_ms: float) -> float:
    return min((t for t in times_ms if t > at_ms), default=float("inf"))


def _check_revoked_keys(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    for team, acked_ms in record.revoked_teams:
        runs = [x for x in record.journal_entries if x.team == team]
        late = _late_run_delays_ms(runs, acked_ms, _REVOKED_BOUND_MS)
        checker.check(not late, f"{team} ran {late} ms on")


def _late_run_delays_ms(
    entries: list[_record.JournalEntry], acked_ms: float, bound_ms: float
) -> list[int]:
    """Returns the delays of the first few runs beyond a bound, in ms."""
    delays_ms = [round(x.at_ms - acked_ms) for x in entries if x.event == "run"]
    return [t for t in delays_ms if t > bound_ms][:_MAX_SHOWN]


def _check_moved_routes(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    """Checks that no request sent after the bound runs at the old service."""
    start_times_ms = {c.request_id: c.start_ms for c in record.calls}
    for service, acked_ms in record.moved_services:
        late = [
            entry.request_id
            for entry in record.journal_entries
            if entry.engine.startswith(service)
            and entry.event == "run"
            and start_times_ms.get(entry.request_id, 0.0)
            > acked_ms + _CONFIG_BOUND_MS + _TOLERANCE_MS
        ]
        checker.check(not late, f"{service} still runs {late[:_MAX_SHOWN]}")


def _check_abandoned_calls(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    """Checks that no engine works for a caller long after it has left."""
    entries = collections.defaultdict(list)
    for entry in record.journal_entries:
        entries[entry.request_id].append(entry)
    for call in record.calls:
        if not call.abandoned or not _is_fault_free(call, record):
            continue
        bound_ms = call.end_ms + _ABANDONED_BOUND_MS + _TOLERANCE_MS
        late = [
            f"{entry.event} {entry.at_ms - call.end_ms:.0f} ms on"
            for entry in entries[call.request_id]
            if entry.at_ms > bound_ms
        ]
        checker.check(not late, f"{call.request_id}: {late}")


def _check_served_without_faults(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    fault_free_calls = [
        c for c in record.calls if not c.abandoned and _is_fault_free(c, record)
    ]
    fault_free_calls = [
        c
        for c in fault_free_calls
        if c.team not in {t for t, _ in record.revoked_teams}
    ]
    served = sum(c.complete and 200 <= c.status < 300 for c in fault_free_calls)
    checker.check(
        bool(fault_free_calls)
        and served >= _MIN_SERVED_SHARE * len(fault_free_calls),
        f"{served} of {len(fault_free_calls)} served",
    )


def _check_beside_faults(
    record: _record.SoakRecord,
    kinds: frozenset[str],
    guarantee: str,
    checkers: _Checkers,
) -> None:
    """Checks that some kinds of faults harm no other requests.

    These are the requests that did not reach an engine at fault, without
    another fault nearby.
    """
    others = _record.SoakRecord()
    others.faults = [f for f in record.faults if f.kind not in kinds]
    for fault in record.faults:
        if fault.kind not in kinds:
            continue
        _check_loop_delays(
            record, fault, checkers["the event loop comes round"]
        )
        engines = set(fault.target.split())
        touched = {
            e.request_id for e in record.journal_entries if e.engine in engines
        }
        calls = [
            c
            for c in record.calls
            if fault.start_ms <= c.start_ms <= fault.end_ms
            and not c.abandoned
            and c.request_id not in touched
            and c.team not in {t for t, _ in record.revoked_teams}
            and _is_fault_free(c, others)
        ]
        if len(calls) < _MIN_CALLS_BESIDE_FAULT:
            continue
        served = sum(c.complete and 200 <= c.status < 300 for c in calls)
        checkers[guarantee].check(
            served >= _MIN_SERVED_SHARE * len(calls),
            f"{served} of {len(calls)} served beside {fault.kind}",
        )


def _check_loop_delays(
    record: _record.SoakRecord,
    fault: _record.Fault,
    checker: checks.GuaranteeChecker,
) -> None:
    """Checks that no event loop stands still during a fault.

    A freeze of the instance itself is excused.
    """
    frozen = [f for f in record.faults if f.kind == "freeze"]
    late = [
        f"{d.instance} {d.delay_ms:.0f} ms"
        for d in record.loop_delays
        if fault.start_ms <= d.at_ms <= fault.end_ms
        and d.delay_ms > _MAX_LOOP_DELAY_MS
        and not any(
            f.target == d.instance
            and f.start_ms <= d.at_ms <= f.end_ms + _FAULT_SETTLE_MS
            for f in frozen
        )
    ]
    checker.check(not late, f"late rounds: {late[:_MAX_SHOWN]}")


def _is_fault_free(call: _record.Call, record: _record.SoakRecord) -> bool:
    """Returns whether no fault overlaps a request or ended shortly before."""
    return not any(
        f.start_ms - _TOLERANCE_MS <= call.end_ms
        and call.start_ms <= f.end_ms + _FAULT_SETTLE_MS
        for f in record.faults
    )
