"""Divides the memory of the process."""

from hollycart.gateway import _settings
from hollycart_core import base
from hollycart_core import connections

# Resident memory of an instance that holds nothing for callers, with the state
# of a large deployment.
_PROCESS_BYTES = 60 << 20
# Share of the rest that may be held for requests and responses. What is left
# over is for threads, sockets and parsers of the connections, for pieces that
# arrive while there is no room, and for fragmentation.
_HELD_SHARE = 0.5
_MIN_HELD_BYTES = 16 << 20
# The longest answer that is not a stream, and a request body beside it.
_MIN_ACCOUNT_BYTES = 9 << 20
_ACCOUNT_SHARE = 0.25
# An engine cuts off a response that was not read for 2 s. Callers that read
# promptly take a megabyte in a fifth of this time at 10 MB/s.
_WAIT_MS = 500.0


def make_gate(
    policy: _settings.PolicySettings, clock: base.Clock
) -> connections.MemoryGate:
    """Returns the gate of an instance, with bounds by its memory."""
    budget = connections.MemoryBudget(0, 0, _WAIT_MS)
    apply_bounds(budget, policy)
    return connections.MemoryGate(budget, clock)


def apply_bounds(
    budget: connections.MemoryBudget, policy: _settings.PolicySettings
) -> None:
    """Sets the bounds of a budget by the memory of the process.

    Example:
        >>> budget = connections.MemoryBudget(0, 0, 500.0)
        >>> policy = _settings.PolicySettings(memory_bytes=200 << 20)
        >>> apply_bounds(budget, policy)
        >>> budget.total_bytes >> 20, budget.account_bytes >> 20
        (70, 17)
        >>> apply_bounds(budget, _settings.PolicySettings())
        >>> budget.total_bytes < base.machine_memory_bytes()
        True
    """
    memory_bytes = policy.memory_bytes or base.machine_memory_bytes()
    left_bytes = memory_bytes - _PROCESS_BYTES
    budget.total_bytes = max(_MIN_HELD_BYTES, int(left_bytes * _HELD_SHARE))
    budget.account_bytes = max(
        _MIN_ACCOUNT_BYTES, int(budget.total_bytes * _ACCOUNT_SHARE)
    )
