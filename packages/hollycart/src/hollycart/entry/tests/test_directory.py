import random

import eventlet

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


def test_cut_halves_find_each_other_again():
    """Nobody on either side has heard of the other for a long time."""
    clock = base.ManualClock()
    own = membership.ListEntry("a", "instance", "h:1", cell="c")
    view = membership.MembershipView(own, incarnation=1)
    client = FakePeers()
    directory = _directory.Directory(
        FakeSource(),
        view,
        client,
        clock,
        observe.Metrics(),
        random.Random(1),
        lambda: None,
    )
    directory.refresh()
    clock.sleep_ms(60_000.0)
    assert view.live(clock.now_ms()) == ["a"]
    client.joined = True
    for _ in range(40):
        directory.exchange()
        eventlet.sleep(0)
        clock.sleep_ms(500.0)
    assert view.live(clock.now_ms()) == ["a", "b"]
