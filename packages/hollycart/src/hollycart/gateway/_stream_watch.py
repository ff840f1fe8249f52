"""Notes first event and pauses of one attempt."""

from collections.abc import Callable

from hollycart.gateway import _attempt
from hollycart.gateway import _job
from hollycart_core import base


class StreamWatch(_attempt.EventSink):
    """Notes when events come.

    Args:
        clock: Source of time.
        progress: Receives the longest pause and the instant of the last event.
        on_first: Called with the instant of the first event.
        on_pause: Called with each pause and the instant of its end, in ms.
    """

    def __init__(
        self,
        clock: base.Clock,
        progress: _job.Progress,
        on_first: Callable[[float], None],
        on_pause: Callable[[float, float], None],
    ) -> None:
        self.clock = clock
        self.progress = progress
        self.on_first = on_first
        self.on_pause = on_pause
        self._last_ms: float | None = None

    def note(self) -> None:
        """Notes one event."""
        now_ms = self.clock.now_ms()
        last_ms, self._last_ms = self._last_ms, now_ms
        progress = self.progress
        progress.last_event_ms = now_ms
        if last_ms is None:
            self.on_first(now_ms)
            return
        pause_ms = now_ms - last_ms
        progress.longest_pause_ms = max(progress.longest_pause_ms, pause_ms)
        self.on_pause(pause_ms, now_ms)
