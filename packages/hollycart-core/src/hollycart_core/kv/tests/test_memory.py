from hollycart_core import base
from hollycart_core import kv


def test_expired_lease_deletes_its_keys_and_fences_its_writes():
    clock = base.ManualClock()
    store = kv.MemoryStore(clock)
    lease = store.grant_lease(100)
    assert store.txn([], [kv.Put("a", b"1", lease)]).succeeded
    clock.sleep_ms(150)
    assert not store.range("a").items
    assert not store.keep_alive(lease)
    assert not store.txn([], [kv.Put("a", b"2", lease)]).succeeded


def test_compare_fails_after_another_write():
    store = kv.MemoryStore(base.ManualClock())
    first = store.txn([], [kv.Put("a", b"1")]).revision
    store.txn([], [kv.Put("a", b"2")])
    assert not store.txn([kv.Compare("a", first)], []).succeeded


def test_create_revision_stays_while_mod_revision_grows():
    store = kv.MemoryStore(base.ManualClock())
    store.txn([], [kv.Put("a", b"1")])
    store.txn([], [kv.Put("a", b"2")])
    found = store.range("a").items[0]
    assert (found.create_revision, found.mod_revision) == (1, 2)
