"""Request kinds, teams and tables of weights of the two users."""

import math
from typing import NamedTuple

SHORT_PROMPT_MAX_TOKENS = 4_096
LONG_PROMPT_THRESHOLD_TOKENS = 100_000


class RequestKind(NamedTuple):
    """One request kind.

    Attributes:
        name: Name of the kind.
        priority: Priority in the table of weights.
        weight: Weight in the table of weights.
        deadline_ms: Deadline in the table of weights and of each request, in
            ms.
        min_prompt_tokens: Length of the shortest prompt.
        max_prompt_tokens: Length of the longest prompt.
        output_tokens: Length of every answer.
        share: Share of the completion requests when there is no surge.
    """

    name: str
    priority: str
    weight: float
    deadline_ms: int
    min_prompt_tokens: int
    max_prompt_tokens: int
    output_tokens: int
    share: float


class Workload(NamedTuple):
    """Request kinds and teams of one user, that is, one deployment.

    Attributes:
        name: Name of the user.
        kinds: Request kinds that engines serve.
        teams: Relative request rate by team.
        service_call_kind: Request kind of the non-idempotent service calls.
        surge_kind: Request kind whose rate rises in a surge.
        surge_factor: Factor by which its rate rises.
        engines: Number of engines of the user.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    teams: dict[str, float]
    service_call_kind: str
    surge_kind: str
    surge_factor: float
    engines: int

    def table_csv(self) -> str:
        """Returns the table of weights and limits, as CSV."""
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
        return sum(k.share * _mean_prompt_tokens(k) for k in self.kinds)


def _mean_prompt_tokens(kind: RequestKind) -> float:
    return mean_length(kind.min_prompt_tokens, kind.max_prompt_tokens)


def mean_length(low: int, high: int) -> float:
    """Returns the mean of a log-uniform distribution of lengths.

    Example:
        >>> round(mean_length(1000, 4000))
        2164
    """
    if low == high:
        return float(low)
    return (high - low) / math.log(high / low)


_TEAMS: dict[str, float] = {
    f"team-{number}": relative_rate
    for number, relative_rate in enumerate([8, 6, 4, 1, 1, 1, 1, 1, 1, 1])
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
