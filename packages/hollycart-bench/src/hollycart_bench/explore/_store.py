"""A key-value store whose calls are points of a schedule."""

from collections.abc import Sequence

from hollycart_bench.explore import _explorer
from hollycart_core import base
from hollycart_core import kv

_REFUSED = 1
_LOST = 2
_CRASH = 3
_FAULTS = 3


class SteppingStore:
    """Interleaves calls and lets the schedule choose faults.

    A write is refused, executed with its answer lost, or executed and its
    caller ended.

    Args:
        store: The store behind.
        scheduler: Chooses what happens.
        fenced: Whether conditions of transactions are honoured; False shows
            that a check can fail.
    """

    def __init__(
        self,
        store: kv.MemoryStore,
        scheduler: _explorer.Scheduler,
        fenced: bool = True,
    ) -> None:
        self.store = store
        self.scheduler = scheduler
        self.fenced = fenced

    def range(self, prefix: str) -> kv.RangeResult:
        """Returns all pairs under a prefix; a point of the schedule."""
        self.scheduler.pause()
        if self.scheduler.choose_fault(1):
            raise base.KvUnavailableError("range")
        return self.store.range(prefix)

    def txn(
        self,
        compares: Sequence[kv.Compare],
        puts: Sequence[kv.Put],
        deletes: Sequence[str] = (),
    ) -> kv.TxnResult:
        """Executes a transaction; a point of the schedule."""
        fault = self._before("txn")
        conditions = compares if self.fenced else ()
        result = self.store.txn(conditions, puts, deletes)
        self._after(fault, "txn")
        return result

    def grant_lease(self, ttl_ms: float) -> int:
        """Grants a lease; a point of the schedule."""
        fault = self._before("grant_lease")
        lease_id = self.store.grant_lease(ttl_ms)
        self._after(fault, "grant_lease")
        return lease_id

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; a point of the schedule."""
        fault = self._before("keep_alive")
        alive = self.store.keep_alive(lease_id)
        self._after(fault, "keep_alive")
        return alive

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease; a point of the schedule."""
        fault = self._before("revoke_lease")
        self.store.revoke_lease(lease_id)
        self._after(fault, "revoke_lease")

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Returns at once whether there was a write."""
        del timeout_ms
        return self.store.changed(prefix, after_revision)

    def _before(self, call: str) -> int:
        self.scheduler.pause()
        fault = self.scheduler.choose_fault(_FAULTS)
        if fault == _REFUSED:
            raise base.KvUnavailableError(call)
        return fault

    def _after(self, fault: int, call: str) -> None:
        if fault == _LOST:
            raise base.KvAnswerLostError(call)
        if fault == _CRASH:
            raise _explorer.Crash
