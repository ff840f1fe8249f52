"""Requests at an endpoint that no instance accounts for."""

import math
from typing import NamedTuple


class UnaccountedLoad(NamedTuple):
    """Load that an endpoint reported and that no instance announces.

    The load it answers: all instances restart at once. Engines go on with the
    answers of the instances that died, which holds their slots for as long as
    an answer takes. Or instances are cut off from each other and go on placing
    prompts, so that the load stays.

    Attributes:
        requests: Number of requests at the time of the report.
        memory_tokens: KV cache that they hold, in tokens.
        reported_ms: Instant of the report.
        duration_ms: Time within which all of them are assumed to end, in ms.
        hold_ms: Time for which none of them is assumed to end before that, in
            ms.
        max_gap_ms: Longest gap between events that their answers accept, in ms;
            infinity if prefill beside them is not taken to disturb them.

    Example:
        >>> load = UnaccountedLoad(4, 20000, 0.0, 2000.0)
        >>> load.requests_left(0.0), load.requests_left(1100.0)
        (4, 2)
        >>> load.requests_left(2000.0)
        0
    """

    requests: int
    memory_tokens: int
    reported_ms: float
    duration_ms: float
    hold_ms: float = 0.0
    max_gap_ms: float = float("inf")

    def share_left(self, now_ms: float) -> float:
        """Returns the share of the load that has not ended yet."""
        age_ms = now_ms - self.reported_ms - self.hold_ms
        return min(1.0, max(0.0, 1.0 - age_ms / max(1.0, self.duration_ms)))

    def requests_left(self, now_ms: float) -> int:
        """Returns the number of requests that have not ended yet."""
        return math.ceil(self.requests * self.share_left(now_ms))

    def memory_left(self, now_ms: float) -> int:
        """Returns the KV cache that is still held, in tokens."""
        return int(self.memory_tokens * self.share_left(now_ms))
