"""Measures how long the event loop takes to come round."""

from collections.abc import Callable

import eventlet
from eventlet import greenthread

from hollycart_core.base import _clock
from hollycart_core.base import _loop_guard

_INTERVAL_MS = 100.0


class LoopWatch:
    """Reports by how much a periodic timer of the event loop is late.

    A green thread that does not wait for long delays all others. The delay of
    a timer shows it, whichever thread it is.

    Args:
        clock: Source of time.
        on_round: Called with the delay of each round, in ms.
    """

    def __init__(
        self, clock: _clock.Clock, on_round: Callable[[float], None]
    ) -> None:
        self.clock = clock
        self.on_round = on_round
        self._thread: greenthread.GreenThread | None = None

    def start(self) -> None:
        """Starts to measure."""
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stops to measure."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _run(self) -> None:
        guard = _loop_guard.LoopGuard("measuring the event loop")
        while True:
            started_ms = self.clock.now_ms()
            self.clock.sleep_ms(_INTERVAL_MS)
            delay_ms = self.clock.now_ms() - started_ms - _INTERVAL_MS
            with guard.turn():
                self.on_round(max(0.0, delay_ms))
