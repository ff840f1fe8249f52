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
    """Notes who is called; answers only while `joined`."""

    def __init__(self):
        self.called = []
        self.joined = False

    def keep_only(self, addresses):
        del addresses

    def call(self, address, method, message, timeout_ms):
        del method, message, timeout_ms
        self.called.append(address)
        if not self.joined:
            raise base.PeerUnreachableError(address)
        digest = membership.MemberDigest("b", 1, len(self.called), False, 0)
        return peers.ExchangeMessage("b", (digest,))


class PausedSource:
    """Answers, but the process is paused before it takes the answer."""

    def __init__(self, clock):
        self.clock = clock
        self.leaving = False
        self.paused_ms = 0.0
        self.failing = False

    def read(self):
        entry = membership.ListEntry(
            "e", "engine", "h:3", cell="c", leaving=self.leaving
        )
        paused_ms, self.paused_ms = self.paused_ms, 0.0
        self.clock.sleep_ms(paused_ms)
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
def test_answer_from_before_a_pause_proves_nothing(
    failing, clock, make_directory
):
    """The list was read before the pause; the engine left meanwhile."""
    source = PausedSource(clock)
    directory = make_directory(source, FakePeers())
    directory.refresh()
    assert directory.accepts_work("e")
    source.paused_ms = 3000.0
    source.failing = failing
    directory.refresh()
    source.leaving = True
    source.failing = False
    assert not directory.accepts_work("e")


def test_list_that_does_not_answer_is_not_asked_by_every_request(
    clock, make_directory
):
    source = PausedSource(clock)
    directory = make_directory(source, FakePeers())
    directory.refresh()
    clock.sleep_ms(2000.0)
    source.failing = True
    source.paused_ms = 800.0  # a timeout, not a pause
    assert directory.accepts_work("e")
    source.leaving = True
    source.failing = False
    assert directory.accepts_work("e")


def test_cut_halves_find_each_other_again(clock, make_directory):
    """Nobody on either side has heard of the other for a long time."""
    client = FakePeers()
    directory = make_directory(FakeSource(), client)
    view = directory.view
    directory.refresh()
    clock.sleep_ms(60_000.0)
    assert view.live(clock.now_ms()) == ["a"]
    client.joined = True
    for _ in range(40):
        directory.exchange()
        eventlet.sleep(0)
        clock.sleep_ms(500.0)
    assert view.live(clock.now_ms()) == ["a", "b"]
