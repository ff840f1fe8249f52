"""Key-value store with fault injection, for tests."""

from collections.abc import Callable
from collections.abc import Sequence
import enum

from hollycart_core import base
from hollycart_core.kv import _memory
from hollycart_core.kv import _types


class CallFault(enum.Enum):
    """Fault injected into one call.

    REFUSED fails before the call takes effect. ANSWER_LOST executes the call
    and loses its response. CALLER_LOST executes the call and ends its caller.
    """

    NONE = "none"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    CALLER_LOST = "caller lost"


class CallerLost(BaseException):
    """Injected end of the caller after the call took effect.

    It is a BaseException, so that `except Exception` does not catch it.
    """


class FaultyStore:
    """Passes calls to a `MemoryStore` and injects faults.

    Args:
        store: Store that executes the calls.
        next_fault: Returns the fault of a call; called with its name before
            each call.

    Example:
        >>> store = FaultyStore(
        ...     _memory.MemoryStore(base.ManualClock()),
        ...     lambda call: CallFault.REFUSED,
        ... )
        >>> store.range("a")
        Traceback (most recent call last):
        ...
        hollycart_core.base._errors.KvUnavailableError: range
    """

    def __init__(
        self,
        store: _memory.MemoryStore,
        next_fault: Callable[[str], CallFault],
    ) -> None:
        self.store = store
        self.next_fault = next_fault

    def range(self, prefix: str) -> _types.RangeResult:
        """Returns all pairs under a prefix; any fault fails the call."""
        if self.next_fault("range") is not CallFault.NONE:
            raise base.KvUnavailableError("range")
        return self.store.range(prefix)

    def txn(
        self,
        compares: Sequence[_types.Compare],
        puts: Sequence[_types.Put],
        deletes: Sequence[str] = (),
    ) -> _types.TxnResult:
        """Executes a transaction, with a fault before or after it."""
        fault = self._inject_before("txn")
        result = self.store.txn(compares, puts, deletes)
        self._inject_after(fault, "txn")
        return result

    def grant_lease(self, ttl_ms: float) -> int:
        """Grants a lease, with a fault before or after it."""
        fault = self._inject_before("grant_lease")
        lease_id = self.store.grant_lease(ttl_ms)
        self._inject_after(fault, "grant_lease")
        return lease_id

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease, with a fault before or after it."""
        fault = self._inject_before("keep_alive")
        alive = self.store.keep_alive(lease_id)
        self._inject_after(fault, "keep_alive")
        return alive

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease, with a fault before or after it."""
        fault = self._inject_before("revoke_lease")
        self.store.revoke_lease(lease_id)
        self._inject_after(fault, "revoke_lease")

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Waits for a write; any fault fails the call."""
        if self.next_fault("watch") is not CallFault.NONE:
            raise base.KvUnavailableError("watch")
        return self.store.watch(prefix, after_revision, timeout_ms)

    def _inject_before(self, call: str) -> CallFault:
        fault = self.next_fault(call)
        if fault is CallFault.REFUSED:
            raise base.KvUnavailableError(call)
        return fault

    def _inject_after(self, fault: CallFault, call: str) -> None:
        if fault is CallFault.ANSWER_LOST:
            raise base.KvAnswerLostError(call)
        if fault is CallFault.CALLER_LOST:
            raise CallerLost(call)
