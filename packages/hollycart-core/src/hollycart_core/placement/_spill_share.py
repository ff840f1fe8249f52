"""Share of the prompts of an instance that may leave its cell."""

import random

# Part of the difference in free capacity that all senders together fill within
# one interval. Summaries are one interval old, so that two intervals of sends
# may be missing in them; together these do not exceed the difference.
DAMPING = 0.5
# Time between two summaries of a cell, in ms.
INTERVAL_MS = 1000.0


class SpillShare:
    """Estimates what all instances send to a cell that no view shows yet.

    The load it answers: many instances see the same room in another cell on
    views that are as old as the interval. Each assumes that all of them send as
    many prompts as itself, so that together they do not fill the room before
    they see what they did. Parts below one prompt are rounded at random, and
    the intervals of instances begin at different instants.

    Example:
        >>> share = SpillShare()
        >>> rng = random.Random(1)
        >>> before = share.unseen("b", 10, 0.0, rng)
        >>> share.take("b")
        >>> round(share.unseen("b", 10, 0.0, rng) - before)
        20
    """

    def __init__(self) -> None:
        self._intervals: dict[str, tuple[float, float]] = {}
        self._taken: dict[str, int] = {}

    def unseen(
        self, key: str, senders: int, now_ms: float, rng: random.Random
    ) -> float:
        """Returns the slots that are assumed to be taken since the view.

        Args:
            key: Where prompts are sent.
            senders: Number of instances that send prompts there.
            now_ms: Current instant.
            rng: Source of randomness.
        """
        end_ms, offset = self._intervals.get(key, (now_ms, 0.0))
        if now_ms >= end_ms:
            first = key not in self._intervals
            length = rng.random() if first else 1.0
            offset = rng.random()
            self._intervals[key] = (now_ms + length * INTERVAL_MS, offset)
            self._taken[key] = 0
        return (self._taken[key] + offset) * senders / DAMPING

    def take(self, key: str) -> None:
        """Records that a prompt is sent."""
        self._taken[key] = self._taken.get(key, 0) + 1

    def give_back(self, key: str) -> None:
        """Records that a prompt was not sent after all."""
        self._taken[key] = max(0, self._taken.get(key, 0) - 1)
