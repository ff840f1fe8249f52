import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollycart_core import base
from hollycart_core import kv
from hollycart_core import orders

_TIMES = orders.OrderTimings(1000.0, 50.0, 200.0)


@pytest.fixture(name="clock")
def _clock():
    return base.ManualClock()


def test_later_holder_has_a_higher_fencing_token(clock):
    store = kv.MemoryStore(clock)
    first = orders.OrderLease(store, "a/1", clock, _TIMES)
    second = orders.OrderLease(store, "b/1", clock, _TIMES)
    fence = first.acquire().fence
    assert second.acquire() is None
    clock.sleep_ms(1100)
    assert second.acquire().fence > fence
    assert first.renew() is None


def test_restarted_holder_does_not_take_over_its_former_lease(clock):
    store = kv.MemoryStore(clock)
    assert orders.OrderLease(store, "a/1", clock, _TIMES).acquire()
    assert orders.OrderLease(store, "a/2", clock, _TIMES).acquire() is None


def test_acquisition_with_a_lost_store_answer_is_recognized(clock):
    faults = itertools.chain(
        [kv.CallFault.NONE, kv.CallFault.NONE, kv.CallFault.ANSWER_LOST],
        itertools.repeat(kv.CallFault.NONE),
    )
    store = kv.FaultyStore(kv.MemoryStore(clock), lambda _: next(faults))
    assert orders.OrderLease(store, "a/1", clock, _TIMES).acquire()


def test_renewal_without_a_store_answer_does_not_extend_the_lease(clock):
    fault = [kv.CallFault.NONE]
    store = kv.FaultyStore(kv.MemoryStore(clock), lambda _: fault[0])
    lease = orders.OrderLease(store, "a/1", clock, _TIMES)
    expires = lease.acquire().expires_ms
    fault[0] = kv.CallFault.REFUSED
    clock.sleep_ms(500)
    assert lease.renew().expires_ms == expires
    clock.sleep_ms(600)
    assert lease.renew() is None


@given(
    acquired=st.floats(0, 1e6),
    age=st.floats(0, 5000),
    checks_fence=st.booleans(),
)
def test_no_order_is_allowed_without_enough_time_on_the_lease(
    acquired, age, checks_fence
):
    gate = orders.OrderGate(_TIMES)
    lease = orders.HeldLease(1, 1, acquired + _TIMES.lease_ms, acquired)
    now = acquired + age
    required = _TIMES.clock_error_ms
    required += 0 if checks_fence else _TIMES.order_timeout_ms
    if lease.expires_ms - now <= required:
        with pytest.raises(base.LeaseLostError):
            gate.check(lease, checks_fence, now)
    elif checks_fence:
        gate.check(lease, checks_fence, now)


@given(age=st.floats(0, 1249))
def test_new_holder_waits_for_orders_of_the_former_one(age):
    gate = orders.OrderGate(_TIMES)
    lease = orders.HeldLease(1, 1, 1e9, 0.0)
    with pytest.raises(base.LeaseLostError) as caught:
        gate.check(lease, checks_fence=False, now_ms=age)
    assert caught.value.retry_after_ms == pytest.approx(1250 - age)
