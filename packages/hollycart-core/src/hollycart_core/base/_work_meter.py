"""Bounds the work that a green thread does in one turn."""

from typing import ClassVar

import eventlet

_MAX_UNITS = 64


class WorkMeter:
    """Gives way to other green threads after a bounded amount of work.

    A thread that reads from a socket only waits when no data is ready. A peer
    that sends faster than its data is processed would keep all others from
    running.

    Args:
        name: What the thread works on, for the log.
        max_units: Units of work in one turn. A unit is an event or a datagram
            to process, some 50 microseconds.

    Attributes:
        last_name: Name of the meter that was used last, of all.

    Example:
        >>> meter = WorkMeter(max_units=2)
        >>> meter.add(1)
        False
        >>> meter.add(1)
        True
    """

    last_name: ClassVar[str] = ""

    def __init__(self, name: str = "", max_units: int = _MAX_UNITS) -> None:
        self.name = name
        self.max_units = max_units
        self._done = 0

    def add(self, units: int) -> bool:
        """Adds work that was done; returns whether others had a turn."""
        WorkMeter.last_name = self.name
        self._done += units
        if self._done < self.max_units:
            return False
        self._done = 0
        eventlet.sleep(0)
        return True

    def reset(self) -> None:
        """Starts a turn, after the thread has waited."""
        self._done = 0
