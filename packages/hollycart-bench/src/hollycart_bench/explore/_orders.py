"""Scenario: two holders of the order lease, whose lease may expire."""

from collections.abc import Callable

from hollycart_bench.explore import _explorer
from hollycart_bench.explore import _store
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import orders

_TIMINGS = orders.OrderTimings(1000.0, 50.0, 400.0)
_STEP_INTERVAL_MS = 310.0
_STEPS_PER_HOLDER = 11


class OrderScenario:
    """Two instances take turns at sending orders to one endpoint.

    Each sends orders while it holds the lease, with the real
    `orders.OrderLease` and `orders.OrderGate`. Time advances after each step,
    so that a lease can expire before its holder continues.

    There is no scheduling point between the check of the lease and the send.
    The scenario therefore does not cover a process that is suspended there; the
    design notes state what can happen then.

    Args:
        checks_fence: Whether the endpoint refuses stale fencing tokens.
        waits_for_predecessor: Whether a new holder waits until no order of the
            former one can take effect; False shows that the exploration finds
            violations.

    Attributes:
        accepted: Fencing token and time, in ms, of the orders accepted in the
            current run.
        accepted_orders: Number of accepted orders in all runs.
        runs_with_lease_change: Number of runs that accepted orders under more
            than one fencing token.
    """

    def __init__(
        self, checks_fence: bool, waits_for_predecessor: bool = True
    ) -> None:
        self.checks_fence = checks_fence
        self.waits_for_predecessor = waits_for_predecessor
        self.accepted: list[tuple[int, float]] = []
        self.accepted_orders = 0
        self.runs_with_lease_change = 0

    def actors(
        self, scheduler: _explorer.Scheduler
    ) -> list[Callable[[], None]]:
        """Returns the two holders, over an empty store."""
        self.accepted = []
        clock = base.ManualClock()
        memory = kv.MemoryStore(clock)
        return [
            self._actor(
                orders.OrderLease(
                    _store.scheduled_store(memory, scheduler),
                    f"i{number}",
                    clock,
                    _TIMINGS,
                ),
                clock,
                scheduler,
            )
            for number in range(2)
        ]

    def check(self) -> None:
        """Asserts that orders take effect in the order of their fencing tokens.

        If the endpoint does not check the tokens, successive orders under
        different tokens must also be at least the order timeout apart.
        """
        fences = [f for f, _ in self.accepted]
        self.accepted_orders += len(fences)
        self.runs_with_lease_change += len(set(fences)) > 1
        assert fences == sorted(fences), f"accepted {self.accepted}"
        if not self.checks_fence:
            for (low, earlier_ms), (high, later_ms) in zip(
                self.accepted, self.accepted[1:], strict=False
            ):
                gap_ms = later_ms - earlier_ms
                assert low == high or gap_ms >= _TIMINGS.order_timeout_ms, (
                    gap_ms
                )

    def _actor(
        self,
        lease: orders.OrderLease,
        clock: base.ManualClock,
        scheduler: _explorer.Scheduler,
    ) -> Callable[[], None]:
        gate = orders.OrderGate(_TIMINGS)

        def run() -> None:
            for _ in range(_STEPS_PER_HOLDER):
                try:
                    self._try_order(lease, gate, clock)
                except base.HollycartError:
                    pass
                scheduler.yield_control()
                clock.sleep_ms(_STEP_INTERVAL_MS)

        return run

    def _try_order(
        self,
        lease: orders.OrderLease,
        gate: orders.OrderGate,
        clock: base.ManualClock,
    ) -> None:
        held = lease.acquire() if lease.held is None else lease.renew()
        if held is None:
            return
        checks_fence = self.checks_fence or not self.waits_for_predecessor
        gate.check(held, checks_fence, clock.now_ms())
        highest_fence = max((f for f, _ in self.accepted), default=0)
        if not self.checks_fence or held.fence >= highest_fence:
            self.accepted.append((held.fence, clock.now_ms()))
