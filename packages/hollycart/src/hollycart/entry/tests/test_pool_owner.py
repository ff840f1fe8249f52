import random

import pytest

from hollycart import observe
from hollycart.entry import _pool_owner
from hollycart_core import base
from hollycart_core import membership
from hollycart_core import scheduling

_BOUND_MS = 10_000.0
_REPORT_MS = 1_000.0
_TICK_MS = 50.0
_LAG_MS = 500.0


class FakeEngines:
    """Holds attempts until they are cancelled; reports with a lag."""

    def __init__(self, clock):
        self.clock = clock
        self.held = {}

    def read_report(self, endpoint_id, address):
        del address
        shown_ms = self.clock.now_ms() - _LAG_MS
        held = tuple(
            scheduling.HeldSequence(attempt, 10, 0)
            for attempt, since_ms in self.held.items()
            if since_ms <= shown_ms
        )
        return scheduling.EndpointReport(endpoint_id, held, _LAG_MS)

    def cancel(self, address, attempt_id):
        del address
        self.held.pop(attempt_id, None)


class FakePeers:
    """No other instance answers."""

    def call(self, *args):
        raise base.PeerUnreachableError(str(args[0]))


class FakeDirectory:
    """One engine; the holder is silent for `silent_ms`."""

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


def _run_until_free(owner, engines, clock):
    start_ms = clock.now_ms()
    next_report_ms = start_ms
    while engines.held and clock.now_ms() - start_ms < 60_000:
        owner.tick()
        if clock.now_ms() >= next_report_ms:
            owner.collect_orphans()
            next_report_ms = clock.now_ms() + _REPORT_MS
        clock.sleep_ms(_TICK_MS)
    return clock.now_ms() - start_ms


def test_memory_of_a_dead_holder_is_back_within_the_bound(
    owner, engines, clock
):
    """The owner knew the permit; it has to lapse first."""
    pool = owner._pool("m")
    req = scheduling.PermitRequest(
        "gone/x/1", "gone", "t", "k", 1, 0, 10, 5, 60_000.0
    )
    pool.submit(req, clock.now_ms())
    assert pool.dispatch(clock.now_ms())
    engines.held["gone/x/1"] = clock.now_ms()
    assert _run_until_free(owner, engines, clock) <= _BOUND_MS


def test_memory_is_back_when_owner_and_holder_died_together(
    owner, engines, clock
):
    """The new owner begins once the failure is detected."""
    engines.held["gone/x/1"] = clock.now_ms()
    clock.sleep_ms(membership.FAILURE_TIMEOUT_MS)
    owner._pool("m")
    took_ms = _run_until_free(owner, engines, clock)
    assert took_ms + membership.FAILURE_TIMEOUT_MS <= _BOUND_MS


def test_foreign_holdings_are_left_alone(owner, engines, clock):
    owner._pool("m")
    engines.held["another-tenant"] = clock.now_ms()
    _run_until_free(owner, engines, clock)
    assert "another-tenant" in engines.held
