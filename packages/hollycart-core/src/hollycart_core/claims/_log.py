"""The stored form of one claim shard: a log with compaction."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from hollycart_core import base
from hollycart_core import kv
from hollycart_core.claims import _records
from hollycart_core.claims import _shard

MAX_BATCHES = 64
MAX_COMPACTED_BYTES = 900_000


class _Head(NamedTuple):
    sequence: int
    bytes_compacted: int


class ClaimLog:
    """Appends records to a shard in the key-value service.

    Each append is one transaction that compares the revision of the shard's
    head, which fences every other writer of the shard.

    Args:
        store: The key-value service.
        shard_id: Number of the shard.
    """

    def __init__(self, store: kv.KeyValueStore, shard_id: int) -> None:
        self.store = store
        self.shard_id = shard_id
        self.prefix = f"hollycart/claims/{shard_id:03d}/"
        self._head_key = self.prefix + "head"
        self._head = _Head(0, 0)
        self._head_revision = 0
        self._batches: list[str] = []

    def load(self) -> _shard.ClaimShard:
        """Reads the whole shard.

        Raises:
            KvUnavailableError: If the service does not answer.
        """
        found = self.store.range(self.prefix)
        self._head = _Head(0, 0)
        self._head_revision = 0
        self._batches = []
        shard = _shard.ClaimShard()
        for item in found.items:
            if item.key == self._head_key:
                self._head = msgspec.json.decode(item.value, type=_Head)
                self._head_revision = item.mod_revision
                continue
            self._batches.append(item.key)
            records = msgspec.json.decode(
                item.value, type=list[_records.ClaimRecord]
            )
            shard.apply(records)
        return shard

    def append(
        self,
        records: Sequence[_records.ClaimRecord],
        shard: _shard.ClaimShard,
        now_ms: float,
    ) -> bool:
        """Stores records after those already stored.

        Args:
            records: The new records.
            shard: The shard as loaded, without `records`.
            now_ms: Wall clock time, in ms, for the retention.

        Returns:
            False if another writer was faster; the caller loads again.

        Raises:
            StoreFullError: If the compacted shard would be over its size.
            KvUnavailableError: If nothing was written.
            KvAnswerLostError: If that is not known.
        """
        deletes: list[str] = []
        stored = list(records)
        compacted = self._head.bytes_compacted
        if len(self._batches) >= MAX_BATCHES:
            merged = {r.key: r for r in shard.live_records(now_ms)}
            merged.update({r.key: r for r in records})
            stored = list(merged.values())
            deletes = list(self._batches)
        value = msgspec.json.encode(stored)
        if deletes:
            compacted = len(value)
        if len(value) > MAX_COMPACTED_BYTES:
            raise base.StoreFullError(f"claim shard {self.shard_id}")
        head = _Head(self._head.sequence + 1, compacted)
        batch_key = f"{self.prefix}log/{head.sequence:012d}"
        result = self.store.txn(
            [kv.Compare(self._head_key, self._head_revision)],
            [
                kv.Put(self._head_key, msgspec.json.encode(head)),
                kv.Put(batch_key, value),
            ],
            deletes,
        )
        if not result.succeeded:
            return False
        self._head = head
        self._head_revision = result.revision
        kept = [] if deletes else self._batches
        self._batches = [*kept, batch_key]
        return True
