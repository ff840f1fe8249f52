"""Which team's prompts give way while capacity is scarce."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hollycart_core.placement import _types

# Share of recent prompts that are predicted late from which capacity is scarce.
# A lower one also occurs when a single endpoint fails.
_SCARCE_SHARE = 0.25
# Fewer prompts than this say nothing about the capacity of a cell.
_MIN_PROMPTS = 4
# Prompts that were due longer ago than this, in ms, say nothing of now.
_RECENT_MS = 1000.0
# Factor by which a team may exceed its equal share, so that a short burst is
# not cut off.
_BURST_FACTOR = 1.25
# The same for callers that cannot return: they were refused before, or their
# time ends. Only a team that takes a multiple of its share loses those.
_LAST_CHANCE_FACTOR = 2.0


class TeamUsage(NamedTuple):
    """Prompts in flight, by team.

    The load it answers: prompts of some teams take the capacity of a cell, and
    those of teams that use less than their share are late.

    Attributes:
        work: Tokens of the prompts and answers in flight.
        late: Number of recent prompts that were predicted late when placed.
        recent: Number of prompts that were due lately or are not due yet, of
            all teams.

    Example:
        >>> usage = TeamUsage({"a": 900, "b": 50, "c": 50}, {"b": 2}, 8)
        >>> usage.is_scarce, usage.gives_way("a"), usage.gives_way("b")
        (True, True, False)
    """

    work: Mapping[str, int]
    late: Mapping[str, int]
    recent: int

    @property
    def is_scarce(self) -> bool:
        """Whether capacity is short for all teams together."""
        late = sum(self.late.values())
        return (
            self.recent >= _MIN_PROMPTS and late >= _SCARCE_SHARE * self.recent
        )

    def share(self, team: str) -> float:
        """Returns the share of a team in the work in flight."""
        return self.work.get(team, 0) / max(1, sum(self.work.values()))

    def exceeds_share(
        self,
        team: str,
        weights: Mapping[str, float] | None = None,
        factor: float = _BURST_FACTOR,
    ) -> bool:
        """Returns whether a team uses more than its share by its weight.

        Only teams with prompts in flight count, so that idle shares are lent
        to the others.

        Args:
            team: Name of the team.
            weights: Weights of the teams; 1 for those that are missing.
            factor: Factor by which the team may exceed its share.
        """
        weights = weights or {}
        total = sum(weights.get(name, 1.0) for name in self.work)
        if not total:
            return False
        fair_share = weights.get(team, 1.0) / total
        return self.share(team) > factor * fair_share

    def gives_way(
        self,
        team: str,
        weights: Mapping[str, float] | None = None,
        can_return: bool = True,
    ) -> bool:
        """Returns whether a late prompt of a team is refused for the others.

        It is only if a team within its share has late prompts. A team that
        exceeds its share while no other one needs it keeps what it has.

        Args:
            team: Name of the team.
            weights: Weights of the teams; 1 for those that are missing.
            can_return: Whether the caller has time to return and was not
                refused before.
        """
        factor = _BURST_FACTOR if can_return else _LAST_CHANCE_FACTOR
        return (
            self.is_scarce
            and self.exceeds_share(team, weights, factor)
            and any(
                count and not self.exceeds_share(name, weights)
                for name, count in self.late.items()
            )
        )


def measure_usage(
    assignments: Iterable[_types.Assignment], now_ms: float
) -> TeamUsage:
    """Returns the usage of a service's endpoints by teams.

    Args:
        assignments: Assignments at the endpoints.
        now_ms: Current instant.
    """
    work: dict[str, int] = {}
    late: dict[str, int] = {}
    recent = 0
    for assignment in assignments:
        team = assignment.team
        work[team] = work.get(team, 0) + assignment.memory_tokens
        if assignment.primary and assignment.due_ms > now_ms - _RECENT_MS:
            recent += 1
            if assignment.first_event_at_ms > assignment.due_ms:
                late[team] = late.get(team, 0) + 1
    return TeamUsage(work, late, recent)


class ReturnTimes:
    """Plans when refused callers return.

    Callers that are told the same time return together, and most of them would
    be refused again. They are told times as far apart as slots become free.

    Example:
        >>> times = ReturnTimes()
        >>> [times.plan(500.0, 200.0, 3000.0, 0.0) for _ in range(3)]
        [500.0, 700.0, 900.0]
        >>> times.plan(500.0, 200.0, 600.0, 0.0)
        600.0
    """

    def __init__(self) -> None:
        self._last_ms = float("-inf")

    def plan(
        self, wait_ms: float, spacing_ms: float, max_ms: float, now_ms: float
    ) -> float:
        """Returns the time after which the next refused caller returns, in ms.

        Args:
            wait_ms: Time until capacity is predicted to be free, in ms.
            spacing_ms: Time in which one slot becomes free for the callers of
                this instance, in ms.
            max_ms: Longest time that callers honour, in ms.
            now_ms: Current instant.
        """
        at_ms = max(now_ms + wait_ms, self._last_ms + spacing_ms)
        at_ms = min(at_ms, now_ms + max_ms)
        self._last_ms = at_ms
        return at_ms - now_ms
