"""Judges what is promised from what callers and engines have seen."""

import collections

from hollycart_bench import checks
from hollycart_bench.soak import _record

# Bounds of the platform's rules, in ms.
_LEAVING_MS = 2000.0
_REVOKED_MS = 5000.0
_APPLY_MS = 2000.0
_LATE_MS = 500.0
_GONE_MS = 500.0
# Error of the comparison of two processes' clocks and of a busy machine.
_SLACK_MS = 250.0
_SHOWN = 5  # of what broke a promise
# Faults after which an instance may leave its callers without an answer.
_BREAKING = frozenset(("kill", "freeze"))
_FAILED = (502, 504)
_PROMISES = (408, 421, 429, 503)
# Promises that a run with every kind of fault has to judge.
PROMISES = frozenset(
    (
        "a new configuration is in force",
        "at most once",
        "in time",
        "leaving gets nothing",
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
# Part of the requests without any fault nearby that have to be served.
_CALM_SHARE = 0.99
_CALM_MS = 4000.0  # nothing is disturbed any more after this time


class _Checkers(dict[str, checks.GuaranteeChecker]):
    """Makes a verdict when its promise is first judged."""

    def __missing__(self, name: str) -> checks.GuaranteeChecker:
        self[name] = checks.GuaranteeChecker(name)
        return self[name]


def judge(record: _record.SoakRecord) -> dict[str, checks.GuaranteeChecker]:
    """Returns a verdict for each promise.

    Args:
        record: What a run has left.

    Example:
        >>> record = _record.SoakRecord()
        >>> call = _record.Call(
        ...     "r", "once", "i", "t", 0, 9, 99, 503, True, True, False, 1.0
        ... )
        >>> record.calls.append(call)
        >>> record.lines.append(_record.EngineLine(5, "e", "run", "r", "t"))
        >>> judge(record)["refused is not run"].violations
        ['r answered 503, ran at e']
    """
    runs = collections.defaultdict(list)
    for line in record.lines:
        if line.what == "run":
            runs[line.request_id].append(line)
    checkers = _Checkers()
    for call in record.calls:
        _judge_call(call, runs[call.request_id], record, checkers)
    if record.leaving:
        _judge_leaving(record, checkers["leaving gets nothing"])
    if record.revoked:
        _judge_revoked(record, checkers["revoked keys do not run"])
    if record.moved:
        _judge_moved(record, checkers["a new configuration is in force"])
    if any(c.left and _calm(c, record) for c in record.calls):
        _judge_gone(record, checkers["work ends with its caller"])
    for name, code in record.exits:
        checkers["stopped in time"].check(code == 0, f"{name} exit {code}")
    for name, count in record.held.items():
        checkers["memory comes back"].check(count == 0, f"{name} holds {count}")
    _judge_calm(record, checkers["served without faults"])
    return dict(checkers)


def _judge_call(
    call: _record.Call,
    runs: list[_record.EngineLine],
    record: _record.SoakRecord,
    checkers: dict[str, checks.GuaranteeChecker],
) -> None:
    name = call.request_id
    if call.kind == "once":
        checkers["at most once"].check(
            len(runs) <= 1, f"{name} ran at {[r.engine for r in runs]}"
        )
        if call.status in _PROMISES:
            ran = ", ".join(r.engine for r in runs)
            checkers["refused is not run"].check(
                not runs, f"{name} answered {call.status}, ran at {ran}"
            )
    if 200 <= call.status < 300:
        checkers["whole and own"].check(call.own, f"{name} got foreign bytes")
    if call.status in _PROMISES:
        checkers["refusals say when"].check(
            call.retry_after_ms is not None, f"{name} answered {call.status}"
        )
    broken = any(
        f.kind in _BREAKING
        and f.target == call.instance
        and f.began_ms - _SLACK_MS <= call.ended_ms
        and call.began_ms <= f.ended_ms + _SLACK_MS
        for f in record.faults
    )
    if broken or call.left:
        return
    answered = call.complete or call.status in _FAILED
    spent_ms = call.ended_ms - call.began_ms
    checkers["in time"].check(
        spent_ms <= call.wait_ms + _LATE_MS + _SLACK_MS,
        f"{name} at {call.instance} took {spent_ms:.0f} ms",
    )
    stopped = any(
        f.kind == "stop"
        and f.target == call.instance
        and f.began_ms <= call.ended_ms
        and call.began_ms <= f.ended_ms
        for f in record.faults
    )
    if stopped:
        checkers["stopping cuts nothing"].check(
            answered or call.status == 0 and not runs,
            f"{name} at {call.instance} was cut",
        )


def _judge_leaving(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    for engine, acked_ms in record.leaving:
        runs = [x for x in record.lines if x.engine == engine]
        late = _late(runs, acked_ms, _LEAVING_MS + _SLACK_MS)
        checker.check(not late, f"{engine} got work {late} ms on")


def _judge_revoked(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    for team, acked_ms in record.revoked:
        runs = [x for x in record.lines if x.team == team]
        late = _late(runs, acked_ms, _REVOKED_MS)
        checker.check(not late, f"{team} ran {late} ms on")


def _late(
    lines: list[_record.EngineLine], acked_ms: float, bound_ms: float
) -> list[int]:
    """Returns when the first few runs beyond a bound came, in ms."""
    times = [round(x.at_ms - acked_ms) for x in lines if x.what == "run"]
    return [t for t in times if t > bound_ms][:_SHOWN]


def _judge_moved(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    """No request that was sent later runs at the former service."""
    began_ms = {c.request_id: c.began_ms for c in record.calls}
    for service, acked_ms in record.moved:
        late = [
            line.request_id
            for line in record.lines
            if line.engine.startswith(service)
            and line.what == "run"
            and began_ms.get(line.request_id, 0.0)
            > acked_ms + _APPLY_MS + _SLACK_MS
        ]
        checker.check(not late, f"{service} still runs {late[:_SHOWN]}")


def _judge_gone(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    """No work begins or goes on long after its caller has left."""
    lines = collections.defaultdict(list)
    for line in record.lines:
        lines[line.request_id].append(line)
    for call in record.calls:
        if not call.left or not _calm(call, record):
            continue
        bound_ms = call.ended_ms + _GONE_MS + _SLACK_MS
        late = [
            f"{line.what} {line.at_ms - call.ended_ms:.0f} ms on"
            for line in lines[call.request_id]
            if line.at_ms > bound_ms
        ]
        checker.check(not late, f"{call.request_id}: {late}")


def _judge_calm(
    record: _record.SoakRecord, checker: checks.GuaranteeChecker
) -> None:
    calm = [c for c in record.calls if not c.left and _calm(c, record)]
    calm = [c for c in calm if c.team not in {t for t, _ in record.revoked}]
    served = sum(c.complete and 200 <= c.status < 300 for c in calm)
    checker.check(
        bool(calm) and served >= _CALM_SHARE * len(calm),
        f"{served} of {len(calm)} served",
    )


def _calm(call: _record.Call, record: _record.SoakRecord) -> bool:
    return not any(
        f.began_ms - _SLACK_MS <= call.ended_ms
        and call.began_ms <= f.ended_ms + _CALM_MS
        for f in record.faults
    )
