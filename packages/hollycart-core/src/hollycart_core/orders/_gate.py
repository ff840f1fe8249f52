"""Decides whether an order may be sent now; no input or output."""

from typing import NamedTuple

from hollycart_core import base
from hollycart_core.orders import _types


class GateTimes(NamedTuple):
    """Bounds of the order protocol, all in ms.

    Attributes:
        lease_ms: Time to live of the lease.
        clock_error_ms: Largest error of two clocks over one lease.
        order_timeout_ms: Longest time from sending an order to its effect.
    """

    lease_ms: float = 10_000.0
    clock_error_ms: float = 500.0
    order_timeout_ms: float = 2_000.0


class OrderGate:
    """Guards orders of one lease holder.

    An endpoint that checks fencing numbers is protected by the number. For
    one that does not, a new holder first waits out everything that the former
    holder may have sent, and every order needs enough time left on the lease
    to take effect within it.

    Args:
        times: Bounds of the protocol.

    Example:
        >>> gate = OrderGate(GateTimes(1000, 50, 200))
        >>> lease = _types.HeldLease(1, 7, 1000.0, 0.0)
        >>> gate.wait_ms(lease, checks_fence=False, now_ms=0.0)
        1250.0
        >>> gate.wait_ms(lease, checks_fence=True, now_ms=0.0)
        0.0
    """

    def __init__(self, times: GateTimes | None = None) -> None:
        self.times = times or GateTimes()

    def wait_ms(
        self, lease: _types.HeldLease, checks_fence: bool, now_ms: float
    ) -> float:
        """Returns how long to wait before the first order, in ms."""
        if checks_fence:
            return 0.0
        times = self.times
        quiet_ms = (
            times.lease_ms + times.clock_error_ms + times.order_timeout_ms
        )
        return max(0.0, lease.acquired_ms + quiet_ms - now_ms)

    def check(
        self, lease: _types.HeldLease, checks_fence: bool, now_ms: float
    ) -> None:
        """Checks the lease just before an order is sent.

        Raises:
            LeaseLostError: If the order must not be sent now.
        """
        left_ms = lease.expires_ms - now_ms
        need_ms = self.times.clock_error_ms
        if not checks_fence:
            need_ms += self.times.order_timeout_ms
        if left_ms <= need_ms:
            raise base.LeaseLostError(f"{left_ms:.0f} ms left")
        wait_ms = self.wait_ms(lease, checks_fence, now_ms)
        if wait_ms > 0:
            raise base.LeaseLostError(
                "former holder may still act", retry_after_ms=wait_ms
            )
