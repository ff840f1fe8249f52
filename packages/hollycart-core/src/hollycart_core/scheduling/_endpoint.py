"""Estimated load of one endpoint, as kept by the owner of its pool."""

from typing import NamedTuple

from hollycart_core import base
from hollycart_core.scheduling import _types

DEFAULT_PREFILL_TOKENS_PER_MS = 36.0
PREFILL_CHUNK_TOKENS = 2048  # prompt tokens in one batch step


class _PermitShare:
    """Memory and pending prefill of one permit at this endpoint."""

    def __init__(
        self,
        live_permit: _types.LivePermit,
        reserved_tokens: int,
        prefill_left: float,
    ) -> None:
        self.live_permit = live_permit
        self.reserved_tokens = reserved_tokens
        self.prefill_left = prefill_left


class _Orphan(NamedTuple):
    """Memory that an endpoint holds for an attempt without a permit."""

    memory_tokens: int


class EndpointLoad:
    """Estimates the pending prefill and the free memory of one endpoint.

    Prefill is modelled as a fluid that is served in order of priority at a
    constant rate. First tokens and reports of the endpoint correct the
    estimate.

    Args:
        info: The endpoint.

    Example:
        >>> info = _types.EndpointInfo("e", "127.0.0.1:1", 1000)
        >>> EndpointLoad(info).free_tokens
        1000
    """

    def __init__(self, info: _types.EndpointInfo) -> None:
        self.info = info
        self.prefill_tokens_per_ms = DEFAULT_PREFILL_TOKENS_PER_MS
        self._permit_shares: dict[str, _PermitShare] = {}
        self._orphans: dict[str, _Orphan] = {}
        self._advanced_to_ms = 0.0
        self._reserved_tokens = 0
        self._orphaned_tokens = 0

    @property
    def permits(self) -> dict[str, _types.LivePermit]:
        """Live permits by id."""
        return {
            key: share.live_permit for key, share in self._permit_shares.items()
        }

    @property
    def requests(self) -> int:
        """Number of live permits."""
        return len(self._permit_shares)

    @property
    def outstanding_tokens(self) -> float:
        """Memory reserved at this endpoint by live permits, in tokens.

        It covers the prompt and the bound on the answer of each request.
        """
        return float(
            sum(s.reserved_tokens for s in self._permit_shares.values())
        )

    @property
    def free_tokens(self) -> int:
        """Memory not reserved by a permit or held by an orphan, in tokens."""
        return (
            self.info.capacity_tokens
            - self._reserved_tokens
            - self._orphaned_tokens
        )

    @property
    def short_memory_tokens(self) -> int:
        """Memory reserved by short requests, in tokens."""
        return sum(
            s.reserved_tokens
            for s in self._permit_shares.values()
            if s.live_permit.request.is_short
        )

    def add(
        self, live_permit: _types.LivePermit, cached_tokens: int, now_ms: float
    ) -> None:
        """Adds this endpoint's share of a permit."""
        self.advance(now_ms)
        shares = len(live_permit.permit.endpoint_ids)
        reserved_tokens = -(-live_permit.request.memory_tokens // shares)
        prefill_tokens = (
            max(0, live_permit.request.prompt_tokens - cached_tokens) / shares
        )
        if live_permit.first_token_seen:
            prefill_tokens = 0.0
        self._permit_shares[live_permit.permit.permit_id] = _PermitShare(
            live_permit, reserved_tokens, prefill_tokens
        )
        self._orphans.pop(live_permit.permit.permit_id, None)
        self._update_memory_totals()

    def remove(self, permit_id: str, now_ms: float) -> None:
        """Removes a permit; unknown ids are ignored."""
        self.advance(now_ms)
        self._permit_shares.pop(permit_id, None)
        self._update_memory_totals()

    def mark_first_token(self, permit_id: str, now_ms: float) -> None:
        """Marks the prefill of a permit as complete."""
        self.advance(now_ms)
        share = self._permit_shares.get(permit_id)
        if share is not None:
            share.prefill_left = 0.0
            share.live_permit = share.live_permit._replace(
                first_token_seen=True
            )

    def advance(self, now_ms: float) -> None:
        """Advances the estimate of pending prefill to `now_ms`."""
        if now_ms <= self._advanced_to_ms:
            return
        budget = (
            max(0.0, now_ms - self._advanced_to_ms) * self.prefill_tokens_per_ms
        )
        self._advanced_to_ms = max(self._advanced_to_ms, now_ms)
        pending = [
            s for s in self._permit_shares.values() if s.prefill_left > 0
        ]
        pending.sort(key=lambda s: s.live_permit.permit.engine_priority)
        for share in pending:
            used = min(budget, share.prefill_left)
            share.prefill_left -= used
            budget -= used

    def prefill_ahead(self, engine_priority: int) -> float:
        """Estimates the prompt tokens prefilled before a new request.

        Args:
            engine_priority: Priority of the new request; requests of the
                same priority run before it.
        """
        return sum(
            s.prefill_left
            for s in self._permit_shares.values()
            if s.live_permit.permit.engine_priority <= engine_priority
        )

    def prefill_behind(self, engine_priority: int) -> float:
        """Estimates the pending prompt tokens that a new request overtakes.

        Args:
            engine_priority: Priority of the new request.
        """
        return sum(
            s.prefill_left
            for s in self._permit_shares.values()
            if s.live_permit.permit.engine_priority > engine_priority
        )

    def reconcile(
        self, report: _types.EndpointReport, now_ms: float
    ) -> list[str]:
        """Corrects the estimate by the endpoint's report.

        The pending prefill of a permit is bounded from above by the report
        and from below by the report less what the endpoint may have prefilled
        since. Memory held without a permit counts as occupied.

        Returns:
            Ids of attempts that hold memory at the endpoint without a permit.
        """
        self.advance(now_ms)
        held = {h.attempt_id: h for h in report.held}
        for permit_id, share in self._permit_shares.items():
            reported = held.get(permit_id)
            if reported is not None and share.prefill_left > 0:
                max_processed = report.age_ms * self.prefill_tokens_per_ms
                min_prefill_left = max(
                    0.0, reported.prefill_left - max_processed
                )
                share.prefill_left = min(
                    float(reported.prefill_left),
                    max(share.prefill_left, min_prefill_left),
                )
        self._orphans = {
            key: _Orphan(h.memory_tokens)
            for key, h in held.items()
            if key not in self._permit_shares
        }
        self._update_memory_totals()
        base.check_invariant(
            "pool.memory_accounted",
            not set(self._orphans) & set(self._permit_shares),
            self.info.endpoint_id,
        )
        return list(self._orphans)

    def _update_memory_totals(self) -> None:
        self._reserved_tokens = sum(
            s.reserved_tokens for s in self._permit_shares.values()
        )
        self._orphaned_tokens = sum(
            o.memory_tokens for o in self._orphans.values()
        )
