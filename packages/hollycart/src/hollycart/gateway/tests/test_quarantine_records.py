import eventlet
import pytest

from hollycart.gateway import _quarantine_records
from hollycart_core import base
from hollycart_core import crashes
from hollycart_core import kv

CLEAR_MS = 20_000.0


class Peers:
    """Peers that are always heard."""

    def __init__(self, name, others=()):
        self.name = name
        self.others = others

    def live(self):
        return dict.fromkeys(self.others, True)


class Store:
    """Store that fails a number of calls, and counts writes."""

    def __init__(self, clock):
        self.memory = kv.MemoryStore(clock)
        self.failures = 0
        self.writes = 0

    def grant_lease(self, ttl_ms):
        assert ttl_ms <= 600_000.0
        self._call()
        return self.memory.grant_lease(ttl_ms)

    def txn(self, compares, puts, deletes=()):
        self._call()
        return self.memory.txn(compares, puts, deletes)

    def _call(self):
        self.writes += 1
        if self.failures:
            self.failures -= 1
            raise base.KvUnavailableError("down")

    def records(self):
        return {i.key: i.value for i in self.memory.range("").items}


@pytest.fixture
def clock():
    return base.ManualClock(50_000.0)


@pytest.fixture
def store(clock):
    return Store(clock)


@pytest.fixture
def start(clock, store, monkeypatch):
    """Starts an instance; returns its records, quarantine and what it read."""
    monkeypatch.setattr(eventlet, "spawn", lambda run: run())

    def make(name="me", others=()):
        quarantine = crashes.Quarantine()
        read = []
        records = _quarantine_records.QuarantineRecords(
            Peers(name, others),
            quarantine,
            store,
            kv.Put,
            clock,
            read.extend,
        )
        return records, quarantine, read

    return make


def entry(clock, delay_ms=CLEAR_MS, **changes):
    now_ms = clock.now_ms()
    made = crashes.QuarantineEntry(
        "llm",
        "p",
        frozenset("p"),
        1,
        False,
        now_ms + delay_ms,
        0,
        delay_ms,
        now_ms - 5.0,
    )
    return made._replace(**changes)


def test_trait_in_quarantine_outlives_all_instances(clock, store, start):
    """Guards against a kill of all processes that forgets the quarantine."""
    records, *_ = start()
    records.record([entry(clock)])
    clock.sleep_ms(15_000.0)
    records, quarantine, read = start("new")
    records.apply(store.records())
    found = quarantine.find("llm", ("p", "q"))
    assert found == read[0]
    assert found.trial_at_ms == clock.now_ms() + CLEAR_MS
    assert quarantine.claim_trial(found, "new", clock.now_ms()) is None


def test_trait_is_written_once_and_by_one_instance(clock, store, start):
    names = [f"i{number}" for number in range(5)]
    for name in names:
        records, *_ = start(name, [n for n in names if n != name])
        records.apply(store.records())
        records.record([entry(clock)])
        records.record([entry(clock, version=2, failed_trials=1)])
    assert len(store.records()) == 1
    assert store.writes <= 4


def test_suspicion_that_is_not_clear_is_not_written(clock, store, start):
    records, *_ = start()
    records.record([entry(clock, delay_ms=1000.0)])
    assert not store.writes


def test_release_deletes_the_record(clock, store, start):
    records, *_ = start()
    records.record([entry(clock)])
    records.apply(store.records())
    records.record([entry(clock, version=3, released=True)])
    assert not store.records()


def test_record_ends_with_its_lease(clock, store, start):
    records, *_ = start()
    records.record([entry(clock)])
    clock.sleep_ms(600_001.0)
    assert not store.records()


def test_record_is_written_after_failures_of_the_store(clock, store, start):
    records, *_ = start()
    store.failures = 2
    records.record([entry(clock)])
    assert len(store.records()) == 1


def test_store_that_stays_away_is_given_up(clock, store, start):
    records, *_ = start()
    store.failures = 1000
    records.record([entry(clock)])
    assert store.writes <= 4


def test_restored_store_gets_its_records_again(clock, store, start):
    records, quarantine, _ = start()
    quarantine.merge(entry(clock), clock.now_ms())
    records.record(quarantine.entries)
    records.apply(store.records())
    store.memory = kv.MemoryStore(clock)
    records.record_restored_store()
    assert len(store.records()) == 1


def test_many_traits_are_bounded(clock, store, start, monkeypatch):
    records, *_ = start()
    monkeypatch.setattr(eventlet, "spawn", lambda run: object())
    for number in range(300):
        records.record([entry(clock, trait=f"p{number}")])
    assert len(records._waiting) == _quarantine_records._MAX_WAITING


def _record(traits=b'["z"]', version=b"1", released=b"false", delay=b"20000.0"):
    fields = (traits, version, released, b"1.0", b"0", delay, b"1.0")
    return b'["llm","z",' + b",".join(fields) + b',"",false]'


def test_sound_record_is_read(start):
    records, quarantine, _ = start()
    records.apply({"r": _record()})
    assert quarantine.find("llm", ("z",)) is not None


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"[" * 5000,
        b"[1]",
        _record(traits=b"[]"),
        _record(traits=b'["y"]'),
        _record(version=b"9" * 30),
        _record(version=b"-1"),
        _record(released=b"true"),
        _record(delay=b"1e300"),
        _record(delay=b"-1.0"),
    ],
)
def test_malformed_record_hides_no_other(clock, store, start, value):
    """Guards against a record of another writer that empties the rest."""
    records, *_ = start()
    records.record([entry(clock)])
    records, quarantine, _ = start("new")
    records.apply({"odd": value, **store.records()})
    assert quarantine.find("llm", ("p",)) is not None
    assert quarantine.find("llm", ("z", "y")) is None


def test_trait_that_is_known_is_left_as_it_is(clock, store, start):
    records, *_ = start()
    records.record([entry(clock)])
    records, quarantine, read = start("new")
    quarantine.merge(entry(clock, version=7, released=True), clock.now_ms())
    records.apply(store.records())
    assert quarantine.find("llm", ("p",)) is None
    assert not read
