"""Request kinds, teams and tables of the two users."""

import math
from typing import NamedTuple

SHORT_LIMIT = 4_096  # tokens
LONG_LIMIT = 100_000  # tokens


class RequestKind(NamedTuple):
    """One request kind.

    Attributes:
        name: Request kind.
        priority: Priority in the table.
        weight: Weight in the table.
        deadline_ms: Deadline in the table, in ms.
        low_tokens: Shortest prompt, in tokens.
        high_tokens: Longest prompt, in tokens.
        output_tokens: Length of an answer, in tokens.
        share: Share of the arrivals.
    """

    name: str
    priority: str
    weight: float
    deadline_ms: int
    low_tokens: int
    high_tokens: int
    output_tokens: int
    share: float


class Workload(NamedTuple):
    """All request kinds of a user.

    Attributes:
        name: The user.
        kinds: Request kinds that engines serve.
        teams: Relative size by team.
        service_call_kind: Name of the non-idempotent call.
        surge_kind: The kind that surges.
        surge_factor: How much it surges.
        engines: Engines of the user.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    teams: dict[str, float]
    service_call_kind: str
    surge_kind: str
    surge_factor: float
    engines: int

    def table_csv(self) -> str:
        """Returns the table of weights and limits as CSV."""
        lines = [
            "team,kind,weight,priority,deadline_ms,max_prompt_tokens,"
            "max_running,tokens_per_minute"
        ]
        for team in self.teams:
            for kind in self.kinds:
                lines.append(
                    f"{team},{kind.name},{kind.weight},{kind.priority},"
                    f"{kind.deadline_ms},1100000,10000,0"
                )
            lines.append(
                f"{team},{self.service_call_kind},1,urgent,15000,1000,10000,0"
            )
        return "\n".join(lines) + "\n"

    def mean_tokens(self) -> float:
        """Returns the mean prompt length, in tokens."""
        return sum(k.share * _mean(k) for k in self.kinds)


def _mean(kind: RequestKind) -> float:
    return mean_length(kind.low_tokens, kind.high_tokens)


def mean_length(low: int, high: int) -> float:
    """Returns the mean of lengths drawn uniformly in their logarithm.

    Example:
        >>> round(mean_length(1000, 4000))
        2164
    """
    if low == high:
        return float(low)
    return (high - low) / math.log(high / low)


_TEAMS: dict[str, float] = {
    f"team-{number}": size
    for number, size in enumerate([8, 6, 4, 1, 1, 1, 1, 1, 1, 1])
}

HINOKUNI = Workload(
    "hinokuni",
    (
        RequestKind("draft", "urgent", 4, 30_000, 1_000, 4_000, 48, 0.80),
        RequestKind("summary", "normal", 2, 180_000, 4_000, 100_000, 64, 0.18),
        RequestKind(
            "bundle", "patient", 1, 600_000, 100_000, 400_000, 64, 0.02
        ),
    ),
    _TEAMS,
    "release",
    "draft",
    6.0,
    14,
)

GUILD = Workload(
    "guild",
    (
        RequestKind("caption", "normal", 4, 30_000, 1_000, 4_000, 32, 0.80),
        RequestKind("brief", "patient", 2, 300_000, 4_000, 100_000, 64, 0.18),
        RequestKind(
            "archive", "patient", 1, 600_000, 100_000, 400_000, 64, 0.02
        ),
    ),
    _TEAMS,
    "ticket",
    "caption",
    8.0,
    20,
)

WORKLOADS = {w.name: w for w in (HINOKUNI, GUILD)}
