"""Runs one soak: load, faults and checks."""

import collections
import pathlib
import random
import sys

import eventlet

from hollycart_bench.soak import _caller
from hollycart_bench.soak import _faults
from hollycart_bench.soak import _judge
from hollycart_bench.soak import _record
from hollycart_bench.soak import _system
from hollycart_core import base

_WARM_UP_S = 10.0
_COOL_DOWN_S = 12.0
_SETTLE_S = 5.0  # the platform allows four seconds for the release of memory
_DIRECT_INTERVAL_S = 0.2
_READINESS_INTERVAL_S = 1.0
# A short run injects these faults; its lengths are in seconds.
_SHORT_FAULTS = frozenset(
    (
        "engine_closes_inside_event",
        "engine_endless",
        "engine_kill",
        "engine_pauses",
        "engine_reset",
        "engine_says_leaving",
        "kill",
        "store_restored",
    )
)
_SHORT_REQUIRED = frozenset(("at most once", "whole and own"))
_SHORT_WARM_UP_S = 3.0
_SHORT_COOL_DOWN_S = 6.0


def run_soak(
    folder: pathlib.Path,
    seed: int,
    per_s: float = 25.0,
    instances: int = 4,
    engines: int = 6,
    fault_free_s: float = 0.0,
    short: bool = False,
    only: frozenset[str] | None = None,
) -> int:
    """Injects each kind of fault once under load and prints the results.

    Args:
        folder: Folder for settings, journals and output.
        seed: Seed of load and faults.
        per_s: Average number of requests a second.
        instances: Number of entry instances.
        engines: Number of model engines.
        fault_free_s: Length of a run without faults, in seconds; zero for a run
            with faults.
        short: Whether only some kinds of faults are injected, and only
            guarantees are checked whose checks compare no times.
        only: Kinds of faults to inject; None for all.

    Returns:
        Zero if every guarantee was checked and none was violated, else one. A
        run without faults, or with some, need not check every guarantee.
    """
    if short and only is None:
        only = _SHORT_FAULTS
    record = _record.SoakRecord()
    system = _system.SoakSystem(folder / f"seed{seed}", instances, engines)
    try:
        system.start()
        _run_load_and_faults(
            system,
            record,
            random.Random(seed),
            per_s,
            fault_free_s,
            short,
            only,
        )
        _collect(system, record)
    finally:
        system.close()
    is_partial = fault_free_s > 0.0 or (only is not None and not short)
    return _print_report(record, seed, is_partial, short)


class _Balancer:
    """Chooses among the instances that were ready at the last check."""

    def __init__(
        self,
        system: _system.SoakSystem,
        record: _record.SoakRecord,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.record = record
        self.rng = rng
        self._ready = sorted(system.entry_instances)

    def run(self) -> None:
        """Checks readiness and memory of all instances periodically."""
        peaks = self.record.peak_memory_mb
        while True:
            names = sorted(self.system.entry_instances)
            for name in names:
                peaks[name] = max(
                    peaks.get(name, 0.0), self.system.peak_memory_mb(name)
                )
            ready = [n for n in names if self.system.is_ready(n)]
            self._ready = ready or names
            eventlet.sleep(_READINESS_INTERVAL_S)

    def choose(self) -> tuple[str, str]:
        """Returns name and address of a random instance."""
        name = self.rng.choice(self._ready)
        return name, self.system.entry_instances[name].cfg.front_address


def _run_load_and_faults(
    system: _system.SoakSystem,
    record: _record.SoakRecord,
    rng: random.Random,
    per_s: float,
    fault_free_s: float,
    short: bool,
    only: frozenset[str] | None,
) -> None:
    clock = base.SystemClock()
    balancer = _Balancer(system, record, random.Random(rng.random()))
    caller = _caller.Caller(
        dict(system.keys),
        balancer.choose,
        record,
        clock,
        random.Random(rng.random()),
    )
    pool = eventlet.GreenPool(400)
    loops = [
        eventlet.spawn(balancer.run),
        eventlet.spawn(
            _send_load, caller, pool, per_s, random.Random(rng.random())
        ),
    ]
    eventlet.sleep(_SHORT_WARM_UP_S if short else _WARM_UP_S)
    if fault_free_s:
        loops.append(eventlet.spawn(_send_direct, caller, system))
        eventlet.sleep(fault_free_s)
    else:
        _faults.FaultInjector(
            system,
            record,
            clock,
            random.Random(rng.random()),
            only,
        ).run()
    eventlet.sleep(_SHORT_COOL_DOWN_S if short else _COOL_DOWN_S)
    for loop in loops:
        loop.kill()
    pool.waitall()


def _send_load(
    caller: _caller.Caller,
    pool: eventlet.GreenPool,
    per_s: float,
    rng: random.Random,
) -> None:
    while True:
        pool.spawn_n(caller.send)
        eventlet.sleep(rng.expovariate(per_s))


def _send_direct(caller: _caller.Caller, system: _system.SoakSystem) -> None:
    """Measures the engines' response times without an entry instance."""
    while True:
        for address in system.plain_service_addresses():
            caller.send_direct(address)
            eventlet.sleep(_DIRECT_INTERVAL_S)


def _collect(system: _system.SoakSystem, record: _record.SoakRecord) -> None:
    eventlet.sleep(_SETTLE_S)
    for name in system.entry_instances:
        record.loop_delays += system.loop_delays(name)
    for engine_id in system.engines:
        record.held[engine_id] = system.held(engine_id)
    for path in system.journals():
        for line in path.read_text(encoding="utf-8").splitlines():
            at_ms, engine, event, request_id, team = line.split("\t")
            record.journal_entries.append(
                _record.JournalEntry(
                    float(at_ms), engine, event, request_id, team
                )
            )


def _format_first_byte_times(record: _record.SoakRecord) -> list[str]:
    """Returns a table of the times to the first byte by kind of request."""
    lines = ["    kind  count  p50 ms  p95 ms"]
    for kind in sorted({c.kind for c in record.calls}):
        times = sorted(
            c.first_byte_ms
            for c in record.calls
            if c.kind == kind
            and c.first_byte_ms is not None
            and c.status == 200
        )
        lines += _format_row(kind, times)
    return lines + _format_row("direct", sorted(record.direct_ms))


def _format_row(kind: str, times: list[float]) -> list[str]:
    if not times:
        return []
    median_ms, p95_ms = times[len(times) // 2], times[len(times) * 95 // 100]
    return [f"{kind:>8} {len(times):6} {median_ms:7.1f} {p95_ms:7.1f}"]


def _print_report(
    record: _record.SoakRecord, seed: int, is_partial: bool, short: bool
) -> int:
    expected = _judge.UNTIMED_GUARANTEES if short else _judge.GUARANTEES
    printed = expected if short else expected | _judge.OPTIONAL_GUARANTEES
    checkers = {
        name: checker
        for name, checker in _judge.check_guarantees(record).items()
        if name in printed
    }
    kinds = collections.Counter(c.kind for c in record.calls)
    statuses = collections.Counter(c.status for c in record.calls)
    lines = [f"seed {seed}: {dict(kinds)} by status {dict(statuses)}"]
    for fault in record.faults:
        duration_s = (fault.end_ms - fault.start_ms) / 1000.0
        lines.append(f"  {fault.kind} {fault.target} {duration_s:.1f} s")
    lines += _format_first_byte_times(record)
    required = _SHORT_REQUIRED if short else expected
    missing = set() if is_partial else required - set(checkers)
    lines += [f"not judged: {name}" for name in sorted(missing)]
    for name, checker in checkers.items():
        outcome = "ok" if checker.passed else "FAILED"
        lines.append(f"{name:>26}: {outcome}, {checker.checks} checks")
        lines += [f"      {v}" for v in checker.violations[:8]]
    sys.stdout.write("\n".join(lines) + "\n")
    all_passed = all(v.passed for v in checkers.values())
    return 0 if all_passed and not missing else 1
