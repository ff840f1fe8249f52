"""Keeps traits in quarantine in the store, beyond the life of all instances."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from absl import logging
import eventlet
import msgspec
import result
import xxhash

from hollycart.gateway import _crash_messages
from hollycart.gateway import _peers
from hollycart_core import base
from hollycart_core import crashes
from hollycart_core import kv

# Lifetime of a record, in ms: the longest lease that stores grant.
_LIFETIME_MS = 600_000.0
# Records that wait to be written. What comes beyond is not kept.
_MAX_WAITING = 64
_MAX_ATTEMPTS = 4
_RETRY_INTERVAL_MS = 1000.0
# Pause between two records: two writes each, from one instance of each cell.
_WRITE_INTERVAL_MS = 100.0
_MAX_VERSION = 2**31
_ENTRY_DECODER = msgspec.json.Decoder(_crash_messages.Entry)


class QuarantineRecords:
    """Writes traits that are clear culprits, and reads them after a start.

    The load it answers: requests that crash engines go on while all instances
    are killed. Without a memory, each of them would be found again by further
    crashes.

    A trait is written once, in the background, by the instance that rendezvous
    hashing chooses, and deleted when it is released. A record ends with its
    lease. Nothing on the path of a request waits for it.

    Args:
        peers: The other instances, one of which writes.
        quarantine: Receives what was read.
        store: The platform's key-value store.
        encode: Returns the write of a record, by its name and value.
        clock: Source of time.
        on_read: Called with the entries that were read.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        quarantine: crashes.Quarantine,
        store: kv.KeyValueStore,
        encode: Callable[[str, bytes], kv.Put],
        clock: base.Clock,
        on_read: Callable[[list[crashes.QuarantineEntry]], None],
    ) -> None:
        self.peers = peers
        self.quarantine = quarantine
        self.store = store
        self.encode = encode
        self.clock = clock
        self.on_read = on_read
        self._stored: frozenset[str] = frozenset()
        self._waiting: dict[str, crashes.QuarantineEntry] = {}
        self._thread: Any = None
        self._guard = base.LoopGuard("writing quarantine records")

    def close(self) -> None:
        """Stops to write."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def record(self, entries: Iterable[crashes.QuarantineEntry]) -> None:
        """Schedules the writes that changed entries need, if any."""
        for entry in entries:
            name = _name(entry)
            # Sound requests that are suspected for a moment are not kept.
            is_due = (
                name in self._stored
                if entry.released
                else entry.is_clear and name not in self._stored
            )
            if is_due and self._is_writer(name):
                self._schedule(name, entry)

    def record_restored_store(self) -> None:
        """Schedules the records that a restored store may have lost."""
        self._stored = frozenset()
        self.record(self.quarantine.entries)

    def apply(self, records: Mapping[str, bytes]) -> None:
        """Applies the records in the store; malformed ones are logged.

        Traits that are known here are left as they are.
        """
        new = [name for name in records if name not in self._stored]
        self._stored = frozenset(records)
        known = {_name(e) for e in self.quarantine.entries}
        read = []
        for name in new:
            if name in known:
                continue
            parsed = base.parse(_parse_record, records[name])
            if isinstance(parsed, result.Err):
                logging.warning(
                    "malformed quarantine record %s: %s", name, parsed.err_value
                )
                continue
            merged = self._merge(parsed.ok_value)
            if merged is not None:
                read.append(merged)
        if read:
            self.on_read(read)

    def _merge(
        self, record: _crash_messages.Entry
    ) -> crashes.QuarantineEntry | None:
        now_ms = self.clock.now_ms()
        entry = _crash_messages.unpack_entry(record, now_ms)
        # How long ago it was written is not known.
        entry = entry._replace(
            trial_at_ms=now_ms + entry.trial_delay_ms, trial_by=""
        )
        return self.quarantine.merge(entry, now_ms)

    def _is_writer(self, name: str) -> bool:
        names = [self.peers.name, *self.peers.live()]
        return base.rendezvous_rank(name, names)[0] == self.peers.name

    def _schedule(self, name: str, entry: crashes.QuarantineEntry) -> None:
        if name not in self._waiting and len(self._waiting) >= _MAX_WAITING:
            logging.warning("quarantine record %s is not written", name)
            return
        self._waiting[name] = entry
        if self._thread is None:
            self._thread = eventlet.spawn(self._run)

    def _run(self) -> None:
        while self._waiting:
            name, entry = next(iter(self._waiting.items()))
            del self._waiting[name]
            with self._guard.turn():
                self._write(name, entry)
            self.clock.sleep_ms(_WRITE_INTERVAL_MS)
        self._thread = None

    def _write(self, name: str, entry: crashes.QuarantineEntry) -> None:
        for _ in range(_MAX_ATTEMPTS):
            try:
                self._write_once(name, entry)
                return
            except base.HollycartError as exc:
                logging.info("quarantine record not written: %s", exc.detail)
            self.clock.sleep_ms(_RETRY_INTERVAL_MS)
            if name in self._waiting:
                return  # a later change replaces it

    def _write_once(self, name: str, entry: crashes.QuarantineEntry) -> None:
        packed = _crash_messages.pack_entry(entry, self.clock.now_ms())
        put = self.encode(name, msgspec.json.encode(packed))
        if entry.released:
            self.store.txn((), (), (put.key,))
            return
        lease_id = self.store.grant_lease(_LIFETIME_MS)
        # One of another cell may have written it.
        self.store.txn(
            (kv.Compare(put.key, 0),), (put._replace(lease_id=lease_id),)
        )


def _parse_record(value: bytes) -> _crash_messages.Entry:
    """Returns a record.

    Raises:
        ValueError: If it is not one that `QuarantineRecords` writes.
    """
    record = _ENTRY_DECODER.decode(value)
    # Without traits, it would keep away every request of the service.
    if record.trait not in record.traits:
        raise ValueError(f"{record.trait!r} is not among its own traits")
    if record.released or not 0 < record.version <= _MAX_VERSION:
        raise ValueError(f"version {record.version}, or released")
    if not 0 <= record.failed_trials <= _MAX_VERSION:
        raise ValueError(f"{record.failed_trials} failed trials")
    if not 0.0 <= record.trial_delay_ms <= _LIFETIME_MS:
        raise ValueError(f"trials after {record.trial_delay_ms:.0f} ms")
    return record


def _name(entry: crashes.QuarantineEntry) -> str:
    """Returns the name of an entry's record."""
    return xxhash.xxh3_64_hexdigest(f"{entry.service}\0{entry.trait}".encode())
