"""Two order holders, lapse and pause, with the real lease and gate."""

from collections.abc import Callable

from hollycart_bench.explore import _explorer
from hollycart_bench.explore import _store
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import orders

_TIMES = orders.OrderTimings(1000.0, 50.0, 400.0)
_PAUSE_MS = 310.0
_STEPS = 11


class OrderScenario:
    """Two holders order one endpoint; time passes where they pause.

    Between the check of the lease and the send nothing can happen here; what
    a pause just there can do is stated in the design notes.

    Args:
        checks_fence: Whether the endpoint refuses old fencing numbers.
        waits: Whether holders wait out their predecessor; False shows that a
            check can fail.
    """

    def __init__(self, checks_fence: bool, waits: bool = True) -> None:
        self.checks_fence = checks_fence
        self.waits = waits
        self.accepted: list[tuple[int, float]] = []
        self.orders_seen = 0
        self.changes_seen = 0

    def actors(
        self, scheduler: _explorer.Scheduler
    ) -> list[Callable[[], None]]:
        """Builds the holders."""
        self.accepted = []
        clock = base.ManualClock()
        memory = kv.MemoryStore(clock)
        return [
            self._actor(
                orders.OrderLease(
                    _store.stepping_store(memory, scheduler),
                    f"i{number}",
                    clock,
                    _TIMES,
                ),
                clock,
                scheduler,
            )
            for number in range(2)
        ]

    def check(self) -> None:
        """Orders take effect in the order of their fencing numbers."""
        fences = [f for f, _ in self.accepted]
        self.orders_seen += len(fences)
        self.changes_seen += len(set(fences)) > 1
        assert fences == sorted(fences), f"accepted {self.accepted}"
        if not self.checks_fence:
            for (low, first), (high, second) in zip(
                self.accepted, self.accepted[1:], strict=False
            ):
                gap = second - first
                assert low == high or gap >= _TIMES.order_timeout_ms, gap

    def _actor(
        self,
        lease: orders.OrderLease,
        clock: base.ManualClock,
        scheduler: _explorer.Scheduler,
    ) -> Callable[[], None]:
        gate = orders.OrderGate(_TIMES)

        def run() -> None:
            for _ in range(_STEPS):
                try:
                    self._step(lease, gate, clock)
                except base.HollycartError:
                    pass
                scheduler.pause()
                clock.sleep_ms(_PAUSE_MS)

        return run

    def _step(
        self,
        lease: orders.OrderLease,
        gate: orders.OrderGate,
        clock: base.ManualClock,
    ) -> None:
        held = lease.acquire() if lease.held is None else lease.renew()
        if held is None:
            return
        checks_fence = self.checks_fence or not self.waits
        gate.check(held, checks_fence, clock.now_ms())
        newest = max((f for f, _ in self.accepted), default=0)
        if not self.checks_fence or held.fence >= newest:
            self.accepted.append((held.fence, clock.now_ms()))
