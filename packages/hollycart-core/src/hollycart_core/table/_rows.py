"""Rows of the table of weights and limits."""

from typing import NamedTuple
from typing import TypeAlias

PRIORITIES = ("urgent", "normal", "patient")


class LimitRow(NamedTuple):
    """Weight and limits of one request kind of one team.

    Attributes:
        team: The team.
        kind: The request kind.
        weight: Share of tokens relative to other rows; above zero.
        priority: One of `PRIORITIES`.
        deadline_ms: Time limit of a request unless the caller sets a shorter
            one, in ms.
        max_prompt_tokens: Largest prompt, in tokens.
        max_running: Bound on requests in flight.
        tokens_per_minute: Bound on admitted tokens per minute; zero for none.
        version: Table revision of the last change; assigned on commit.
    """

    team: str
    kind: str
    weight: float
    priority: str
    deadline_ms: int
    max_prompt_tokens: int
    max_running: int
    tokens_per_minute: int
    version: int = 0

    @property
    def key(self) -> str:
        """Identifies the row within the table."""
        return f"limit/{self.team}/{self.kind}"


class TeamRow(NamedTuple):
    """Bearer keys of one team, as hexadecimal SHA-256 digests.

    Attributes:
        team: The team.
        key_digests: Digests of the accepted keys; two during a rotation.
        version: Table revision of the last change; assigned on commit.
    """

    team: str
    key_digests: tuple[str, ...]
    version: int = 0

    @property
    def key(self) -> str:
        """Identifies the row within the table."""
        return f"team/{self.team}"


Row: TypeAlias = LimitRow | TeamRow


def priority_level(priority: str) -> int:
    """Returns the priority as a number, with zero as the most urgent.

    Example:
        >>> priority_level("patient")
        2
    """
    return PRIORITIES.index(priority)
