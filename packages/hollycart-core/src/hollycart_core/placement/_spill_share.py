"""Share of the prompts of an instance that may leave its cell."""

import math
import random

# Part of the difference in free capacity that all senders together fill within
# one interval. Summaries are one interval old, so that two intervals of sends
# may be missing in them; together these do not exceed the difference.
DAMPING = 0.5
# Time between two summaries of a cell, in ms.
INTERVAL_MS = 1000.0


class SpillShare:
    """Bounds what an instance sends to another cell in an interval.

    The load it answers: many instances see the same room in another cell on
    views that are as old as the interval. Each sends a part of the room only,
    so that together they do not fill it before they see what they did. Parts
    below one prompt are rounded up or down at random, and the intervals of
    instances begin at different instants.

    Example:
        >>> share = SpillShare()
        >>> rng = random.Random(1)
        >>> share.allows("b", 2.0, 0.0, rng)
        True
        >>> for _ in range(3):
        ...     share.take("b")
        >>> share.allows("b", 2.0, 10.0, rng)
        False
    """

    def __init__(self) -> None:
        self._intervals: dict[str, tuple[float, float]] = {}
        self._taken: dict[str, int] = {}

    def allows(
        self, key: str, prompts: float, now_ms: float, rng: random.Random
    ) -> bool:
        """Returns whether one more prompt may be sent in this interval.

        Args:
            key: Where it is sent.
            prompts: Prompts an interval that this instance may send there.
            now_ms: Current instant.
            rng: Source of randomness.
        """
        end_ms, rounding = self._intervals.get(key, (now_ms, 0.0))
        if now_ms >= end_ms:
            rounding = rng.random()
            first = key not in self._intervals
            length = rng.random() if first else 1.0
            self._intervals[key] = (now_ms + length * INTERVAL_MS, rounding)
            self._taken[key] = 0
        return self._taken[key] < math.floor(prompts + rounding)

    def take(self, key: str) -> None:
        """Records that a prompt is sent."""
        self._taken[key] = self._taken.get(key, 0) + 1

    def give_back(self, key: str) -> None:
        """Records that a prompt was not sent after all."""
        self._taken[key] = max(0, self._taken.get(key, 0) - 1)
