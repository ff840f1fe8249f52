"""The owner's account of one endpoint."""

from typing import NamedTuple

from hollycart_core import base
from hollycart_core.scheduling import _types

DEFAULT_RATE = 36.0  # prompt tokens per ms
CHUNK_TOKENS = 2048  # prompt tokens in one step of an endpoint


class _Work:
    """The share of one permit at this endpoint."""

    def __init__(
        self, live: _types.LivePermit, memory: int, prefill_left: float
    ) -> None:
        self.live = live
        self.memory = memory
        self.prefill_left = prefill_left


class _Orphan(NamedTuple):
    memory_tokens: int


class EndpointLoad:
    """Estimates the queue and memory of one endpoint.

    Prompt processing is modelled as a fluid served in order of priority at a
    rate learnt from the time that prompts took.

    Args:
        info: The endpoint.

    Example:
        >>> info = _types.EndpointInfo("e", "127.0.0.1:1", 1000)
        >>> EndpointLoad(info).free_tokens
        1000
    """

    def __init__(self, info: _types.EndpointInfo) -> None:
        self.info = info
        self.rate = DEFAULT_RATE
        self._work: dict[str, _Work] = {}
        self._orphans: dict[str, _Orphan] = {}
        self._advanced_ms = 0.0
        self._promised = 0
        self._orphaned = 0

    @property
    def permits(self) -> dict[str, _types.LivePermit]:
        """Live permits by id."""
        return {key: work.live for key, work in self._work.items()}

    @property
    def requests(self) -> int:
        """Number of live permits."""
        return len(self._work)

    @property
    def outstanding_tokens(self) -> float:
        """Prompt and answer tokens of all live permits."""
        return float(sum(w.memory for w in self._work.values()))

    @property
    def free_tokens(self) -> int:
        """Memory not promised to a permit nor held by an orphan."""
        return self.info.capacity_tokens - self._promised - self._orphaned

    @property
    def short_tokens(self) -> int:
        """Memory promised to short requests, in tokens."""
        return sum(
            w.memory for w in self._work.values() if w.live.request.is_short
        )

    def add(
        self, live: _types.LivePermit, cached_tokens: int, now_ms: float
    ) -> None:
        """Accounts for a permit."""
        self.advance(now_ms)
        shares = len(live.permit.endpoint_ids)
        memory = -(-live.request.memory_tokens // shares)
        prefill = max(0, live.request.prompt_tokens - cached_tokens) / shares
        if live.first_token_seen:
            prefill = 0.0
        self._work[live.permit.permit_id] = _Work(live, memory, prefill)
        self._orphans.pop(live.permit.permit_id, None)
        self._count_memory()

    def remove(self, permit_id: str, now_ms: float) -> None:
        """Ends the account of a permit."""
        self.advance(now_ms)
        self._work.pop(permit_id, None)
        self._count_memory()

    def mark_first_token(self, permit_id: str, now_ms: float) -> None:
        """Notes that a prompt has been processed."""
        self.advance(now_ms)
        work = self._work.get(permit_id)
        if work is not None:
            work.prefill_left = 0.0
            work.live = work.live._replace(first_token_seen=True)

    def advance(self, now_ms: float) -> None:
        """Moves the estimate of prompt processing to `now_ms`."""
        if now_ms <= self._advanced_ms:
            return
        budget = max(0.0, now_ms - self._advanced_ms) * self.rate
        self._advanced_ms = max(self._advanced_ms, now_ms)
        pending = [w for w in self._work.values() if w.prefill_left > 0]
        pending.sort(key=lambda w: w.live.permit.engine_priority)
        for work in pending:
            used = min(budget, work.prefill_left)
            work.prefill_left -= used
            budget -= used

    def prefill_ahead(self, engine_priority: int) -> float:
        """Returns prompt tokens served before a new request, estimated."""
        return sum(
            w.prefill_left
            for w in self._work.values()
            if w.live.permit.engine_priority <= engine_priority
        )

    def prefill_behind(self, engine_priority: int) -> float:
        """Returns prompt tokens that a new request would overtake."""
        return sum(
            w.prefill_left
            for w in self._work.values()
            if w.live.permit.engine_priority > engine_priority
        )

    def reconcile(
        self, report: _types.EndpointReport, now_ms: float
    ) -> list[str]:
        """Compares the endpoint's own account with live permits.

        Returns:
            Attempt ids that the endpoint holds memory for without a permit.
        """
        self.advance(now_ms)
        held = {h.attempt_id: h for h in report.held}
        for permit_id, work in self._work.items():
            seen = held.get(permit_id)
            if seen is not None and work.prefill_left > 0:
                moved = report.age_ms * self.rate
                floor = max(0.0, seen.prefill_left - moved)
                work.prefill_left = min(
                    float(seen.prefill_left), max(work.prefill_left, floor)
                )
        self._orphans = {
            key: _Orphan(h.memory_tokens)
            for key, h in held.items()
            if key not in self._work
        }
        self._count_memory()
        base.check_invariant(
            "pool.memory_accounted",
            not set(self._orphans) & set(self._work),
            self.info.endpoint_id,
        )
        return list(self._orphans)

    def _count_memory(self) -> None:
        self._promised = sum(w.memory for w in self._work.values())
        self._orphaned = sum(o.memory_tokens for o in self._orphans.values())
