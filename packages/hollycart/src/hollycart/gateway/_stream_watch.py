"""Records the first event and the gaps of one attempt's stream."""

from collections.abc import Callable

from hollycart.gateway import _attempt
from hollycart.gateway import _job
from hollycart_core import base


class StreamRecorder(_attempt.EventListener):
    """Records the instants of events.

    Args:
        clock: Source of time.
        progress: Receives the longest gap and the instant of the last event.
        on_first_event: Called with the instant of the first event.
        on_gap: Called with the length of each gap and the instant of its end,
            in ms.
    """

    def __init__(
        self,
        clock: base.Clock,
        progress: _job.Progress,
        on_first_event: Callable[[float], None],
        on_gap: Callable[[float, float], None],
    ) -> None:
        self.clock = clock
        self.progress = progress
        self.on_first_event = on_first_event
        self.on_gap = on_gap
        self._last_ms: float | None = None

    def on_event(self) -> None:
        """Records an event that arrives now."""
        now_ms = self.clock.now_ms()
        last_ms, self._last_ms = self._last_ms, now_ms
        progress = self.progress
        progress.last_event_ms = now_ms
        if last_ms is None:
            self.on_first_event(now_ms)
            return
        gap_ms = now_ms - last_ms
        progress.longest_gap_ms = max(progress.longest_gap_ms, gap_ms)
        self.on_gap(gap_ms, now_ms)
