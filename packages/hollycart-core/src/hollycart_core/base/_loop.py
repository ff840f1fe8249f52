"""Periodic tasks in green threads."""

from collections.abc import Callable

import eventlet
from eventlet import greenthread

from hollycart_core.base import _clock
from hollycart_core.base import _loop_guard


class PeriodicTask:
    """Calls a function periodically until closed.

    Args:
        function: Called without arguments. An exception is passed to
            `on_error` and does not end the task.
        interval_ms: Time between the end of one call and the start of the
            next, in ms.
        clock: Source of time.
        on_error: Called with each exception that `function` raises.
    """

    def __init__(
        self,
        function: Callable[[], None],
        interval_ms: float,
        clock: _clock.Clock,
        on_error: Callable[[Exception], None],
    ) -> None:
        self.function = function
        self.interval_ms = interval_ms
        self.clock = clock
        self.on_error = on_error
        self._thread: greenthread.GreenThread | None = None

    def start(self, run_immediately: bool = True) -> None:
        """Starts calling the function.

        Args:
            run_immediately: Whether the first call is made at once or after
                one interval.
        """
        self._thread = eventlet.spawn(self._run, run_immediately)

    def close(self) -> None:
        """Stops calling the function and interrupts a call in progress."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _run(self, run_immediately: bool) -> None:
        if not run_immediately:
            self.clock.sleep_ms(self.interval_ms)
        while True:
            try:
                self.function()
            except Exception as exc:
                _loop_guard.LoopGuard.faults += 1
                self.on_error(exc)
            self.clock.sleep_ms(self.interval_ms)
