import collections
import heapq
import random

import pytest

from hollycart.gateway import _registration
from hollycart_core import base
from hollycart_core import kv

# Instances and the writing calls a second that the platform allows them.
FLEETS = [(8, 400), (60, 1200), (200, 3200)]
RECORD = kv.Put("instances/a", b"{}")


class CountingStore(kv.MemoryStore):
    """Counts the writing calls by the second and rejects those over a limit."""

    def __init__(self, clock, limit):
        super().__init__(clock)
        self.limit = limit
        self.writes = collections.Counter()
        self.rejected = 0

    def grant_lease(self, ttl_ms):
        self._count()
        return super().grant_lease(ttl_ms)

    def txn(self, compares, puts, deletes=()):
        self._count()
        return super().txn(compares, puts, deletes)

    def _count(self):
        second = int(self.clock.now_ms() // 1000)
        self.writes[second] += 1
        if self.writes[second] > self.limit:
            self.rejected += 1
            raise base.KvUnavailableError("rate limit")


@pytest.mark.parametrize(("instances", "limit"), FLEETS)
def test_all_instances_are_listed_two_seconds_after_a_restore(instances, limit):
    """They learn of the new era within half a second."""
    clock = base.ManualClock(10_000.0)
    store = CountingStore(clock, limit)
    rng = random.Random(instances)
    due = []
    for number in range(instances):
        registration = _registration.Registration(
            store, kv.Put(f"i{number}", b"{}"), 30000.0, clock, rng
        )
        learnt_ms = clock.now_ms() + rng.uniform(0.0, 500.0)
        at_ms = learnt_ms + registration.next_delay_ms(restored=True)
        heapq.heappush(due, (at_ms, number, registration))
    while due and due[0][0] <= 12_000.0:
        at_ms, number, registration = heapq.heappop(due)
        clock.sleep_ms(at_ms - clock.now_ms())
        registration.renew()
        heapq.heappush(
            due, (at_ms + registration.next_delay_ms(), number, registration)
        )
    assert len(store.range("").items) == instances
    assert store.rejected == 0
    assert max(store.writes.values()) <= limit


def test_failed_registration_is_retried_soon_then_less_often():
    clock = base.ManualClock()
    store = CountingStore(clock, limit=0)
    registration = _registration.Registration(
        store, RECORD, 30000.0, clock, random.Random(1)
    )
    delays_ms = []
    for _ in range(8):
        assert not registration.renew()
        delays_ms.append(registration.next_delay_ms())
    assert delays_ms[0] < 500.0
    assert all(d <= 12_000.0 for d in delays_ms)
    assert delays_ms[-1] > 8_000.0


def test_registration_without_an_acknowledged_record_is_written_again():
    clock = base.ManualClock()

    class LosingStore(kv.MemoryStore):
        losing = True

        def txn(self, compares, puts, deletes=()):
            if self.losing:
                raise base.KvAnswerLostError("lost")
            return super().txn(compares, puts, deletes)

    store = LosingStore(clock)
    registration = _registration.Registration(
        store, RECORD, 30000.0, clock, random.Random(1)
    )
    assert not registration.renew()
    store.losing = False
    assert registration.renew()
    assert [i.key for i in store.range("").items] == ["instances/a"]
