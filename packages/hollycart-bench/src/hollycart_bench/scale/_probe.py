"""Resource use of each instance, from the status that it reports."""

import time
from typing import Any
from typing import NamedTuple

import eventlet

from hollycart_bench import fleet


class Usage(NamedTuple):
    """Resource use of one instance over a window.

    Attributes:
        name: Name of the instance.
        owner: Whether the instance owns the pool at the end.
        cpu_share: Processor time over elapsed time; 1 is a whole core.
        memory_mb: Resident memory at the end, in MB.
        peer_bytes_per_s: Bytes per second sent to and received from other
            instances.
        kv_calls_per_s: Calls to the key-value store per second.
        requests_per_s: Completion requests per second.
    """

    name: str
    owner: bool
    cpu_share: float
    memory_mb: float
    peer_bytes_per_s: float
    kv_calls_per_s: float
    requests_per_s: float


def measure_usage(system: fleet.Fleet, window_s: float) -> list[Usage]:
    """Measures all running instances over a window.

    Args:
        system: The running system.
        window_s: Length of the window, in seconds.

    Returns:
        The resource use, one row per instance.
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
        (_peer_bytes(after) - _peer_bytes(before)) / elapsed_s,
        (_kv_calls(after) - _kv_calls(before)) / elapsed_s,
        (_request_count(after) - _request_count(before)) / elapsed_s,
    )


def _peer_bytes(status: dict[str, Any]) -> int:
    return status["peer_bytes_sent"] + status["peer_bytes_received"]


def _kv_calls(status: dict[str, Any]) -> int:
    return sum(status["kv_calls"].values())


def _request_count(status: dict[str, Any]) -> int:
    return status["counters"].get("request.completion", 0)
