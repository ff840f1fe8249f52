"""A key-value store whose calls are points of a schedule."""

from collections.abc import Sequence

from hollycart_bench.explore import _explorer
from hollycart_core import base
from hollycart_core import kv

_READ_FAULTS = (kv.CallFault.NONE, kv.CallFault.REFUSED)
_WRITE_FAULTS = (
    *_READ_FAULTS,
    kv.CallFault.ANSWER_LOST,
    kv.CallFault.CALLER_LOST,
)


class UnfencedStore(kv.MemoryStore):
    """Ignores the conditions of transactions; shows that checks can fail."""

    def txn(
        self,
        compares: Sequence[kv.Compare],
        puts: Sequence[kv.Put],
        deletes: Sequence[str] = (),
    ) -> kv.TxnResult:
        """Executes the writes in any case."""
        del compares
        return super().txn((), puts, deletes)


def make_store(clock: base.Clock, fenced: bool) -> kv.MemoryStore:
    """Returns an empty store that honours conditions, or does not."""
    return kv.MemoryStore(clock) if fenced else UnfencedStore(clock)


def stepping_store(
    store: kv.MemoryStore, scheduler: _explorer.Scheduler
) -> kv.FaultyStore:
    """Returns a view of a store whose calls and faults are scheduled.

    Args:
        store: The store behind.
        scheduler: Interleaves the calls and chooses their faults.

    Returns:
        A store for one actor.
    """

    def next_fault(call: str) -> kv.CallFault:
        scheduler.pause()
        faults = _READ_FAULTS if call == "range" else _WRITE_FAULTS
        return faults[scheduler.choose_fault(len(faults) - 1)]

    return kv.FaultyStore(store, next_fault)
