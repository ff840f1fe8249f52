"""Clocks that measure time in milliseconds."""

import time
from typing import Protocol

import eventlet


class Clock(Protocol):
    """A source of time.

    All durations and instants are in milliseconds.
    """

    def now_ms(self) -> float:
        """Returns the monotonic time in ms; only differences are meaningful."""

    def wall_ms(self) -> float:
        """Returns the wall-clock time in ms since the Unix epoch.

        Stored records use it; it may jump when the host's clock is adjusted.
        """

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling green thread for `duration_ms`."""


class SystemClock:
    """The clock of the host.

    Args:
        time_scale: Milliseconds of this clock per real millisecond. A value
            above one shortens long experiments.

    Example:
        >>> clock = SystemClock()
        >>> clock.now_ms() <= clock.now_ms()
        True
    """

    def __init__(self, time_scale: float = 1.0) -> None:
        self.time_scale = time_scale

    def now_ms(self) -> float:
        """Returns the monotonic time in ms."""
        return time.monotonic() * 1000.0 * self.time_scale

    def wall_ms(self) -> float:
        """Returns the time since the Unix epoch in ms."""
        return time.time() * 1000.0

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling green thread for `duration_ms`."""
        eventlet.sleep(max(0.0, duration_ms) / 1000.0 / self.time_scale)


class BootClock(SystemClock):
    """A clock that keeps running while the host is suspended.

    Example:
        >>> BootClock().now_ms() > 0
        True
    """

    def now_ms(self) -> float:
        """Returns the time since the host booted in ms."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ManualClock:
    """A clock that advances only in `sleep_ms`, for deterministic tests.

    Args:
        start_ms: Initial value of the monotonic and the wall-clock time, in
            ms.

    Example:
        >>> clock = ManualClock()
        >>> clock.sleep_ms(25)
        >>> clock.now_ms()
        25.0
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self.start_ms = start_ms
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Returns the monotonic time in ms."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Returns the wall-clock time in ms."""
        return self._now_ms

    def sleep_ms(self, duration_ms: float) -> None:
        """Advances the clock by `duration_ms` without waiting."""
        self._now_ms += max(0.0, duration_ms)
