"""Reserves memory for a queued request that needs much of it."""

from collections.abc import Sequence

from hollycart_core.scheduling import _endpoint
from hollycart_core.scheduling import _fair_queue
from hollycart_core.scheduling import _types

HOLD_AFTER_MS = 1_000.0  # time in the queue


class MemoryHold:
    """Reserves the memory of endpoints for one request at a time.

    A request that needs most of the memory of one or more endpoints starves
    if smaller requests take all memory that is freed. Once it has been queued
    for `HOLD_AFTER_MS`, the endpoints with the most free memory are held for
    it. Until it is placed, only short requests use these endpoints, within
    the memory that its shares leave.
    """

    def __init__(self) -> None:
        self.permit_id = ""
        self.endpoint_ids: frozenset[str] = frozenset()
        self.need_tokens = 0

    def try_hold(
        self,
        item: _fair_queue.QueuedRequest,
        endpoint_loads: Sequence[_endpoint.EndpointLoad],
        shares: int,
        need_tokens: int,
        now_ms: float,
    ) -> None:
        """Holds endpoints for a queued request that lacks memory.

        Nothing changes until the request has been queued for `HOLD_AFTER_MS`,
        while another request has a hold, or if too few endpoints are large
        enough.

        Args:
            item: The queued request.
            endpoint_loads: Loads of the endpoints that may serve it.
            shares: Number of endpoints that it needs.
            need_tokens: Memory that it needs on each endpoint, in tokens.
            now_ms: Monotonic time, in ms.
        """
        if self.permit_id and self.permit_id != item.req.permit_id:
            return
        if now_ms - item.queued_ms < HOLD_AFTER_MS:
            return
        eligible = [
            e for e in endpoint_loads if e.info.capacity_tokens >= need_tokens
        ]
        eligible.sort(key=lambda e: (-e.free_tokens, e.info.endpoint_id))
        if len(eligible) < shares:
            return
        eligible_ids = {e.info.endpoint_id for e in eligible}
        if self.permit_id and self.endpoint_ids <= eligible_ids:
            return
        chosen = eligible[:shares]
        self.permit_id = item.req.permit_id
        self.endpoint_ids = frozenset(e.info.endpoint_id for e in chosen)
        self.need_tokens = need_tokens

    def release(self, permit_id: str) -> None:
        """Ends the hold of a request that was placed or left the queue."""
        if permit_id == self.permit_id:
            self.permit_id = ""
            self.endpoint_ids = frozenset()
            self.need_tokens = 0

    def allows(
        self,
        req: _types.PermitRequest,
        endpoint_load: _endpoint.EndpointLoad,
        need_tokens: int,
    ) -> bool:
        """Returns whether a request may use memory of an endpoint."""
        held = endpoint_load.info.endpoint_id in self.endpoint_ids
        if not held or req.permit_id == self.permit_id:
            return True
        spare_tokens = endpoint_load.info.capacity_tokens - self.need_tokens
        return (
            req.is_short
            and endpoint_load.short_memory_tokens + need_tokens <= spare_tokens
        )
