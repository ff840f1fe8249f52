"""Keeps the state fresh: few instances read the store, the others ask them."""

from collections.abc import Callable
import random
from typing import Any
import zlib

from absl import logging
import eventlet
import msgspec

from hollycart import observe
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _read_times
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement

# Instances that read the store; one more than needed, so that a loss of one
# delays nobody.
_READERS = 2
_TICK_MS = 50.0
_FETCH_TIMEOUT_MS = 400.0
_MAX_STATE_BYTES = 16 << 20
_MAX_READS_AT_ONCE = 2
# Outages of the store below this length let no lease lapse.
_SHORT_OUTAGE_MS = 900.0


class _StateReply(msgspec.Struct, array_like=True):
    """A state passed on to a peer, with the age of its proof."""

    age_ms: float
    read: kv.RangeResult
    digest: int


_REPLY_DECODER = msgspec.msgpack.Decoder(_StateReply)


class StateReader:
    """Reads the store, or learns from the instances that do.

    Args:
        name: Name of this instance.
        store: The platform's key-value store.
        decoder: Decodes what lies there.
        platform_state: Receives what is learned.
        log: Receives the decisions.
        clock: Source of time.
        rng: Source of randomness.
        peer_port: TCP port on which peers pass on their state.
        times: How often the state is read.

    Attributes:
        on_change: Called after a new state was taken over.
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
        times: _read_times.ReadSchedule,
    ) -> None:
        self.name = name
        self.store = store
        self.decoder = decoder
        self.platform_state = platform_state
        self.log = log
        self.clock = clock
        self.rng = rng
        self.peer_port = peer_port
        self.times = times
        self.on_change: Callable[[], None] = lambda: None
        self.reads_ok = 0
        self.reads_failed = 0
        self._peers: _peers.PeerExchange | None = None
        self._thread: Any = None
        self._reading = 0
        self._last_read_ms = float("-inf")
        self._last_ask_ms = float("-inf")
        self._last_success_ms = float("-inf")
        self._failing_since_ms: float | None = None
        self._fetching = False
        self._fresh = True

    def start(self, peers: _peers.PeerExchange) -> None:
        """Begins to read."""
        self._peers = peers
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stops."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def reads_store(self) -> bool:
        """Returns whether this instance reads the store successfully."""
        return (
            self.clock.now_ms() - self._last_success_ms
            < self.times.reader_timeout_ms
        )

    def answer(
        self, question: _messages.FreshnessQuery
    ) -> _messages.FreshnessReply | None:
        """Returns the proof held here, None without a state."""
        known = self.platform_state.snapshot
        if known is None:
            return None
        now_ms = self.clock.now_ms()
        if not self.platform_state.freshness.is_fresh(now_ms):
            return None
        return _messages.FreshnessReply(
            self.name,
            question.stamp_ms,
            round(self.platform_state.freshness.age_ms(now_ms), 1),
            known.revision,
            known.config_revision,
            known.digest,
        )

    def take_vouch(self, vouch: _messages.FreshnessReply, ip: str) -> None:
        """Takes over a peer's proof, and its state if that differs."""
        began_ms = vouch.stamp_ms - vouch.age_ms
        known = self.platform_state.snapshot
        if known is not None and vouch.digest == known.digest:
            self.platform_state.freshness.confirm(began_ms)
        elif known is None or vouch.revision >= known.revision:
            self._fetch_soon(ip)

    def take_changed(self, changed: _messages.StateChanged, ip: str) -> None:
        """Fetches the state of a peer that has just learned a new one."""
        known = self.platform_state.snapshot
        if known is None or known.digest != changed.digest:
            self._fetch_soon(ip)

    def encode_state(self) -> bytes | None:
        """Returns the state for a peer, None if there is none."""
        raw = self.platform_state.raw
        if raw is None:
            return None
        age_ms = self.platform_state.freshness.age_ms(self.clock.now_ms())
        reply = _StateReply(age_ms, raw.read, raw.digest)
        return zlib.compress(msgspec.msgpack.encode(reply), 1)

    def _run(self) -> None:
        while True:
            now_ms = self.clock.now_ms()
            self.platform_state.expire(now_ms)
            self._note_freshness(now_ms)
            due = now_ms - self._last_read_ms >= self.times.read_interval_ms
            if due and self._should_read(now_ms):
                self._last_read_ms = now_ms
                if self._reading < _MAX_READS_AT_ONCE:
                    eventlet.spawn_n(self._read)
            if now_ms - self._last_ask_ms >= self.times.query_interval_ms:
                self._last_ask_ms = now_ms
                self._ask(now_ms)
            self.clock.sleep_ms(_TICK_MS * (0.8 + 0.4 * self.rng.random()))

    def _note_freshness(self, now_ms: float) -> None:
        age_ms = self.platform_state.freshness.age_ms(now_ms)
        fresh = self.platform_state.freshness.is_fresh(now_ms)
        if fresh == self._fresh or self.platform_state.snapshot is None:
            return
        self._fresh = fresh
        kind = (
            observe.decisions.FreshnessRegained
            if fresh
            else observe.decisions.FreshnessLost
        )
        self.log.write(kind(round(age_ms, 1)))

    def _should_read(self, now_ms: float) -> bool:
        age_ms = self.platform_state.freshness.age_ms(now_ms)
        return (
            age_ms > self.times.direct_read_age_ms
            or self.name in self._readers()
        )

    def _readers(self) -> list[str]:
        assert self._peers is not None
        able = [name for name, reads in self._peers.live().items() if reads]
        if self.reads_store():
            able.append(self.name)
        return base.rendezvous_rank("state-reader", able)[:_READERS]

    def _ask(self, now_ms: float) -> None:
        assert self._peers is not None
        readers = self._readers()
        if self.name in readers:
            return
        ips = [ip for name in readers if (ip := self._peers.ip_of(name))]
        if (
            self.platform_state.freshness.age_ms(now_ms)
            > self.times.direct_read_age_ms
        ):
            others = [ip for ip in self._peers.addresses() if ip not in ips]
            ips += self.rng.sample(others, min(3, len(others)))
        self._peers.ask(ips)

    def _read(self) -> None:
        self._reading += 1
        began_ms = self.clock.now_ms()
        try:
            read = self.store.range("")
        except base.HollycartError as exc:
            self.reads_failed += 1
            if self._failing_since_ms is None:
                self._failing_since_ms = began_ms
                self._note_store_lost(exc)
            return
        finally:
            self._reading -= 1
        now_ms = self.clock.now_ms()
        failing_ms = self._failing_since_ms
        if failing_ms is not None:
            self.log.write(
                observe.decisions.StoreRegained(round(now_ms - failing_ms, 1))
            )
        if failing_ms is not None and now_ms - failing_ms > _SHORT_OUTAGE_MS:
            self.platform_state.note_outage_end(now_ms)
        self._failing_since_ms = None
        self._last_success_ms = now_ms
        self.reads_ok += 1
        self._learn(_state.RawState(read, _state.digest_of(read)), began_ms)

    def _learn(self, raw: _state.RawState, began_ms: float) -> None:
        assert self._peers is not None
        known = self.platform_state.snapshot
        if known is not None and raw.read.revision < known.revision:
            return
        if known is not None and raw.digest == known.digest:
            snapshot = known._replace(revision=raw.read.revision)
        else:
            snapshot = self.decoder.decode(raw.read)
            snapshot = snapshot._replace(digest=raw.digest)
        before = self.platform_state.endpoints
        now_ms = self.clock.now_ms()
        changed = self.platform_state.apply(raw, snapshot, now_ms)
        self.platform_state.freshness.confirm(began_ms)
        self._peers.set_addresses(set(snapshot.peers.values()))
        if changed:
            self.on_change()
            self._note_state(before, snapshot, now_ms)
            self._peers.broadcast_state_changed(raw.digest)

    def _note_store_lost(self, exc: base.HollycartError) -> None:
        age_ms = self.platform_state.freshness.age_ms(self.clock.now_ms())
        known = self.platform_state.snapshot is not None
        self.log.write(
            observe.decisions.StoreLost(
                exc.detail, round(age_ms, 1) if known else None
            )
        )

    def _note_state(
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

    def _fetch_soon(self, ip: str) -> None:
        if not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch, ip)

    def _fetch(self, ip: str) -> None:
        began_ms = self.clock.now_ms()
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
            reply = _REPLY_DECODER.decode(zlib.decompress(body))
        except (base.HollycartError, msgspec.DecodeError, zlib.error) as exc:
            logging.info("state of peer %s: %s", ip, exc)
            self._last_read_ms = float("-inf")  # read the store at once
            return
        finally:
            conn.close()
            self._fetching = False
        if reply.age_ms <= self.platform_state.freshness.max_age_ms:
            self._learn(
                _state.RawState(reply.read, reply.digest),
                began_ms - reply.age_ms,
            )
