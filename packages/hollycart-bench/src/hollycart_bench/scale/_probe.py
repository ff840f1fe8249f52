"""What one instance uses, read from outside and from its status."""

import time
from typing import Any
from typing import NamedTuple

import eventlet

from hollycart_bench import fleet


class Usage(NamedTuple):
    """Use of one instance over a window.

    Attributes:
        name: The instance.
        owner: Whether it owned the pool.
        cpu_share: Processor time over time, one being a whole core.
        memory_mb: Resident memory at the end, in MB.
        peer_bytes_s: Bytes per second sent to and received from instances.
        kv_calls_s: Calls to the key-value service per second.
        requests_s: Requests answered per second.
    """

    name: str
    owner: bool
    cpu_share: float
    memory_mb: float
    peer_bytes_s: float
    kv_calls_s: float
    requests_s: float


def measure_usage(system: fleet.Fleet, window_s: float) -> list[Usage]:
    """Measures all running instances over a window.

    Args:
        system: The system.
        window_s: Length of the window, in seconds.

    Returns:
        One row an instance.
    """
    names = [n for n in system.instance_names() if system.is_running(n)]
    started = time.monotonic()
    before = {n: system.status(n) for n in names}
    eventlet.sleep(window_s)
    after = {n: system.status(n) for n in names}
    elapsed_s = time.monotonic() - started
    return [_usage(system, n, before[n], after[n], elapsed_s) for n in names]


def mean_usage(rows: list[Usage], field: str) -> float:
    """Returns the mean of a field over instances."""
    return sum(getattr(r, field) for r in rows) / max(1, len(rows))


def max_usage(rows: list[Usage], field: str) -> float:
    """Returns the largest value of a field over instances."""
    return max(getattr(r, field) for r in rows)


def _usage(
    system: fleet.Fleet,
    name: str,
    before: dict[str, Any],
    after: dict[str, Any],
    elapsed_s: float,
) -> Usage:
    pools = after["pools"].values()
    return Usage(
        name,
        any(p["owner"] == name for p in pools),
        (after["cpu_s"] - before["cpu_s"]) / elapsed_s,
        after["memory_mb"],
        (_bytes(after) - _bytes(before)) / elapsed_s,
        (_calls(after) - _calls(before)) / elapsed_s,
        (_requests(after) - _requests(before)) / elapsed_s,
    )


def _bytes(status: dict[str, Any]) -> int:
    return status["peer_bytes_sent"] + status["peer_bytes_received"]


def _calls(status: dict[str, Any]) -> int:
    return sum(status["kv_calls"].values())


def _requests(status: dict[str, Any]) -> int:
    return status["counters"].get("request.completion", 0)
