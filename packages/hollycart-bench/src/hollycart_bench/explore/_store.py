"""Key-value store whose calls are scheduling points with injected faults."""

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


class UnconditionalStore(kv.MemoryStore):
    """Store that ignores the conditions of transactions.

    With it, the exploration must find violations.
    """

    def txn(
        self,
        compares: Sequence[kv.Compare],
        puts: Sequence[kv.Put],
        deletes: Sequence[str] = (),
    ) -> kv.TxnResult:
        """Executes the writes without checking `compares`."""
        del compares
        return super().txn((), puts, deletes)


def make_store(clock: base.Clock, checks_conditions: bool) -> kv.MemoryStore:
    """Returns an empty store that checks or ignores conditions."""
    return (
        kv.MemoryStore(clock)
        if checks_conditions
        else UnconditionalStore(clock)
    )


def scheduled_store(
    store: kv.MemoryStore, scheduler: _explorer.Scheduler
) -> kv.FaultyStore:
    """Returns a view of a store, for one actor, with scheduled calls.

    Args:
        store: Store that executes the calls.
        scheduler: Interleaves the calls and chooses their faults.
    """

    def next_fault(call: str) -> kv.CallFault:
        scheduler.yield_control()
        faults = _READ_FAULTS if call == "range" else _WRITE_FAULTS
        return faults[scheduler.choose_fault(len(faults) - 1)]

    return kv.FaultyStore(store, next_fault)
