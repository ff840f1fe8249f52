"""Orders to endpoints and the lease under which they are sent."""

from typing import NamedTuple


class Order(NamedTuple):
    """The target state of one endpoint, as a whole and not as a change.

    Attributes:
        endpoint_id: Id of the endpoint.
        models: Models, adapters and versions that it must load.
        role: Role that it must take.
    """

    endpoint_id: str
    models: tuple[str, ...]
    role: str


class HeldLease(NamedTuple):
    """A lease from the view of its holder.

    Attributes:
        lease_id: Id of the lease in the key-value store.
        fence: Fencing token, higher than that of every earlier holder.
        expires_ms: Monotonic time until which the holder may rely on the lease,
            counted from before the last renewal was sent.
        acquired_ms: Monotonic time at which the lease was acquired.
    """

    lease_id: int
    fence: int
    expires_ms: float
    acquired_ms: float
