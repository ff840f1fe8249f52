"""The instant by which a request must have its final response."""

from typing import NamedTuple

from hollycart_core.base import _clock


class Deadline(NamedTuple):
    """An instant on the monotonic clock.

    Attributes:
        at_ms: The instant, in ms of `Clock.now_ms`.

    Example:
        >>> clock = _clock.ManualClock()
        >>> Deadline(50.0).remaining_ms(clock)
        50.0
    """

    at_ms: float

    def remaining_ms(self, clock: _clock.Clock) -> float:
        """Returns the time left in ms, never negative."""
        return max(0.0, self.at_ms - clock.now_ms())

    def expired(self, clock: _clock.Clock) -> bool:
        """Returns whether the instant has passed."""
        return clock.now_ms() >= self.at_ms
