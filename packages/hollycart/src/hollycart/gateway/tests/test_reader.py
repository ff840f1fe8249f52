import random

import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _messages
from hollycart.gateway import _read_times
from hollycart.gateway import _reader
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing


class Store:
    """Returns what a test put there, or fails."""

    def __init__(self):
        self.read = kv.RangeResult(1, ())
        self.down = False

    def range(self, prefix):
        if self.down:
            raise base.KvUnavailableError("down")
        return self.read


class Decoder:
    def decode(self, read):
        endpoints = tuple(
            placement.Endpoint(i.key, "1:1", "s", "z", 1) for i in read.items
        )
        cfg = routing.RoutingConfig(1, [], [])
        return gateway.Snapshot(read.revision, 1, cfg, endpoints, {}, 0)


class Peers:
    """Records what the reader tells and asks."""

    def __init__(self):
        self.changes = []

    def live(self):
        return {}

    def set_addresses(self, ips):
        pass

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


def test_read_after_a_long_rest_is_no_end_of_an_outage(
    reader, store, platform_state, clock
):
    store.read = kv.RangeResult(1, items("a", "b"))
    reader._read()
    clock.sleep_ms(60000)
    store.read = kv.RangeResult(2, items("a"))
    reader._read()
    assert set(platform_state.endpoints) == {"a"}


def test_records_lost_in_an_outage_are_awaited(
    reader, store, platform_state, clock
):
    store.read = kv.RangeResult(1, items("a", "b"))
    reader._read()
    store.down = True
    reader._read()
    clock.sleep_ms(5000)
    reader._read()
    store.down = False
    store.read = kv.RangeResult(2, items("a"))
    reader._read()
    assert set(platform_state.endpoints) == {"a", "b"}


def test_vouch_counts_from_the_question(reader, store, platform_state, clock):
    reader._read()
    clock.sleep_ms(3000)
    digest = platform_state.snapshot.digest
    reader.take_vouch(
        _messages.FreshnessReply("p", clock.now_ms() - 900, 200, 1, 1, digest),
        "ip",
    )
    assert platform_state.freshness.age_ms(clock.now_ms()) == 1100


def test_old_proof_is_not_passed_on(reader, clock):
    reader._read()
    assert reader.answer(_messages.FreshnessQuery("p", 0.0)) is not None
    clock.sleep_ms(4500)
    assert reader.answer(_messages.FreshnessQuery("p", 0.0)) is None


def test_change_is_told_once(reader, store):
    reader._read()
    reader._read()
    assert len(reader._peers.changes) == 1


def test_changed_bound_on_keys_holds_for_proofs_to_peers(
    reader, store, platform_state, clock
):
    reader._read()
    clock.sleep_ms(2000)
    question = _messages.FreshnessQuery("peer", 1.0)
    assert reader.answer(question) is not None
    platform_state.freshness.max_age_ms = 1500.0
    assert reader.answer(question) is None


@pytest.mark.parametrize("bound_ms", [400.0, 1000.0, 2000.0, 5000.0])
def test_state_is_read_several_times_within_every_bound(bound_ms):
    times = _read_times.ReadSchedule.for_bound(bound_ms)
    assert 4 * times.read_interval_ms <= bound_ms
    assert (
        times.query_interval_ms + times.read_interval_ms
        < times.direct_read_age_ms
    )
    assert times.direct_read_age_ms < times.reader_timeout_ms < bound_ms
