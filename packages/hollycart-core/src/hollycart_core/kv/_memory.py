"""In-memory key-value store with transactions, leases and revisions."""

from collections.abc import Sequence

from hollycart_core import base
from hollycart_core.kv import _types


class MemoryStore:
    """Reference implementation of `KeyValueStore` for tests and stand-ins.

    Args:
        clock: Source of time for lease expiry.

    Example:
        >>> store = MemoryStore(base.ManualClock())
        >>> store.txn([Compare("a", 0)], [Put("a", b"1")]).succeeded
        True
        >>> store.txn([Compare("a", 0)], [Put("a", b"2")]).succeeded
        False
    """

    def __init__(self, clock: base.Clock) -> None:
        self.clock = clock
        self.revision = 0
        self._pairs: dict[str, _types.KeyValue] = {}
        self._lease_id_by_key: dict[str, int] = {}
        # Expiry instant and time to live of each lease, in ms.
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease_id = 1

    def range(self, prefix: str) -> _types.RangeResult:
        """Returns all pairs whose key starts with `prefix`."""
        self._expire()
        items = tuple(
            self._pairs[key]
            for key in sorted(self._pairs)
            if key.startswith(prefix)
        )
        return _types.RangeResult(self.revision, items)

    def txn(
        self,
        compares: Sequence[_types.Compare],
        puts: Sequence[_types.Put],
        deletes: Sequence[str] = (),
    ) -> _types.TxnResult:
        """Executes the writes atomically if all conditions hold.

        A write under an expired or unknown lease fails the transaction.
        """
        self._expire()
        for compare in compares:
            pair = self._pairs.get(compare.key)
            if (pair.mod_revision if pair else 0) != compare.mod_revision:
                return _types.TxnResult(False, self.revision)
        if any(p.lease_id and p.lease_id not in self._leases for p in puts):
            return _types.TxnResult(False, self.revision)
        self.revision += 1
        for put in puts:
            self._write(put)
        for key in deletes:
            self._delete(key)
        return _types.TxnResult(True, self.revision)

    def grant_lease(self, ttl_ms: float) -> int:
        """Returns the id of a new lease."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = (self.clock.now_ms() + ttl_ms, ttl_ms)
        return lease_id

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired."""
        self._expire()
        if lease_id not in self._leases:
            return False
        ttl_ms = self._leases[lease_id][1]
        self._leases[lease_id] = (self.clock.now_ms() + ttl_ms, ttl_ms)
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes the keys attached to it."""
        if self._leases.pop(lease_id, None) is None:
            return
        self.revision += 1
        for key in [
            k for k, v in self._lease_id_by_key.items() if v == lease_id
        ]:
            self._delete(key)

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Polls for a write under `prefix` after `after_revision`.

        Returns:
            True after such a write, False after `timeout_ms`.
        """
        end_ms = self.clock.now_ms() + timeout_ms
        while not self.changed(prefix, after_revision):
            if self.clock.now_ms() >= end_ms:
                return False
            self.clock.sleep_ms(20)
        return True

    def changed(self, prefix: str, after_revision: int) -> bool:
        """Returns whether a pair was written after `after_revision`."""
        return any(
            pair.mod_revision > after_revision
            for key, pair in self._pairs.items()
            if key.startswith(prefix)
        )

    def copy(self) -> "MemoryStore":
        """Returns an independent copy, without the leases.

        Keys that were written under a lease are not in the copy.
        """
        made = MemoryStore(self.clock)
        made.revision = self.revision
        made._pairs = {
            key: pair
            for key, pair in self._pairs.items()
            if key not in self._lease_id_by_key
        }
        return made

    def _write(self, put: _types.Put) -> None:
        old = self._pairs.get(put.key)
        created = old.create_revision if old else self.revision
        self._pairs[put.key] = _types.KeyValue(
            put.key, put.value, self.revision, created
        )
        self._lease_id_by_key.pop(put.key, None)
        if put.lease_id:
            self._lease_id_by_key[put.key] = put.lease_id

    def _delete(self, key: str) -> None:
        self._pairs.pop(key, None)
        self._lease_id_by_key.pop(key, None)

    def _expire(self) -> None:
        now_ms = self.clock.now_ms()
        expired = [
            i
            for i, (expiry_ms, _) in self._leases.items()
            if expiry_ms <= now_ms
        ]
        for lease_id in expired:
            self.revoke_lease(lease_id)


Compare = _types.Compare
Put = _types.Put
