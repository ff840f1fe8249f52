"""An in-memory store with compare-and-swap, leases and revisions."""

from collections.abc import Sequence

from hollycart_core import base
from hollycart_core.kv import _types


class MemoryStore:
    """Holds pairs in memory; the reference for tests and stand-ins.

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
        self._lease_of: dict[str, int] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1

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
        """Executes the writes at once if all conditions hold."""
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
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = (self.clock.now_ms() + ttl_ms, ttl_ms)
        return lease_id

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has lapsed."""
        self._expire()
        if lease_id not in self._leases:
            return False
        ttl_ms = self._leases[lease_id][1]
        self._leases[lease_id] = (self.clock.now_ms() + ttl_ms, ttl_ms)
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys written under it."""
        if self._leases.pop(lease_id, None) is None:
            return
        self.revision += 1
        for key in [k for k, v in self._lease_of.items() if v == lease_id]:
            self._delete(key)

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Returns whether a newer write exists, polling until the timeout."""
        end_ms = self.clock.now_ms() + timeout_ms
        while not self.changed(prefix, after_revision):
            if self.clock.now_ms() >= end_ms:
                return False
            self.clock.sleep_ms(20)
        return True

    def changed(self, prefix: str, after_revision: int) -> bool:
        """Returns whether a pair under `prefix` is newer."""
        return any(
            pair.mod_revision > after_revision
            for key, pair in self._pairs.items()
            if key.startswith(prefix)
        )

    def _write(self, put: _types.Put) -> None:
        old = self._pairs.get(put.key)
        created = old.create_revision if old else self.revision
        self._pairs[put.key] = _types.KeyValue(
            put.key, put.value, self.revision, created
        )
        self._lease_of.pop(put.key, None)
        if put.lease_id:
            self._lease_of[put.key] = put.lease_id

    def _delete(self, key: str) -> None:
        self._pairs.pop(key, None)
        self._lease_of.pop(key, None)

    def _expire(self) -> None:
        now_ms = self.clock.now_ms()
        lapsed = [i for i, (at, _) in self._leases.items() if at <= now_ms]
        for lease_id in lapsed:
            self.revoke_lease(lease_id)


Compare = _types.Compare
Put = _types.Put
