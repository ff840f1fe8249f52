"""Keeps the platform's state up to date with few reads of the store.

A few instances poll the store. The others query them for how recently the state
was confirmed, and fetch the state from them when it differs.
"""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
import eventlet

from hollycart import observe
from hollycart.gateway import _history
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _read_times
from hollycart.gateway import _shared_state
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement

# Number of instances that poll the store. One suffices; the second avoids a
# delay when one of them fails.
_READER_COUNT = 2
# Registrations of other instances are not urgent: a new instance announces
# itself. Shortest time between two fetches that only they cause.
_PEERS_FETCH_INTERVAL_MS = 2000.0
_FETCH_TIMEOUT_MS = 400.0
_MAX_STATE_BYTES = 16 << 20
_MAX_CONCURRENT_READS = 2
# A restored store may hold keys that were revoked since. An instance that has
# just started waits so long for peers that know better.
_PEER_ANSWER_MS = 150.0
# Peers that an instance queries beside the readers if its state is old.
_EXTRA_QUERIES = 3
_FIRST_QUERIES = 8  # peers that an instance queries with its first state
# Leases expire only in store outages longer than this.
_LEASE_EXPIRY_OUTAGE_MS = 900.0


class StateReader:
    """Polls the store, or obtains the state from the instances that do.

    Args:
        name: Name of this instance.
        store: The platform's key-value store.
        decoder: Decodes the contents of the store.
        platform_state: Updated with each newer state.
        log: Decision log.
        clock: Source of time.
        rng: Source of randomness.
        peer_port: TCP port on which peers serve their state.
        schedule: Intervals of reads and queries.

    Attributes:
        on_change: Called after a changed state was applied.
        on_store_restored: Called when the store has started a new era.
    """

    def __init__(
        self,
        name: str,
        store: kv.KeyValueStore,
        decoder: _state.StateDecoder,
        platform_state: _state.PlatformState,
        log: observe.DecisionLog,
        clock: base.Clock,
        rng: random.Random,
        peer_port: int,
        schedule: _read_times.ReadSchedule,
    ) -> None:
        self.name = name
        self.store = store
        self.decoder = decoder
        self.platform_state = platform_state
        self.log = log
        self.clock = clock
        self.rng = rng
        self.peer_port = peer_port
        self.schedule = schedule
        self.on_change: Callable[[], None] = lambda: None
        self.on_store_restored: Callable[[], None] = lambda: None
        self.reads_succeeded = 0
        self.reads_failed = 0
        self._peers: _peers.PeerExchange | None = None
        self._thread: Any = None
        self._reads_in_flight = 0
        self._last_read_ms = float("-inf")
        self._last_query_ms = float("-inf")
        self._last_success_ms = float("-inf")
        self._failing_since_ms: float | None = None
        self._fetch_in_flight = False
        self._last_peers_fetch_ms = float("-inf")
        self._encoded: tuple[_history.RawState, bytes] | None = None
        self._was_fresh = True
        self._history = _history.StoreHistory(decoder)
        self._first_state_ms = float("inf")
        self._heard_peer = False
        self._unconfirmed_ms: float | None = None
        self._guard = base.LoopGuard("learning the state")

    def start(self, peers: _peers.PeerExchange) -> None:
        """Starts polling.

        Args:
            peers: Exchange of datagrams with the other instances.
        """
        self._peers = peers
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stops polling."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def reads_store(self) -> bool:
        """Returns whether a recent read of the store succeeded here."""
        return (
            self.clock.now_ms() - self._last_success_ms
            < self.schedule.reader_timeout_ms
        )

    def handle_query(
        self, query: _messages.FreshnessQuery
    ) -> _messages.FreshnessReply | None:
        """Returns how recently the state was confirmed here.

        Returns:
            The reply, or None if there is no state or it is stale.
        """
        current = self.platform_state.snapshot
        if current is None:
            return None
        now_ms = self.clock.now_ms()
        if not self.platform_state.freshness.is_fresh(now_ms):
            return None
        return _messages.FreshnessReply(
            self.name,
            query.sent_ms,
            round(self.platform_state.freshness.age_ms(now_ms), 1),
            current.revision,
            current.config_revision,
            current.digest,
            self._peers_digest(),
            current.era,
        )

    def _peers_digest(self) -> int:
        raw = self.platform_state.raw
        return raw.peers_digest if raw else 0

    def handle_reply(self, message: _messages.FreshnessReply, ip: str) -> None:
        """Confirms the state, or fetches it from the peer if it differs.

        The instant of the confirmation is counted back from the sending of
        the query, so that the time the datagrams took does not make the state
        look fresher than it is.
        """
        confirmed_ms = message.query_sent_ms - message.age_ms
        current = self.platform_state.snapshot
        if current is not None and message.digest == current.digest:
            self._heard_peer = True
            self._confirm(confirmed_ms)
            if message.peers_digest != self._peers_digest():
                self._schedule_peers_fetch(ip)
        elif (
            current is None
            or message.position >= current.position
            or self._awaits_peers()
        ):
            self._schedule_fetch(ip)

    def handle_state_changed(
        self, changed: _messages.StateChanged, ip: str
    ) -> None:
        """Fetches a peer's changed state unless this instance has it."""
        current = self.platform_state.snapshot
        if current is None or current.digest != changed.digest:
            self._schedule_fetch(ip)

    def encode_state(self) -> bytes | None:
        """Returns the compressed state for a peer, or None without a state."""
        raw = self.platform_state.raw
        if raw is None:
            return None
        # All instances of a cell fetch a changed state within a few ms.
        if self._encoded is None or self._encoded[0] is not raw:
            self._encoded = (raw, _shared_state.compress(raw))
        age_ms = self.platform_state.freshness.age_ms(self.clock.now_ms())
        return _shared_state.encode_reply(age_ms, self._encoded[1])

    def _run(self) -> None:
        while True:
            with self._guard.turn():
                self._poll()
            self.clock.sleep_ms(
                self.schedule.loop_interval_ms * (0.8 + 0.4 * self.rng.random())
            )

    def _poll(self) -> None:
        """Starts what is due: a read of the store, queries of the peers."""
        now_ms = self.clock.now_ms()
        self.platform_state.remove_expired(now_ms)
        if self._unconfirmed_ms is not None:
            self._confirm(self._unconfirmed_ms)
        self._log_freshness_change(now_ms)
        due = now_ms - self._last_read_ms >= self.schedule.read_interval_ms
        if due and self._should_read(now_ms):
            self._last_read_ms = now_ms
            if self._reads_in_flight < _MAX_CONCURRENT_READS:
                eventlet.spawn_n(self._read_guarded)
        if now_ms - self._last_query_ms >= self.schedule.query_interval_ms:
            self._last_query_ms = now_ms
            self._query_peers(now_ms)

    def _log_freshness_change(self, now_ms: float) -> None:
        age_ms = self.platform_state.freshness.age_ms(now_ms)
        fresh = self.platform_state.freshness.is_fresh(now_ms)
        if fresh == self._was_fresh or self.platform_state.snapshot is None:
            return
        self._was_fresh = fresh
        decision_type = (
            observe.decisions.FreshnessRegained
            if fresh
            else observe.decisions.FreshnessLost
        )
        self.log.write(decision_type(round(age_ms, 1)))

    def _should_read(self, now_ms: float) -> bool:
        age_ms = self.platform_state.freshness.age_ms(now_ms)
        return (
            age_ms > self.schedule.direct_read_age_ms
            or self.name in self._reader_names()
        )

    def _reader_names(self) -> list[str]:
        assert self._peers is not None
        candidates = [
            name for name, reads in self._peers.live().items() if reads
        ]
        if self.reads_store():
            candidates.append(self.name)
        return base.rendezvous_rank("state-reader", candidates)[:_READER_COUNT]

    def _query_peers(self, now_ms: float) -> None:
        assert self._peers is not None
        snapshot = self.platform_state.snapshot
        if snapshot is not None and self._awaits_peers():
            self._query_listed_peers(snapshot)
        readers = self._reader_names()
        if self.name in readers:
            return
        ips = [ip for name in readers if (ip := self._peers.ip_of(name))]
        if (
            self.platform_state.freshness.age_ms(now_ms)
            > self.schedule.direct_read_age_ms
        ):
            other_ips = [ip for ip in self._peers.addresses() if ip not in ips]
            ips += self.rng.sample(
                other_ips, min(_EXTRA_QUERIES, len(other_ips))
            )
        self._peers.query_freshness(ips)

    def _query_listed_peers(self, snapshot: _state.Snapshot) -> None:
        """Queries peers of any cell that are registered; seeds may be stale."""
        assert self._peers is not None
        ips = sorted(
            a.ip for a in snapshot.peers.values() if a.ip != self._peers.ip
        )
        self._peers.query_freshness(
            self.rng.sample(ips, min(_FIRST_QUERIES, len(ips)))
        )

    def _read_guarded(self) -> None:
        with self._guard.turn():
            self._read()

    def _read(self) -> None:
        self._reads_in_flight += 1
        started_ms = self.clock.now_ms()
        try:
            contents = self.store.range("")
        except base.HollycartError as exc:
            self.reads_failed += 1
            if self._failing_since_ms is None:
                self._failing_since_ms = started_ms
                self._log_store_lost(exc)
            return
        finally:
            self._reads_in_flight -= 1
        now_ms = self.clock.now_ms()
        failing_since_ms = self._failing_since_ms
        if failing_since_ms is not None:
            self.log.write(
                observe.decisions.StoreRegained(
                    round(now_ms - failing_since_ms, 1)
                )
            )
        if (
            failing_since_ms is not None
            and now_ms - failing_since_ms > _LEASE_EXPIRY_OUTAGE_MS
        ):
            self.platform_state.record_outage_end(now_ms)
        self._failing_since_ms = None
        self._last_success_ms = now_ms
        self.reads_succeeded += 1
        self._apply_state(_shared_state.SharedState(contents), started_ms)

    def _awaits_peers(self) -> bool:
        """Returns whether peers may know values that a restored store lacks.

        Their revisions tell nothing: they may lag in the same era.
        """
        raw = self.platform_state.raw
        return raw is not None and raw.contents.era > 0 and not self._heard_peer

    def _confirm(self, confirmed_ms: float) -> None:
        """Confirms the state, after a start only once peers could answer.

        They are queried with the first state that was read.
        """
        waited_ms = self.clock.now_ms() - self._first_state_ms
        if self._awaits_peers() and (
            waited_ms < _PEER_ANSWER_MS or self._fetch_in_flight
        ):
            self._unconfirmed_ms = confirmed_ms
            return
        self._unconfirmed_ms = None
        self.platform_state.freshness.confirm(confirmed_ms)

    def _apply_state(
        self, shared: _shared_state.SharedState, confirmed_ms: float
    ) -> None:
        """Applies a read of the store or the state of a peer.

        Args:
            shared: What was read or received.
            confirmed_ms: Instant at which the state was the newest.
        """
        assert self._peers is not None
        current = self.platform_state.snapshot
        raw = self._history.update(
            shared.contents, shared.former, shared.era_start
        )
        if raw is None:
            return
        if current is not None and raw.contents.era != current.era:
            self._record_new_era(current.era, raw)
        peers_changed = raw.peers_digest != self._peers_digest()
        if (
            current is not None
            and raw.digest == current.digest
            and not peers_changed
        ):
            snapshot = current._replace(
                revision=raw.contents.revision, era=raw.contents.era
            )
        else:
            snapshot = self.decoder.decode(raw.merge())
            snapshot = snapshot._replace(digest=raw.digest)
        before = self.platform_state.endpoints
        now_ms = self.clock.now_ms()
        self._first_state_ms = min(self._first_state_ms, now_ms)
        changed = self.platform_state.apply(raw, snapshot, now_ms)
        self._confirm(confirmed_ms)
        self._peers.add_addresses(snapshot.peers.values())
        if current is None:
            self._query_listed_peers(snapshot)
        if changed or peers_changed:
            self.on_change()
        if changed:
            self._log_state(before, snapshot, now_ms)
            self._peers.broadcast_state_changed(raw.digest)

    def _record_new_era(self, former_era: int, raw: _history.RawState) -> None:
        """Records that the store was restored from an older copy."""
        now_ms = self.clock.now_ms()
        # What the copy lacks is written again, as after an outage.
        self.platform_state.record_outage_end(now_ms)
        self.on_store_restored()
        self.log.write(
            observe.decisions.StoreRestored(
                former_era,
                raw.contents.era,
                raw.contents.revision,
                tuple(f.item.key for f in raw.former),
                round(self.platform_state.freshness.age_ms(now_ms), 1),
            )
        )

    def _log_store_lost(self, exc: base.HollycartError) -> None:
        age_ms = self.platform_state.freshness.age_ms(self.clock.now_ms())
        has_state = self.platform_state.snapshot is not None
        self.log.write(
            observe.decisions.StoreLost(
                exc.detail, round(age_ms, 1) if has_state else None
            )
        )

    def _log_state(
        self,
        before: dict[str, placement.Endpoint],
        snapshot: _state.Snapshot,
        now_ms: float,
    ) -> None:
        after = self.platform_state.endpoints
        leaving = [
            i
            for i, e in after.items()
            if e.leaving and not (i in before and before[i].leaving)
        ]
        self.log.write(
            observe.decisions.StateLearned(
                snapshot.revision,
                snapshot.config.version if snapshot.config else 0,
                len(after),
                tuple(i for i in after if i not in before),
                tuple(leaving),
                tuple(i for i in before if i not in after),
                round(self.platform_state.freshness.age_ms(now_ms), 1),
            )
        )

    def _schedule_peers_fetch(self, ip: str) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self._last_peers_fetch_ms >= _PEERS_FETCH_INTERVAL_MS:
            self._last_peers_fetch_ms = now_ms
            self._schedule_fetch(ip)

    def _schedule_fetch(self, ip: str) -> None:
        if not self._fetch_in_flight:
            self._fetch_in_flight = True
            eventlet.spawn_n(self._fetch_guarded, ip)

    def _fetch_guarded(self, ip: str) -> None:
        with self._guard.turn():
            self._fetch(ip)

    def _fetch(self, ip: str) -> None:
        started_ms = self.clock.now_ms()
        conn = connections.ClientConnection(
            f"{ip}:{self.peer_port}", self.clock
        )
        try:
            conn.start(_FETCH_TIMEOUT_MS)
            conn.send(
                connections.RequestHead(
                    b"GET", b"/state", ((b"Host", b"peer"),)
                ),
                b"",
                _FETCH_TIMEOUT_MS,
            )
            head = conn.read_head(_FETCH_TIMEOUT_MS)
            body = conn.read_body(_FETCH_TIMEOUT_MS, _MAX_STATE_BYTES)
            if head.status != 200:
                return
            age_ms, shared = _shared_state.decode_reply(body)
        except base.HollycartError as exc:
            logging.info("fetching the state from peer %s failed: %s", ip, exc)
            self._last_read_ms = float("-inf")  # makes a read due
            return
        finally:
            conn.close()
            self._fetch_in_flight = False
        if age_ms <= self.platform_state.freshness.max_age_ms:
            self._heard_peer = True
            self._apply_state(shared, started_ms - age_ms)
