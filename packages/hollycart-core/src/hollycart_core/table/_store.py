"""Storage of the table in the key-value store.

The rows are spread over shards. Each edit is a transaction that writes the
changed shards, the head and a history record, and that succeeds only if the
head has not changed since the table was read (compare-and-swap).
"""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec
import xxhash

from hollycart_core import base
from hollycart_core import kv
from hollycart_core.table import _rows
from hollycart_core.table import _table

SHARDS = 16
MAX_SHARD_BYTES = 900_000
MAX_HISTORY_RECORDS = 500

_HEAD = "hollycart/table/head"
_SHARD = "hollycart/table/shard/"
_HISTORY = "hollycart/history/"
PREFIX = "hollycart/table/"
_READ_BACK_INTERVAL_MS = 50
_MAX_READ_BACKS = 40


class HeadRecord(NamedTuple):
    """The revision in force and the edit that created it."""

    revision: int
    edit_id: str


class HistoryRecord(NamedTuple):
    """A committed edit.

    Attributes:
        revision: Revision that the edit created.
        edit_id: Unique per edit; identifies the edit if the response to its
            transaction was lost.
        author: Who made the edit.
        at_ms: Wall clock time of the edit, in ms.
        before: Rows before the edit.
        changes: Rows after the edit.
    """

    revision: int
    edit_id: str
    author: str
    at_ms: float
    before: tuple[_table.RowChange, ...]
    changes: tuple[_table.RowChange, ...]


class _ShardRecord(NamedTuple):
    limits: tuple[_rows.LimitRow, ...] = ()
    teams: tuple[_rows.TeamRow, ...] = ()


class StoredTable(NamedTuple):
    """A table with the store revisions at which it was read.

    Attributes:
        table: The table.
        store_revision: Revision of the key-value store; the table includes
            all edits up to it.
        head_revision: Store revision of the last write of the head.
    """

    table: _table.Table
    store_revision: int
    head_revision: int


class StoredDeltas(NamedTuple):
    """Deltas with the store revision at which they were read.

    Attributes:
        deltas: Deltas after a revision of the table, in order.
        store_revision: Revision of the key-value store; the deltas include
            all edits up to it.
    """

    deltas: tuple[_table.Delta, ...]
    store_revision: int


def _shard_of(row_key: str) -> str:
    owner = row_key.split("/")[1]
    return f"{_SHARD}{xxhash.xxh64_intdigest(owner.encode()) % SHARDS:02d}"


def _history_key(revision: int) -> str:
    return f"{_HISTORY}{revision:010d}"


class TableStore:
    """Reads and edits the stored table.

    Args:
        store: The key-value store.
        clock: Source of time.

    Example:
        >>> clock = base.ManualClock()
        >>> tables = TableStore(kv.MemoryStore(clock), clock)
        >>> row = _rows.TeamRow("a", ("ff",))
        >>> change = _table.RowChange.of(row.key, 0, row)
        >>> tables.commit([change], "e1", "me").revision
        1
    """

    def __init__(self, store: kv.KeyValueStore, clock: base.Clock) -> None:
        self.store = store
        self.clock = clock

    def read(self) -> _table.Table:
        """Returns the stored table at one consistent revision.

        Raises:
            KvUnavailableError: If the store does not answer.
        """
        return self.load().table

    def read_deltas(self, revision: int) -> StoredDeltas:
        """Returns the deltas after a revision, without reading the whole table.

        Raises:
            KvUnavailableError: If the store does not answer.
        """
        deltas: list[_table.Delta] = []
        while True:
            number = revision + len(deltas) + 1
            found = self.store.range(_history_key(number))
            if not found.items:
                return StoredDeltas(tuple(deltas), found.revision)
            record = msgspec.json.decode(
                found.items[0].value, type=HistoryRecord
            )
            deltas.append(_table.Delta(number, record.changes))

    def history(self) -> list[HistoryRecord]:
        """Returns the retained edits, the oldest first."""
        found = self.store.range(_HISTORY)
        return [
            msgspec.json.decode(item.value, type=HistoryRecord)
            for item in found.items
        ]

    def commit(
        self,
        changes: Sequence[_table.RowChange],
        edit_id: str,
        author: str,
    ) -> _table.Delta:
        """Commits an edit as the next revision.

        Args:
            changes: Changes, each with the version of the row that was read.
            edit_id: Unique identifier of this edit.
            author: Who makes the edit.

        Returns:
            The committed delta.

        Raises:
            VersionConflictError: If a row has changed since it was read.
            KvUnavailableError: If nothing was written.
            KvAnswerLostError: If the response was lost and reading back did not
                show whether the edit was committed.
        """
        first_revision = 0
        while True:
            stored = self.load()
            first_revision = first_revision or stored.table.revision + 1
            accepted = self._find_edit(edit_id, first_revision, stored.table)
            if accepted is not None:
                return accepted
            self._check_versions(stored.table, changes)
            delta = _table.Delta(stored.table.revision + 1, tuple(changes))
            if self._write(stored, delta, edit_id, author):
                return delta

    def load(self) -> StoredTable:
        """Reads the whole table and its store revisions.

        Raises:
            KvUnavailableError: If the store does not answer.
        """
        found = self.store.range(PREFIX)
        head = HeadRecord(0, "")
        head_mod_revision = 0
        rows: list[_rows.Row] = []
        for item in found.items:
            if item.key == _HEAD:
                head = msgspec.json.decode(item.value, type=HeadRecord)
                head_mod_revision = item.mod_revision
                continue
            shard = msgspec.json.decode(item.value, type=_ShardRecord)
            rows.extend(shard.limits)
            rows.extend(shard.teams)
        table = _table.Table.build(head.revision, rows)
        return StoredTable(table, found.revision, head_mod_revision)

    def _find_edit(
        self, edit_id: str, first_revision: int, table: _table.Table
    ) -> _table.Delta | None:
        """Finds this edit if it was committed but the response was lost."""
        for revision in range(first_revision, table.revision + 1):
            found = self.store.range(_history_key(revision))
            for item in found.items:
                record = msgspec.json.decode(item.value, type=HistoryRecord)
                if record.edit_id == edit_id:
                    return _table.Delta(revision, record.changes)
        return None

    def _check_versions(
        self, table: _table.Table, changes: Sequence[_table.RowChange]
    ) -> None:
        for change in changes:
            current = table.rows.get(change.key)
            version = current.version if current else 0
            if version != change.version_read:
                raise base.VersionConflictError(
                    f"{change.key}: read version {change.version_read}, "
                    f"now {version}; stored row {current}; new row {change.row}"
                )

    def _write(
        self,
        stored: StoredTable,
        delta: _table.Delta,
        edit_id: str,
        author: str,
    ) -> bool:
        after = stored.table.apply(delta)
        puts = [kv.Put(_HEAD, self._encode_head(delta.revision, edit_id))]
        for shard in sorted({_shard_of(c.key) for c in delta.changes}):
            puts.append(kv.Put(shard, self._encode_shard(shard, after)))
        record = self._make_history_record(stored.table, delta, edit_id, author)
        history_key = _history_key(delta.revision)
        puts.append(kv.Put(history_key, msgspec.json.encode(record)))
        deletes = [_history_key(delta.revision - MAX_HISTORY_RECORDS)]
        compare = kv.Compare(_HEAD, stored.head_revision)
        try:
            return self.store.txn([compare], puts, deletes).succeeded
        except base.KvAnswerLostError:
            return self._read_back(delta.revision, edit_id)

    def _read_back(self, revision: int, edit_id: str) -> bool:
        for _ in range(_MAX_READ_BACKS):
            self.clock.sleep_ms(_READ_BACK_INTERVAL_MS)
            try:
                found = self.store.range(_history_key(revision))
                current = self.load().table.revision
            except base.KvUnavailableError:
                continue
            if found.items:
                record = msgspec.json.decode(
                    found.items[0].value, type=HistoryRecord
                )
                return record.edit_id == edit_id
            if current < revision:
                return False
        raise base.KvAnswerLostError(
            f"edit {edit_id}: outcome unknown, check the history for "
            f"revision {revision}"
        )

    def _make_history_record(
        self,
        table: _table.Table,
        delta: _table.Delta,
        edit_id: str,
        author: str,
    ) -> HistoryRecord:
        before = tuple(
            _table.RowChange.of(c.key, c.version_read, table.rows.get(c.key))
            for c in delta.changes
        )
        return HistoryRecord(
            delta.revision,
            edit_id,
            author,
            self.clock.wall_ms(),
            before,
            delta.changes,
        )

    def _encode_head(self, revision: int, edit_id: str) -> bytes:
        return msgspec.json.encode(HeadRecord(revision, edit_id))

    def _encode_shard(self, shard: str, table: _table.Table) -> bytes:
        shard_rows = [
            r for r in table.rows.values() if _shard_of(r.key) == shard
        ]
        record = _ShardRecord(
            tuple(r for r in shard_rows if isinstance(r, _rows.LimitRow)),
            tuple(r for r in shard_rows if isinstance(r, _rows.TeamRow)),
        )
        value = msgspec.json.encode(record)
        if len(value) > MAX_SHARD_BYTES:
            raise base.StoreFullError(
                f"{shard}: {len(value)} bytes exceed the shard limit"
            )
        return value
