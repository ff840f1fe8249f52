"""Divides the memory of an entry instance."""

from hollycart.entry import _settings
from hollycart_core import base
from hollycart_core import connections

# Resident memory of an instance that holds nothing for callers.
_PROCESS_BYTES = 80 << 20
# A connection without a body: its thread, a head of 64 KB in up to 100 fields
# with its copies, and the receive buffer of the kernel.
_CONNECTION_BYTES = 256 << 10
_MIN_CONNECTIONS = 16
_BODY_COPIES = 2  # the body, and the one that is encoded for an engine
# Time for which a request waits for room before another one is refused.
_WAIT_MS = 500.0


def make_gate(
    cfg: _settings.Settings, clock: base.Clock
) -> connections.MemoryGate:
    """Returns the gate of an instance, with bounds by its memory."""
    total_bytes, account_bytes = connections.bound_held_bytes(
        _left_bytes(cfg), _BODY_COPIES * cfg.max_body_bytes
    )
    budget = connections.MemoryBudget(total_bytes, account_bytes, _WAIT_MS)
    return connections.MemoryGate(budget, clock)


def limit_connections(cfg: _settings.Settings) -> int:
    """Returns the largest number of connections from callers."""
    limit = connections.bound_connections(
        _left_bytes(cfg), _CONNECTION_BYTES, base.max_descriptors()
    )
    return min(cfg.max_conns, max(_MIN_CONNECTIONS, limit))


def _left_bytes(cfg: _settings.Settings) -> int:
    memory_bytes = cfg.memory_mb << 20 or base.machine_memory_bytes()
    return memory_bytes - _PROCESS_BYTES
