"""One soak: load, faults, verdicts."""

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

_WARM_S = 10.0
_COOL_S = 12.0
_SETTLE_S = 5.0  # the platform gives memory four seconds to come back
_DIRECT_S = 0.2  # between two requests that pass no instance
_BALANCE_S = 1.0  # between two looks at readiness


def run_soak(
    folder: pathlib.Path,
    seed: int,
    per_s: float = 25.0,
    instances: int = 4,
    engines: int = 6,
    fault_free_s: float = 0.0,
) -> int:
    """Plays every kind of fault once under load and prints the verdicts.

    Args:
        folder: Folder for settings, journals and output.
        seed: Seed of load and faults.
        per_s: Requests a second.
        instances: Number of entry instances.
        engines: Number of model engines.
        fault_free_s: Plays no fault for this long instead, in seconds.

    Returns:
        Zero if every promise was checked and kept.
    """
    record = _record.SoakRecord()
    system = _system.SoakSystem(folder / f"seed{seed}", instances, engines)
    try:
        system.start()
        _play(system, record, random.Random(seed), per_s, fault_free_s)
        _collect(system, record)
    finally:
        system.close()
    return _report(record, seed, fault_free_s)


class _Balancer:
    """Knows which instances take callers, a second late."""

    def __init__(self, system: _system.SoakSystem, rng: random.Random) -> None:
        self.system = system
        self.rng = rng
        self._ready = sorted(system.nodes)

    def run(self) -> None:
        """Looks again and again."""
        while True:
            names = sorted(self.system.nodes)
            ready = [n for n in names if self.system.ready(n)]
            self._ready = ready or names
            eventlet.sleep(_BALANCE_S)

    def choose(self) -> tuple[str, str]:
        """Returns name and address of an instance."""
        name = self.rng.choice(self._ready)
        return name, self.system.nodes[name].cfg.front_address


def _play(
    system: _system.SoakSystem,
    record: _record.SoakRecord,
    rng: random.Random,
    per_s: float,
    fault_free_s: float,
) -> None:
    clock = base.SystemClock()
    balancer = _Balancer(system, random.Random(rng.random()))
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
        eventlet.spawn(_load, caller, pool, per_s, random.Random(rng.random())),
    ]
    eventlet.sleep(_WARM_S)
    if fault_free_s:
        loops.append(eventlet.spawn(_send_direct, caller, system))
        eventlet.sleep(fault_free_s)
    else:
        _faults.FaultInjector(
            system, record, clock, random.Random(rng.random())
        ).run()
    eventlet.sleep(_COOL_S)
    for loop in loops:
        loop.kill()
    pool.waitall()


def _load(
    caller: _caller.Caller,
    pool: eventlet.GreenPool,
    per_s: float,
    rng: random.Random,
) -> None:
    while True:
        pool.spawn_n(caller.send)
        eventlet.sleep(rng.expovariate(per_s))


def _send_direct(caller: _caller.Caller, system: _system.SoakSystem) -> None:
    """Measures what the engines need without an instance between."""
    while True:
        for address in system.plain_addresses():
            caller.send_direct(address)
            eventlet.sleep(_DIRECT_S)


def _collect(system: _system.SoakSystem, record: _record.SoakRecord) -> None:
    eventlet.sleep(_SETTLE_S)
    for engine_id in system.engines:
        record.held[engine_id] = system.held(engine_id)
    for path in system.journals():
        for line in path.read_text(encoding="utf-8").splitlines():
            at_ms, engine, what, request_id, team = line.split("\t")
            record.lines.append(
                _record.EngineLine(float(at_ms), engine, what, request_id, team)
            )


def _first_table(record: _record.SoakRecord) -> list[str]:
    """Returns times to the first byte by kind."""
    lines = ["    kind  count  p50 ms  p95 ms"]
    for kind in sorted({c.kind for c in record.calls}):
        times = sorted(
            c.first_ms
            for c in record.calls
            if c.kind == kind and c.first_ms is not None and c.status == 200
        )
        lines += _row(kind, times)
    return lines + _row("direct", sorted(record.direct_ms))


def _row(kind: str, times: list[float]) -> list[str]:
    if not times:
        return []
    median, late = times[len(times) // 2], times[len(times) * 95 // 100]
    return [f"{kind:>8} {len(times):6} {median:7.1f} {late:7.1f}"]


def _report(record: _record.SoakRecord, seed: int, fault_free_s: float) -> int:
    checkers = _judge.judge(record)
    kinds = collections.Counter(c.kind for c in record.calls)
    statuses = collections.Counter(c.status for c in record.calls)
    lines = [f"seed {seed}: {dict(kinds)} by status {dict(statuses)}"]
    for fault in record.faults:
        span_s = (fault.ended_ms - fault.began_ms) / 1000.0
        lines.append(f"  {fault.kind} {fault.target} {span_s:.1f} s")
    lines += _first_table(record)
    missing = set() if fault_free_s else _judge.PROMISES - set(checkers)
    lines += [f"not judged: {name}" for name in sorted(missing)]
    for name, checker in checkers.items():
        flag = "ok" if checker.passed else "FAILED"
        lines.append(f"{name:>26}: {flag}, {checker.checks} checks")
        lines += [f"      {v}" for v in checker.violations[:8]]
    sys.stdout.write("\n".join(lines) + "\n")
    kept = all(v.passed for v in checkers.values())
    return 0 if kept and not missing else 1
