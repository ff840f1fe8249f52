"""Readiness and graceful shutdown of an instance."""

from hollycart_core import base

_POLL_INTERVAL_MS = 50.0


class Lifecycle:
    """Tracks readiness, draining and the number of requests in flight.

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
        """Whether the load balancer should send new requests."""
        return self.serving and not self.draining

    def mark_ready(self) -> None:
        """Marks the instance as ready to serve requests."""
        self.serving = True

    def start_draining(self) -> None:
        """Ends readiness; requests that still arrive are served."""
        self.draining = True

    def enter(self) -> None:
        """Counts a request that starts."""
        self.running += 1

    def leave(self) -> None:
        """Counts a request whose response has ended."""
        self.running -= 1
        base.check_invariant(
            "lifecycle.running_not_negative", self.running >= 0
        )

    def wait_idle(self, timeout_ms: float) -> bool:
        """Waits until no request is in flight.

        Args:
            timeout_ms: Longest wait, in ms.

        Returns:
            Whether no request is in flight.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        while self.running > 0 and self.clock.now_ms() < end_ms:
            self.clock.sleep_ms(_POLL_INTERVAL_MS)
        return self.running == 0
