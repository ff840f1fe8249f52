"""Storage of one claim shard as a log with compaction."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from hollycart_core import base
from hollycart_core import kv
from hollycart_core.claims import _records
from hollycart_core.claims import _shard

MAX_BATCHES = 64  # before compaction
MAX_COMPACTED_BYTES = 900_000


class _Head(NamedTuple):
    """The head of the log, compared and replaced by each append.

    Attributes:
        sequence: Number of the last batch.
        bytes_compacted: Size of the batch that the last compaction wrote.
    """

    sequence: int
    bytes_compacted: int


class ClaimLog:
    """Appends records to a shard in the key-value store.

    Each append is one transaction that compares the revision of the shard's
    head and replaces the head. A writer with an outdated head is thereby
    fenced off.

    Args:
        store: The key-value store.
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
            KvUnavailableError: If the store does not answer.
        """
        snapshot = self.store.range(self.prefix)
        self._head = _Head(0, 0)
        self._head_revision = 0
        self._batches = []
        shard = _shard.ClaimShard()
        for item in snapshot.items:
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
        """Stores records in a new batch; compacts the log if it is long.

        Args:
            records: The new records.
            shard: The shard as loaded, without `records`.
            now_ms: Wall clock time, in ms. Compaction drops records whose
                retention time has passed.

        Returns:
            Whether the records were stored. On False another writer changed
            the shard, and the caller must load it again.

        Raises:
            StoreFullError: If the batch exceeds `MAX_COMPACTED_BYTES`.
            KvUnavailableError: If nothing was written.
            KvAnswerLostError: If it is unknown whether the records were
                written.
        """
        deleted_keys: list[str] = []
        stored = list(records)
        compacted_bytes = self._head.bytes_compacted
        if len(self._batches) >= MAX_BATCHES:
            merged = {r.key: r for r in shard.live_records(now_ms)}
            merged.update({r.key: r for r in records})
            stored = list(merged.values())
            deleted_keys = list(self._batches)
        value = msgspec.json.encode(stored)
        if deleted_keys:
            compacted_bytes = len(value)
        if len(value) > MAX_COMPACTED_BYTES:
            raise base.StoreFullError(
                f"claim shard {self.shard_id}: batch of {len(value)} bytes "
                f"exceeds {MAX_COMPACTED_BYTES}"
            )
        head = _Head(self._head.sequence + 1, compacted_bytes)
        batch_key = f"{self.prefix}log/{head.sequence:012d}"
        result = self.store.txn(
            [kv.Compare(self._head_key, self._head_revision)],
            [
                kv.Put(self._head_key, msgspec.json.encode(head)),
                kv.Put(batch_key, value),
            ],
            deleted_keys,
        )
        if not result.succeeded:
            return False
        self._head = head
        self._head_revision = result.revision
        remaining_batches = [] if deleted_keys else self._batches
        self._batches = [*remaining_batches, batch_key]
        return True
