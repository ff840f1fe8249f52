"""Readiness and graceful shutdown."""

from hollycart_core import base

_POLL_MS = 50.0


class Lifecycle:
    """Counts requests in progress and says whether new ones may come.

    Args:
        clock: Source of time.

    Example:
        >>> lifecycle = Lifecycle(base.ManualClock())
        >>> lifecycle.mark_ready()
        >>> lifecycle.ready, lifecycle.serving
        (True, True)
    """

    def __init__(self, clock: base.Clock) -> None:
        self.clock = clock
        self.running = 0
        self.serving = False
        self.draining = False

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new requests."""
        return self.serving and not self.draining

    def mark_ready(self) -> None:
        """Starts to serve."""
        self.serving = True

    def start_draining(self) -> None:
        """Turns readiness off; requests that still arrive are served."""
        self.draining = True

    def enter(self) -> None:
        """Notes that a request begins."""
        self.running += 1

    def leave(self) -> None:
        """Notes that a request has its final answer."""
        self.running -= 1
        base.check_invariant(
            "lifecycle.running_not_negative", self.running >= 0
        )

    def wait_idle(self, timeout_ms: float) -> bool:
        """Waits until no request is in progress; returns whether it is."""
        end_ms = self.clock.now_ms() + timeout_ms
        while self.running > 0 and self.clock.now_ms() < end_ms:
            self.clock.sleep_ms(_POLL_MS)
        return self.running == 0
