"""Orders to endpoints and the leases they are sent under."""

from typing import NamedTuple


class Order(NamedTuple):
    """An absolute target state of one endpoint.

    Attributes:
        endpoint_id: The endpoint.
        models: Models, adapters and versions that it is to hold.
        role: What it is to do.
    """

    endpoint_id: str
    models: tuple[str, ...]
    role: str


class HeldLease(NamedTuple):
    """A lease as its holder knows it.

    Attributes:
        lease_id: Lease of the key-value service.
        fence: Fencing number, higher than that of every earlier holder.
        expires_ms: Latest monotonic time at which the holder may rely on it,
            counted from before the last renewal was sent.
        acquired_ms: Monotonic time at which the lease was acquired.
    """

    lease_id: int
    fence: int
    expires_ms: float
    acquired_ms: float
