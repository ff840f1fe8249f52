"""A store that fails on demand, for tests of what is built on it."""

from collections.abc import Callable
from collections.abc import Sequence
import enum

from hollycart_core import base
from hollycart_core.kv import _memory
from hollycart_core.kv import _types


class CallFault(enum.Enum):
    """What happens to one call."""

    NONE = "none"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    CALLER_LOST = "caller lost"


class CallerLost(BaseException):
    """The caller ended after the call took effect."""


class FaultyStore:
    """Passes calls to a `MemoryStore` unless told to fail.

    Args:
        store: The store behind.
        next_fault: Asked before each call with the name of the call.

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
        """Returns all pairs under a prefix, or fails."""
        if self.next_fault("range") is not CallFault.NONE:
            raise base.KvUnavailableError("range")
        return self.store.range(prefix)

    def txn(
        self,
        compares: Sequence[_types.Compare],
        puts: Sequence[_types.Put],
        deletes: Sequence[str] = (),
    ) -> _types.TxnResult:
        """Executes a transaction, or fails before or after it."""
        fault = self._before("txn")
        result = self.store.txn(compares, puts, deletes)
        self._after(fault, "txn")
        return result

    def grant_lease(self, ttl_ms: float) -> int:
        """Grants a lease, or fails before or after."""
        fault = self._before("grant_lease")
        lease_id = self.store.grant_lease(ttl_ms)
        self._after(fault, "grant_lease")
        return lease_id

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease, or fails before or after."""
        fault = self._before("keep_alive")
        alive = self.store.keep_alive(lease_id)
        self._after(fault, "keep_alive")
        return alive

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease, or fails before or after."""
        fault = self._before("revoke_lease")
        self.store.revoke_lease(lease_id)
        self._after(fault, "revoke_lease")

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Waits for a write, or fails."""
        if self.next_fault("watch") is not CallFault.NONE:
            raise base.KvUnavailableError("watch")
        return self.store.watch(prefix, after_revision, timeout_ms)

    def _before(self, call: str) -> CallFault:
        fault = self.next_fault(call)
        if fault is CallFault.REFUSED:
            raise base.KvUnavailableError(call)
        return fault

    def _after(self, fault: CallFault, call: str) -> None:
        if fault is CallFault.ANSWER_LOST:
            raise base.KvAnswerLostError(call)
        if fault is CallFault.CALLER_LOST:
            raise CallerLost(call)
