"""Room that a cell has for the prompts of a service."""

import math
from typing import NamedTuple

# Loss of a prompt in a cell with room, relative to its weight: the first event
# is expected at half the target.
IDLE_LOSS = 0.05
# Time in which a recorded loss loses half of its influence, in ms: load changes
# within a second or two.
_HALF_LIFE_MS = 1000.0
# Loss, relative to the weight of a prompt, above which more makes no
# difference: the prompt is lost, and another one as well.
_MAX_LOSS = 2.0


class ServiceRoom(NamedTuple):
    """Room of a cell for the prompts of a service.

    Attributes:
        free_slots: Free slots of the endpoints that accept requests.
        slots: All slots of the endpoints that accept requests.
        mean_loss: Mean predicted loss of recent placements there, relative to
            the weights of the prompts.
    """

    free_slots: int
    slots: int
    mean_loss: float = IDLE_LOSS

    @property
    def free_share(self) -> float:
        """Share of the slots that are free."""
        return self.free_slots / max(1, self.slots)

    @property
    def shortage_probability(self) -> float:
        """Probability that one slot less makes another prompt wait.

        In the time of one answer, about as many prompts arrive as run, and as
        many end. The number of those running is then a random walk, and this is
        the probability that it rises by the free slots within that time.

        Example:
            >>> round(ServiceRoom(1, 120).shortage_probability, 2)
            0.95
            >>> round(ServiceRoom(60, 120).shortage_probability, 2)
            0.0
        """
        running = max(1, self.slots - self.free_slots)
        return math.erfc(max(0, self.free_slots) / (2.0 * math.sqrt(running)))


class RecentLosses:
    """Mean predicted loss of recent placements, by service.

    Example:
        >>> losses = RecentLosses()
        >>> losses.mean("s", 0.0)
        0.05
        >>> losses.record("s", 1.05, 0.0)
        >>> losses.mean("s", 0.0)
        0.55
    """

    def __init__(self) -> None:
        self._sums: dict[str, tuple[float, float, float]] = {}

    def record(self, service: str, loss: float, now_ms: float) -> None:
        """Records a placement.

        Args:
            service: Service of the prompt.
            loss: Predicted loss, relative to the weight of the prompt.
            now_ms: Current instant.
        """
        count, total = self._decayed(service, now_ms)
        self._sums[service] = (
            count + 1.0,
            total + min(_MAX_LOSS, loss),
            now_ms,
        )

    def mean(self, service: str, now_ms: float) -> float:
        """Returns the mean loss; that of a cell with room without placements.

        The latter also counts as one placement, so that a single loss is not
        taken for the state of the cell.
        """
        count, total = self._decayed(service, now_ms)
        return (total + IDLE_LOSS) / (count + 1.0)

    def _decayed(self, service: str, now_ms: float) -> tuple[float, float]:
        count, total, at_ms = self._sums.get(service, (0.0, 0.0, now_ms))
        factor = 0.5 ** (max(0.0, now_ms - at_ms) / _HALF_LIFE_MS)
        return count * factor, total * factor
