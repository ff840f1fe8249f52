"""Divides the memory of the process."""

from typing import NamedTuple

from hollycart.gateway import _settings
from hollycart_core import base
from hollycart_core import connections

# Resident memory of an instance that holds nothing for callers, with the state
# of a large deployment.
_PROCESS_BYTES = 60 << 20
# The longest answer that is not a stream, and a small request body beside it.
_MIN_ACCOUNT_BYTES = 9 << 20
_HEAD_BYTES = 1 << 20  # what a request may hold besides its body
# An engine cuts off a response that was not read for 2 s. Callers that read
# promptly take a megabyte in a fifth of this time at 10 MB/s.
_WAIT_MS = 500.0
# A connection that is idle or receives a head: its thread, socket and parser, a
# head within the usual limit, and the receive buffer of the kernel.
_CONNECTION_BYTES = 96 << 10
_MIN_CONNECTIONS = 16  # of a listener


class ConnectionLimits(NamedTuple):
    """Largest number of connections that others open to a listener.

    Attributes:
        front: Of callers.
        peers: Of other instances.
        ready: Of load balancers.
        metrics: Of collectors and operators.
    """

    front: int
    peers: int
    ready: int
    metrics: int


# Callers have the largest part. All other instances may fetch the state at
# once, and a balancer or a collector keeps a few connections.
_SHARES = ConnectionLimits(10, 4, 1, 1)


def limit_connections(policy: _settings.PolicySettings) -> ConnectionLimits:
    """Returns the limits by memory and descriptors of the process.

    Example:
        >>> policy = _settings.PolicySettings(
        ...     memory_bytes=300 << 20, max_descriptors=4100
        ... )
        >>> limit_connections(policy)
        ConnectionLimits(front=480, peers=192, ready=48, metrics=48)
        >>> limit_connections(policy._replace(max_descriptors=300)).front
        31
    """
    total = connections.bound_connections(
        _left_bytes(policy),
        _CONNECTION_BYTES,
        policy.max_descriptors or base.max_descriptors(),
    )
    return ConnectionLimits(
        *(
            max(_MIN_CONNECTIONS, int(total * share / sum(_SHARES)))
            for share in _SHARES
        )
    )


def make_gate(
    policy: _settings.PolicySettings, clock: base.Clock
) -> connections.MemoryGate:
    """Returns the gate of an instance, with bounds by its memory."""
    budget = connections.MemoryBudget(0, 0, _WAIT_MS)
    apply_bounds(budget, policy)
    return connections.MemoryGate(budget, clock)


def apply_bounds(
    budget: connections.MemoryBudget,
    policy: _settings.PolicySettings,
    max_body_bytes: int = 0,
) -> None:
    """Sets the bounds of a budget by the memory of the process.

    Args:
        budget: The budget.
        policy: What the deployment asks for.
        max_body_bytes: Largest body of a request, in bytes, for which there
            has to be room whatever the memory; 0 if it is not known.

    Example:
        >>> budget = connections.MemoryBudget(0, 0, 500.0)
        >>> policy = _settings.PolicySettings(memory_bytes=200 << 20)
        >>> apply_bounds(budget, policy)
        >>> budget.total_bytes >> 20, budget.account_bytes >> 20
        (70, 17)
        >>> apply_bounds(budget, policy, max_body_bytes=64 << 20)
        >>> budget.total_bytes >> 20, budget.account_bytes >> 20
        (70, 65)
        >>> apply_bounds(budget, _settings.PolicySettings())
        >>> budget.total_bytes < base.machine_memory_bytes()
        True
    """
    budget.total_bytes, budget.account_bytes = connections.bound_held_bytes(
        _left_bytes(policy),
        max(_MIN_ACCOUNT_BYTES, max_body_bytes + _HEAD_BYTES),
    )


def _left_bytes(policy: _settings.PolicySettings) -> int:
    memory_bytes = policy.memory_bytes or base.machine_memory_bytes()
    return memory_bytes - _PROCESS_BYTES
