"""Measures one instance in front of many callers that read slowly."""

import collections
import itertools
import pathlib
import random
import sys

import eventlet

from hollycart_bench.soak import _caller
from hollycart_bench.soak import _record
from hollycart_bench.soak import _slow_peers
from hollycart_bench.soak import _system
from hollycart_core import base

_SETTLE_S = 2.0
_SAMPLE_S = 0.5
_SHED = '"event":"response_shed"'


def run_slow_readers(
    folder: pathlib.Path,
    callers: int = 500,
    bytes_per_s: int = 2000,
    per_s: float = 20.0,
    seconds: float = 60.0,
    memory_mb: int = 200,
) -> int:
    """Prints the peak memory, and the share of other requests served whole.

    Args:
        folder: Folder for settings, journals and output.
        callers: Callers that request an answer of 1 MB.
        bytes_per_s: Bytes that each of them reads in a second.
        per_s: Other requests a second.
        seconds: Length of the run, in s.
        memory_mb: Memory that the instance is told, in MB.

    Returns:
        Zero if the instance stayed below that and served all others whole.
    """
    system = _system.SoakSystem(folder, 1, 1, memory_mb << 20)
    record = _record.SoakRecord()
    try:
        system.start()
        slow, peak_mb = _run(
            system, record, callers, bytes_per_s, per_s, seconds
        )
        log = (folder / "n0.log").read_text(encoding="utf-8")
    finally:
        system.close()
    whole = [c for c in record.calls if c.complete and c.body_matches]
    served = sum(c.status == 200 for c in whole)
    times = sorted(c.end_ms - c.start_ms for c in record.calls)
    lines = [
        f"peak memory {peak_mb:.0f} MB",
        f"others: {served} of {len(record.calls)} whole, by status "
        f"{dict(collections.Counter(c.status for c in record.calls))}, p50 "
        f"{times[len(times) // 2]:.0f} ms, p99 "
        f"{times[len(times) * 99 // 100]:.0f} ms",
        f"slow callers by status "
        f"{dict(collections.Counter(c.status for c in slow))}: "
        f"{log.count(_SHED)} of {len(slow)} responses shed, "
        f"{sum(c.ended for c in slow)} connections ended before the run",
    ]
    sys.stdout.write("\n".join(lines) + "\n")
    return int(peak_mb > memory_mb or served < len(record.calls))


def _run(
    system: _system.SoakSystem,
    record: _record.SoakRecord,
    callers: int,
    bytes_per_s: int,
    per_s: float,
    seconds: float,
) -> tuple[list[_slow_peers.SlowCaller], float]:
    clock, rng = base.SystemClock(), random.Random(1)
    address = system.entry_instances["n0"].cfg.front_address
    caller = _caller.Caller(
        dict(system.keys), lambda: ("n0", address), record, clock, rng
    )
    sys.stdout.write(f"at rest {system.peak_memory_mb('n0'):.0f} MB\n")
    numbers = itertools.count()
    run_id = rng.getrandbits(32)
    slow, slow_pool = _slow_peers.start_callers(
        address,
        sorted(system.keys.values()),
        callers,
        bytes_per_s,
        seconds,
        lambda: f"{run_id:08x}{next(numbers):08x}",
    )
    pool = eventlet.GreenPool(400)
    end_ms = clock.now_ms() + seconds * 1000.0
    next_sample_ms = 0.0
    peak_mb = 0.0
    while clock.now_ms() < end_ms:
        pool.spawn_n(caller.send_plain)
        if clock.now_ms() >= next_sample_ms:
            next_sample_ms = clock.now_ms() + _SAMPLE_S * 1000.0
            peak_mb = max(peak_mb, system.peak_memory_mb("n0"))
        eventlet.sleep(rng.expovariate(per_s))
    pool.waitall()
    slow_pool.waitall()
    eventlet.sleep(_SETTLE_S)
    return slow, max(peak_mb, system.peak_memory_mb("n0"))
