import random

import eventlet
import pytest

from hollycart import observe
from hollycart import peers
from hollycart.entry import _directory
from hollycart_core import base
from hollycart_core import membership


class FakeSource:
    """Lists this instance and one other."""

    def read(self):
        entries = tuple(
            membership.ListEntry(
                n, "instance", "h:1", cell="c", peer_address=f"{n}:2"
            )
            for n in ("a", "b")
        )
        return membership.InstanceList(1, entries)


class FakePeers:
    """Records the calls; replies only while `is_reachable`."""

    def __init__(self):
        self.called = []
        self.is_reachable = False

    def keep_only(self, addresses):
        del addresses

    def call(self, address, method, message, timeout_ms):
        del method, message, timeout_ms
        self.called.append(address)
        if not self.is_reachable:
            raise base.PeerUnreachableError(address)
        digest = membership.MemberDigest("b", 1, len(self.called), False, 0)
        return peers.ExchangeMessage("b", (digest,))


class DelayedSource:
    """Reads its entry at once and returns it `response_delay_ms` later."""

    def __init__(self, clock):
        self.clock = clock
        self.leaving = False
        self.response_delay_ms = 0.0
        self.failing = False

    def read(self):
        entry = membership.ListEntry(
            "e", "engine", "h:3", cell="c", leaving=self.leaving
        )
        response_delay_ms, self.response_delay_ms = self.response_delay_ms, 0.0
        self.clock.sleep_ms(response_delay_ms)
        if self.failing:
            raise base.EndpointFailedError("no answer")
        return membership.InstanceList(1, (entry,))


@pytest.fixture
def clock():
    return base.ManualClock()


@pytest.fixture
def make_directory(clock):
    def make(source, client):
        own_entry = membership.ListEntry("a", "instance", "h:1", cell="c")
        return _directory.Directory(
            source,
            membership.MembershipView(own_entry, incarnation=1),
            client,
            clock,
            observe.Metrics(),
            random.Random(1),
            lambda: None,
        )

    return make


@pytest.mark.parametrize("failing", [False, True])
def test_list_read_before_a_suspension_is_stale(failing, clock, make_directory):
    """The process is suspended between the list's response and its use.

    The engine leaves meanwhile, so the list must be read again.
    """
    source = DelayedSource(clock)
    directory = make_directory(source, FakePeers())
    directory.refresh()
    assert directory.accepts_work("e")
    source.response_delay_ms = 3000.0
    source.failing = failing
    directory.refresh()
    source.leaving = True
    source.failing = False
    assert not directory.accepts_work("e")


def test_failed_list_read_is_not_retried_by_every_request(
    clock, make_directory
):
    source = DelayedSource(clock)
    directory = make_directory(source, FakePeers())
    directory.refresh()
    clock.sleep_ms(2000.0)
    source.failing = True
    source.response_delay_ms = 800.0  # a timeout, not a suspension
    assert directory.accepts_work("e")
    source.leaving = True
    source.failing = False
    assert directory.accepts_work("e")


def test_instances_find_each_other_after_a_partition(clock, make_directory):
    """The partition lasts far longer than the failure timeout."""
    client = FakePeers()
    directory = make_directory(FakeSource(), client)
    view = directory.view
    directory.refresh()
    clock.sleep_ms(60_000.0)
    assert view.live(clock.now_ms()) == ["a"]
    client.is_reachable = True
    for _ in range(40):
        directory.exchange()
        eventlet.sleep(0)
        clock.sleep_ms(500.0)
    assert view.live(clock.now_ms()) == ["a", "b"]
