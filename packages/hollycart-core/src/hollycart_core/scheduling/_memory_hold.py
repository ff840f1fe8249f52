"""Keeps memory that frees up for a large request that waits."""

from collections.abc import Sequence

from hollycart_core.scheduling import _endpoint
from hollycart_core.scheduling import _fair_queue
from hollycart_core.scheduling import _types

HOLD_AFTER_MS = 1_000.0


class MemoryHold:
    """Reserves endpoints for one request at a time.

    A request that needs most of the memory of one or more endpoints would
    wait for ever while smaller ones take what frees up. Once it has waited
    for `HOLD_AFTER_MS`, the endpoints with the most free memory are held for
    it: others get only what its shares leave.
    """

    def __init__(self) -> None:
        self.permit_id = ""
        self.endpoint_ids: frozenset[str] = frozenset()
        self.need = 0

    def consider(
        self,
        item: _fair_queue.QueuedRequest,
        endpoint_loads: Sequence[_endpoint.EndpointLoad],
        shares: int,
        need: int,
        now_ms: float,
    ) -> None:
        """Holds endpoints for a request that lacks memory.

        Args:
            item: The request.
            endpoint_loads: Endpoints that may take it.
            shares: Number of endpoints that it needs.
            need: Memory that it needs on each, in tokens.
            now_ms: Monotonic time, in ms.
        """
        if self.permit_id and self.permit_id != item.req.permit_id:
            return
        if now_ms - item.queued_ms < HOLD_AFTER_MS:
            return
        usable = [a for a in endpoint_loads if a.info.capacity_tokens >= need]
        usable.sort(key=lambda a: (-a.free_tokens, a.info.endpoint_id))
        if len(usable) < shares:
            return
        known = {a.info.endpoint_id for a in usable}
        if self.permit_id and self.endpoint_ids <= known:
            return
        chosen = usable[:shares]
        self.permit_id = item.req.permit_id
        self.endpoint_ids = frozenset(a.info.endpoint_id for a in chosen)
        self.need = need

    def release(self, permit_id: str) -> None:
        """Ends the hold of a request that was placed or has gone."""
        if permit_id == self.permit_id:
            self.permit_id = ""
            self.endpoint_ids = frozenset()
            self.need = 0

    def allows(
        self,
        req: _types.PermitRequest,
        endpoint_load: _endpoint.EndpointLoad,
        need: int,
    ) -> bool:
        """Returns whether a request may take memory of an endpoint."""
        held = endpoint_load.info.endpoint_id in self.endpoint_ids
        if not held or req.permit_id == self.permit_id:
            return True
        spare = endpoint_load.info.capacity_tokens - self.need
        return req.is_short and endpoint_load.short_tokens + need <= spare
