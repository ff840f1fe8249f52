import random

import pytest

from hollycart import observe
from hollycart.entry import _pool_owner
from hollycart_core import base
from hollycart_core import membership
from hollycart_core import scheduling

_RECLAIM_BOUND_MS = 10_000.0
_REPORT_INTERVAL_MS = 1_000.0
_TICK_INTERVAL_MS = 50.0
_REPORT_LAG_MS = 500.0


class FakeEngines:
    """Holds attempts until they are cancelled; its reports lag behind."""

    def __init__(self, clock):
        self.clock = clock
        self.held = {}

    def read_report(self, endpoint_id, address):
        del address
        shown_ms = self.clock.now_ms() - _REPORT_LAG_MS
        held = tuple(
            scheduling.HeldSequence(attempt, 10, 0)
            for attempt, since_ms in self.held.items()
            if since_ms <= shown_ms
        )
        return scheduling.EndpointReport(endpoint_id, held, _REPORT_LAG_MS)

    def cancel(self, address, attempt_id):
        del address
        self.held.pop(attempt_id, None)


class FakePeers:
    """Other instances that do not answer."""

    def call(self, *args):
        raise base.PeerUnreachableError(str(args[0]))


class FakeDirectory:
    """Lists one engine; other instances are silent since `silent_from_ms`."""

    def __init__(self, clock, silent_from_ms):
        self.clock = clock
        self.silent_from_ms = silent_from_ms
        own_entry = membership.ListEntry("owner", "instance", "h:1", cell="c")
        self.view = membership.MembershipView(own_entry, incarnation=1)

    def engines(self, model):
        del model
        return [
            membership.ListEntry(
                "e", "engine", "h:2", name="m", capacity_tokens=1000
            )
        ]

    def peer_address(self, instance_id):
        del instance_id
        return "h:3"

    def peer_alive(self, instance_id):
        del instance_id
        age_ms = self.clock.now_ms() - self.silent_from_ms
        return age_ms < membership.FAILURE_TIMEOUT_MS


@pytest.fixture(name="clock")
def _clock():
    return base.ManualClock(start_ms=100_000.0)


@pytest.fixture(name="engines")
def _engines(clock):
    return FakeEngines(clock)


@pytest.fixture(name="owner")
def _owner(clock, engines):
    return _pool_owner.PoolOwner(
        "split",
        0.5,
        FakeDirectory(clock, clock.now_ms()),
        engines,
        FakePeers(),
        clock,
        observe.Metrics(),
        random.Random(1),
    )


def _run_until_memory_is_free(owner, engines, clock):
    start_ms = clock.now_ms()
    next_report_ms = start_ms
    while engines.held and clock.now_ms() - start_ms < 60_000:
        owner.tick()
        if clock.now_ms() >= next_report_ms:
            owner.collect_orphans()
            next_report_ms = clock.now_ms() + _REPORT_INTERVAL_MS
        clock.sleep_ms(_TICK_INTERVAL_MS)
    return clock.now_ms() - start_ms


def test_memory_of_a_failed_instance_is_reclaimed_in_time(
    owner, engines, clock
):
    """The permit that the owner granted has to expire first."""
    pool = owner._pool("m")
    req = scheduling.PermitRequest(
        "gone/x/1", "gone", "t", "k", 1, 0, 10, 5, 60_000.0
    )
    pool.submit(req, clock.now_ms())
    assert pool.dispatch(clock.now_ms())
    engines.held["gone/x/1"] = clock.now_ms()
    assert _run_until_memory_is_free(owner, engines, clock) <= _RECLAIM_BOUND_MS


def test_memory_is_reclaimed_after_owner_and_holder_fail_together(
    owner, engines, clock
):
    """The new owner starts without the permit, after failure detection."""
    engines.held["gone/x/1"] = clock.now_ms()
    clock.sleep_ms(membership.FAILURE_TIMEOUT_MS)
    owner._pool("m")
    elapsed_ms = _run_until_memory_is_free(owner, engines, clock)
    assert elapsed_ms + membership.FAILURE_TIMEOUT_MS <= _RECLAIM_BOUND_MS


def test_attempts_of_other_systems_are_not_cancelled(owner, engines, clock):
    owner._pool("m")
    engines.held["another-tenant"] = clock.now_ms()
    _run_until_memory_is_free(owner, engines, clock)
    assert "another-tenant" in engines.held
