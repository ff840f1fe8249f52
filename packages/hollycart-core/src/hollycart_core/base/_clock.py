"""The clock type of the project, in milliseconds."""

import time
from typing import Protocol

import eventlet


class Clock(Protocol):
    """A source of time.

    All durations and instants in the project are milliseconds.
    """

    def now_ms(self) -> float:
        """Returns monotonic time in ms; only differences are meaningful."""

    def wall_ms(self) -> float:
        """Returns time in ms since the Unix epoch, for stored records."""

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling green thread for `duration_ms`."""


class SystemClock:
    """The clock of the host.

    Args:
        factor: How many clock milliseconds pass in one real millisecond. A
            value above one shortens long experiments.

    Example:
        >>> clock = SystemClock()
        >>> clock.now_ms() <= clock.now_ms()
        True
    """

    def __init__(self, factor: float = 1.0) -> None:
        self.factor = factor

    def now_ms(self) -> float:
        """Returns monotonic time in ms."""
        return time.monotonic() * 1000.0 * self.factor

    def wall_ms(self) -> float:
        """Returns time in ms since the Unix epoch."""
        return time.time() * 1000.0

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling green thread for `duration_ms`."""
        eventlet.sleep(max(0.0, duration_ms) / 1000.0 / self.factor)


class BootClock(SystemClock):
    """A clock whose time also passes while the host is suspended.

    Example:
        >>> BootClock().now_ms() > 0
        True
    """

    def now_ms(self) -> float:
        """Returns time since the host started, in ms."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ManualClock:
    """A clock that moves only when told to, for deterministic tests.

    Args:
        start_ms: The first value of both time scales, in ms.

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
        """Returns the current value in ms."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Returns the current value in ms."""
        return self._now_ms

    def sleep_ms(self, duration_ms: float) -> None:
        """Moves the clock forward by `duration_ms`."""
        self._now_ms += max(0.0, duration_ms)
