"""Checks whether an order may be sent now; performs no I/O."""

from typing import NamedTuple

from hollycart_core import base
from hollycart_core.orders import _types


class OrderTimings(NamedTuple):
    """Time bounds of the order protocol, all in ms.

    Attributes:
        lease_ms: Time to live of the lease.
        clock_error_ms: Largest drift between two clocks during one lease.
        order_timeout_ms: Longest time between sending an order and its effect.
    """

    lease_ms: float = 10_000.0
    clock_error_ms: float = 500.0
    order_timeout_ms: float = 2_000.0


class OrderGate:
    """Prevents conflicting orders by two lease holders.

    An endpoint that checks fencing tokens rejects orders of a former holder.
    For an endpoint that does not, a new holder first waits until no order of
    the former holder can still take effect. In addition, enough time must
    remain on the lease for each order to take effect before it expires.

    Args:
        timings: Time bounds of the protocol.

    Example:
        >>> gate = OrderGate(OrderTimings(1000, 50, 200))
        >>> lease = _types.HeldLease(1, 7, 1000.0, 0.0)
        >>> gate.wait_ms(lease, checks_fence=False, now_ms=0.0)
        1250.0
        >>> gate.wait_ms(lease, checks_fence=True, now_ms=0.0)
        0.0
    """

    def __init__(self, timings: OrderTimings | None = None) -> None:
        self.timings = timings or OrderTimings()

    def wait_ms(
        self, lease: _types.HeldLease, checks_fence: bool, now_ms: float
    ) -> float:
        """Returns how long to wait before the first order, in ms.

        Args:
            lease: The lease of the new holder.
            checks_fence: Whether the endpoint checks fencing tokens.
            now_ms: Current monotonic time.
        """
        if checks_fence:
            return 0.0
        timings = self.timings
        takeover_wait_ms = (
            timings.lease_ms + timings.clock_error_ms + timings.order_timeout_ms
        )
        return max(0.0, lease.acquired_ms + takeover_wait_ms - now_ms)

    def check(
        self, lease: _types.HeldLease, checks_fence: bool, now_ms: float
    ) -> None:
        """Checks the lease just before an order is sent.

        Args:
            lease: The lease of the sender.
            checks_fence: Whether the endpoint checks fencing tokens.
            now_ms: Current monotonic time.

        Raises:
            LeaseLostError: If the order must not be sent now.
        """
        remaining_ms = lease.expires_ms - now_ms
        required_ms = self.timings.clock_error_ms
        if not checks_fence:
            required_ms += self.timings.order_timeout_ms
        if remaining_ms <= required_ms:
            raise base.LeaseLostError(
                f"lease has {remaining_ms:.0f} ms left, too little for an order"
            )
        wait_ms = self.wait_ms(lease, checks_fence, now_ms)
        if wait_ms > 0:
            raise base.LeaseLostError(
                "an order of the former lease holder may still take effect",
                retry_after_ms=wait_ms,
            )
