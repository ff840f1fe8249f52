import random

import eventlet
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _history
from hollycart.gateway import _messages
from hollycart.gateway import _read_times
from hollycart.gateway import _reader
from hollycart.gateway import _shared_state
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing


class Store:
    """Returns the result that a test has set, or fails while it is down."""

    def __init__(self):
        self.contents = kv.RangeResult(1, ())
        self.down = False

    def range(self, prefix):
        if self.down:
            raise base.KvUnavailableError("down")
        return self.contents


class Decoder:
    """Decodes each key as the id of an endpoint or of an instance."""

    def is_registration(self, key):
        return key.startswith("instance-")

    def precedence(self, item):
        return 0

    def decode(self, contents):
        endpoints = tuple(
            placement.Endpoint(i.key, "1:1", "s", "z", 1)
            for i in contents.items
            if not self.is_registration(i.key)
        )
        peers = {
            i.key: gateway.InstanceAddress(i.key, "z")
            for i in contents.items
            if self.is_registration(i.key)
        }
        cfg = routing.RoutingConfig(1, [], [])
        return gateway.Snapshot(
            contents.revision, 1, cfg, endpoints, peers, 0, contents.era
        )


class Peers:
    """A peer exchange without peers that records announced changes."""

    def __init__(self):
        self.changes = []
        self.ip = "instance-0"
        self.ips = set()
        self.queried = []

    def query_freshness(self, ips):
        self.queried.append(ips)

    def live(self):
        return {}

    def add_addresses(self, addresses):
        self.ips |= {a.ip for a in addresses}

    def broadcast_state_changed(self, digest):
        self.changes.append(digest)


def items(*names):
    return tuple(kv.KeyValue(n, b"", 1, 1) for n in names)


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def clock():
    return base.ManualClock(10000.0)


@pytest.fixture
def platform_state():
    return _state.PlatformState(4400.0, 2000.0)


@pytest.fixture
def reader(store, platform_state, clock):
    made = _reader.StateReader(
        "me",
        store,
        Decoder(),
        platform_state,
        observe.DecisionLog("me", clock),
        clock,
        random.Random(1),
        1,
        _read_times.ReadSchedule(),
    )
    made._peers = Peers()
    return made


def test_long_time_without_reads_is_not_an_outage(
    reader, store, platform_state, clock
):
    store.contents = kv.RangeResult(1, items("a", "b"))
    reader._read()
    clock.sleep_ms(60000)
    store.contents = kv.RangeResult(2, items("a"))
    reader._read()
    assert set(platform_state.endpoints) == {"a"}


def test_endpoints_missing_after_an_outage_are_retained(
    reader, store, platform_state, clock
):
    store.contents = kv.RangeResult(1, items("a", "b"))
    reader._read()
    store.down = True
    reader._read()
    clock.sleep_ms(5000)
    reader._read()
    store.down = False
    store.contents = kv.RangeResult(2, items("a"))
    reader._read()
    assert set(platform_state.endpoints) == {"a", "b"}


def test_reply_confirms_the_state_relative_to_the_query(
    reader, store, platform_state, clock
):
    reader._read()
    clock.sleep_ms(3000)
    digest = platform_state.snapshot.digest
    reader.handle_reply(
        _messages.FreshnessReply("p", clock.now_ms() - 900, 200, 1, 1, digest),
        "ip",
    )
    assert platform_state.freshness.age_ms(clock.now_ms()) == 1100


def test_query_is_not_answered_with_a_stale_state(reader, clock):
    reader._read()
    assert reader.handle_query(_messages.FreshnessQuery("p", 0.0)) is not None
    clock.sleep_ms(4500)
    assert reader.handle_query(_messages.FreshnessQuery("p", 0.0)) is None


def test_state_change_is_announced_once(reader, store):
    reader._read()
    reader._read()
    assert len(reader._peers.changes) == 1


def test_registration_of_an_instance_is_no_change_of_the_state(
    reader, store, platform_state
):
    store.contents = kv.RangeResult(1, items("a"))
    reader._read()
    applied = []
    reader.on_change = lambda: applied.append(platform_state.snapshot.peers)
    store.contents = kv.RangeResult(2, items("a", "instance-1"))
    reader._read()
    assert len(reader._peers.changes) == 1
    assert reader._peers.ips == {"instance-1"}
    assert [set(peers) for peers in applied] == [{"instance-1"}]


def test_registrations_are_fetched_at_most_once_in_an_interval(
    reader, store, platform_state, clock, monkeypatch
):
    store.contents = kv.RangeResult(1, items("a"))
    reader._read()
    fetched = []
    monkeypatch.setattr(reader, "_schedule_fetch", fetched.append)

    def reply(peers_digest):
        reader.handle_reply(
            _messages.FreshnessReply(
                "p",
                clock.now_ms(),
                0.0,
                1,
                1,
                platform_state.snapshot.digest,
                peers_digest,
            ),
            "ip",
        )

    reply(platform_state.raw.peers_digest)
    assert not fetched
    reply(7)
    reply(8)
    assert fetched == ["ip"]
    clock.sleep_ms(_reader._PEERS_FETCH_INTERVAL_MS)
    reply(8)
    assert fetched == ["ip", "ip"]


def test_encoded_state_is_decoded_by_a_peer(reader, store, clock):
    store.contents = kv.RangeResult(1, items("a", "instance-1"))
    reader._read()
    clock.sleep_ms(40)
    age_ms, shared = _shared_state.decode_reply(reader.encode_state())
    assert age_ms == 40
    assert shared.contents == store.contents


def test_changed_staleness_bound_applies_to_replies(
    reader, store, platform_state, clock
):
    reader._read()
    clock.sleep_ms(2000)
    query = _messages.FreshnessQuery("peer", 1.0)
    assert reader.handle_query(query) is not None
    platform_state.freshness.max_age_ms = 1500.0
    assert reader.handle_query(query) is None


@pytest.mark.parametrize("bound_ms", [400.0, 1000.0, 2000.0, 5000.0])
def test_state_is_read_several_times_within_every_bound(bound_ms):
    schedule = _read_times.ReadSchedule.for_bound(bound_ms)
    assert 4 * schedule.read_interval_ms <= bound_ms
    assert (
        schedule.query_interval_ms + schedule.read_interval_ms
        < schedule.direct_read_age_ms
    )
    assert schedule.direct_read_age_ms < schedule.reader_timeout_ms < bound_ms


def era(number, revision, *names):
    return kv.RangeResult(
        revision, tuple(i._replace(era=number) for i in items(*names)), number
    )


def test_former_values_are_part_of_the_encoded_state(reader, store):
    store.contents = era(1, 50, "a")
    reader._read()
    newer = era(1, 60, "a")
    item = newer.items[0]._replace(mod_revision=55)
    store.contents = newer._replace(items=(item,))
    reader._read()
    store.contents = era(2, 40, "a")
    reader._read()
    _, shared = _shared_state.decode_reply(reader.encode_state())
    assert shared.former == (_history.FormerValue(item, False),)
    assert (shared.contents.era, shared.era_start) == (2, 40)


def test_answer_of_an_earlier_era_neither_changes_nor_confirms_the_state(
    reader, store, platform_state, clock
):
    store.contents = era(1, 50, "a", "b")
    reader._read()
    clock.sleep_ms(200)
    store.contents = era(2, 40, "a")
    reader._read()
    clock.sleep_ms(1000)
    store.contents = era(1, 60, "b")
    reader._read()
    assert platform_state.snapshot.position == kv.Position(2, 40)
    assert platform_state.freshness.age_ms(clock.now_ms()) == 1000


def test_endpoints_that_the_restored_store_lacks_are_retained_for_a_time(
    reader, store, platform_state, clock
):
    store.contents = era(1, 50, "a", "b")
    reader._read()
    store.contents = era(2, 40, "a")
    reader._read()
    assert set(platform_state.endpoints) == {"a", "b"}
    clock.sleep_ms(2000)
    platform_state.remove_expired(clock.now_ms())
    assert set(platform_state.endpoints) == {"a"}


def test_instance_that_learns_of_the_new_era_from_a_peer_registers_again(
    reader, store, platform_state, clock
):
    restored = []
    reader.on_store_restored = lambda: restored.append(clock.now_ms())
    store.contents = era(1, 50, "a")
    reader._read()
    shared = _shared_state.SharedState(era(2, 40, "a"), (), 40)
    reader._apply_state(shared, clock.now_ms())
    reader._apply_state(shared, clock.now_ms())
    assert len(restored) == 1


def test_new_era_of_an_empty_store_is_recorded_once(reader, store):
    restored = []
    reader.on_store_restored = lambda: restored.append(1)
    store.contents = era(1, 5)
    reader._read()
    store.contents = era(2, 3)
    reader._read()
    reader._read()
    assert len(restored) == 1


def test_peer_in_an_earlier_era_is_asked_only_by_a_new_instance(
    reader, store, monkeypatch, clock
):
    """It knows what a copy lacks, until a peer in the new era has told."""
    fetched = []
    monkeypatch.setattr(reader, "_schedule_fetch", fetched.append)
    store.contents = era(2, 40, "a")
    reader._read()
    reply = _messages.FreshnessReply("p", clock.now_ms(), 0.0, 90, 1, 7, 0, 1)
    reader.handle_reply(reply, "ip")
    assert fetched == ["ip"]
    fetched.clear()
    reader._heard_peer = True
    reply = _messages.FreshnessReply("p", clock.now_ms(), 0.0, 90, 1, 7, 0, 1)
    reader.handle_reply(reply, "ip")
    assert not fetched
    reply.era = 2
    reader.handle_reply(reply, "ip")
    assert fetched == ["ip"]


def test_new_instance_waits_for_peers_before_it_trusts_a_store_with_eras(
    reader, store, platform_state, clock
):
    """The store may hold keys that were revoked before it was restored."""
    store.contents = era(2, 40, "a")
    reader._read()
    assert not platform_state.freshness.is_fresh(clock.now_ms())
    peer = _history.StoreHistory(Decoder())
    peer.update(era(1, 90, "a"))
    raw = peer.update(era(2, 40, "a"))
    shared = _shared_state.SharedState(raw.contents, raw.former, raw.era_start)
    reader._heard_peer = True
    reader._apply_state(shared, clock.now_ms())
    assert platform_state.freshness.is_fresh(clock.now_ms())


def test_new_instance_queries_the_peers_that_its_first_state_names(
    reader, store
):
    """Its seeds may be stale."""
    names = [f"instance-{number}" for number in range(3)]  # 0 is the own one
    store.contents = era(2, 40, "a", *names)
    reader._read()
    reader._read()
    (queried,) = reader._peers.queried
    assert sorted(queried) == ["instance-1", "instance-2"]


@pytest.mark.parametrize("body", [b"", b"\x92", b"\x92\x01\xc4\x01x", b"no"])
def test_malformed_state_of_a_peer_is_an_error(body):
    with pytest.raises(base.PeerUnreachableError):
        _shared_state.decode_reply(body)


def test_new_instance_without_peers_trusts_the_store_after_a_time(
    reader, store, platform_state, clock
):
    store.contents = era(2, 40, "a")
    reader._read()
    clock.sleep_ms(_reader._PEER_ANSWER_MS)
    reader._confirm(reader._unconfirmed_ms)
    assert platform_state.freshness.is_fresh(clock.now_ms())


def test_new_reader_takes_what_the_copy_lacks_from_a_peer_that_lags(
    reader, store, monkeypatch, clock
):
    """The peer knows the former values, at an older revision of the era."""
    fetched = []
    monkeypatch.setattr(reader, "_schedule_fetch", fetched.append)
    store.contents = era(2, 40, "a")
    reader._read()
    reply = _messages.FreshnessReply("p", clock.now_ms(), 0.0, 36, 1, 7, 0, 2)
    reader.handle_reply(reply, "ip")
    assert fetched == ["ip"]
    reader._heard_peer = True
    reader.handle_reply(reply, "ip")
    assert fetched == ["ip"]


def test_new_reader_queries_peers_until_one_has_replied(
    reader, store, monkeypatch, clock
):
    """A lost reply must not leave it with the copy for good."""
    monkeypatch.setattr(reader, "_reader_names", lambda: ["me"])
    store.contents = era(2, 40, "a", "instance-0", "instance-1")
    reader._read()
    reader._query_peers(clock.now_ms())
    assert reader._peers.queried == [["instance-1"], ["instance-1"]]
    reader._heard_peer = True
    reader._query_peers(clock.now_ms())
    assert len(reader._peers.queried) == 2


class EvacuationDecoder(Decoder):
    """Decodes each key as a zone that is evacuated."""

    def decode(self, contents):
        evacuated = {i.key: i.position for i in contents.items}
        return super().decode(contents)._replace(evacuated=evacuated)


def test_bound_of_an_evacuation_counts_from_the_last_read_without_it(
    reader, store, platform_state, clock
):
    """The key was written at any time after the start of that read."""
    reader.decoder = EvacuationDecoder()
    platform_state.evacuations.evacuate_ms = 5000.0
    store.contents = kv.RangeResult(1, ())
    reader._read()
    last_ms = clock.now_ms()
    clock.sleep_ms(1200.0)
    store.contents = kv.RangeResult(2, items("z"))
    reader._read()
    clock.sleep_ms(500.0)
    store.contents = kv.RangeResult(3, items("y", "z"))
    reader._read()
    evacuations = platform_state.evacuations.in_force()
    assert evacuations["z"].clear_ms == last_ms
    assert evacuations["y"].clear_ms == last_ms + 1200.0
    access = platform_state.evacuations.access
    assert access("z", last_ms + 2999.0) is placement.ZoneAccess.LAST_RESORT
    assert access("z", last_ms + 3000.0) is placement.ZoneAccess.CLOSED


def test_first_read_with_an_evacuation_closes_the_zone_at_once(
    reader, store, platform_state, clock
):
    reader.decoder = EvacuationDecoder()
    platform_state.evacuations.evacuate_ms = 5000.0
    store.contents = kv.RangeResult(2, items("z"))
    reader._read()
    access = platform_state.evacuations.access("z", clock.now_ms())
    assert access is placement.ZoneAccess.CLOSED


def test_changed_evacuations_alone_are_announced(reader, store):
    changes = []
    reader.decoder = EvacuationDecoder()
    reader.on_change = lambda: changes.append(1)
    for revision, zones in enumerate(((), ("z",), ("y", "z"), ())):
        store.contents = kv.RangeResult(revision + 1, items(*zones))
        reader._read()
    assert len(changes) == 4


def test_unforeseen_error_does_not_end_the_polling(reader, store, eventually):
    """Guards against one read that keeps an instance from ever learning."""
    reader.clock = base.SystemClock()
    reader.schedule = _read_times.ReadSchedule(read_interval_ms=1.0)
    reads = []

    def fail_once(prefix):
        reads.append(prefix)
        if len(reads) < 3:
            raise ZeroDivisionError
        return kv.RangeResult(1, items("a"))

    store.range = fail_once
    faults = base.LoopGuard.faults
    reader.start(reader._peers)
    eventually(lambda: reader.platform_state.snapshot is not None)
    reader.close()
    assert base.LoopGuard.faults > faults


class VersionDecoder(Decoder):
    """Decodes the value of `config` as a version, which orders its values."""

    def precedence(self, item):
        return int(item.value) if item.key == "config" else 0

    def decode(self, contents):
        snapshot = super().decode(contents)
        (item,) = (i for i in contents.items if i.key == "config")
        cfg = routing.RoutingConfig(int(item.value), [], [])
        return snapshot._replace(config=cfg)


def _with_version(number, revision, version):
    value = str(version).encode()
    pair = kv.KeyValue("config", value, revision, 1, number)
    return kv.RangeResult(revision, (pair,), number)


@pytest.mark.parametrize("waited_ms", [0.0, 1000.0])
def test_new_instance_takes_what_the_copy_lacks_from_the_era_before(
    reader, store, platform_state, clock, waited_ms
):
    """Guards against keys of an older copy that are valid once more.

    The instance starts while the store is away and reads the copy before its
    peers do.
    """
    reader.decoder = VersionDecoder()
    reader._history.order = reader.decoder
    reader.start(reader._peers)
    reader._thread.kill()
    clock.sleep_ms(waited_ms)
    store.contents = _with_version(2, 40, 3)
    reader._read()
    assert not platform_state.freshness.is_fresh(clock.now_ms())
    peer = _history.StoreHistory(reader.decoder)
    raw = peer.update(_with_version(1, 90, 7))
    reader._heard_peer = True
    shared = _shared_state.SharedState(raw.contents, raw.former, raw.era_start)
    reader._apply_state(shared, clock.now_ms())
    assert platform_state.config.version == 7
    assert platform_state.freshness.is_fresh(clock.now_ms())
    store.contents = _with_version(2, 60, 9)
    reader._read()
    assert platform_state.config.version == 9


def test_new_instance_confirms_nothing_while_it_fetches_from_a_peer(
    reader, store, platform_state, clock, monkeypatch
):
    """Guards against a peer whose answer takes longer than the wait."""
    monkeypatch.setattr(eventlet, "spawn_n", lambda *args: None)
    store.contents = era(2, 40, "a")
    reader._read()
    reply = _messages.FreshnessReply("p", clock.now_ms(), 0.0, 90, 1, 7, 0, 1)
    reader.handle_reply(reply, "ip")
    clock.sleep_ms(2.0 * _reader._PEER_ANSWER_MS)
    reader._confirm(reader._unconfirmed_ms)
    assert not platform_state.freshness.is_fresh(clock.now_ms())
