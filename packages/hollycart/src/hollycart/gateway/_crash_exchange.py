"""Exchanges crashes of engines and traits in quarantine between instances."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from hollycart.gateway import _crash_messages
from hollycart.gateway import _peers
from hollycart_core import base
from hollycart_core import crashes

# Instances of the own cell that are told everything with each heartbeat, which
# repairs what lost datagrams left out. One of another cell is told as well.
_FANOUT = 3
# Most crashes and entries that are repeated; the latest are. A message holds
# one crash or so many entries, and stays below the largest datagram.
_MAX_REPEATED_CRASHES = 8
_MAX_ENTRIES_IN_MESSAGE = 16
_MAX_REPEATED_ENTRIES = 64
# Time for which a crash is repeated that counts against whole requests only, in
# ms: most of these never come again.
_REPEAT_REQUESTS_MS = 10_000.0
# Attempts of a crash that are sent, and traits of all of them together.
_MAX_SUSPECTS = 16
_MAX_TRAITS = 192


class CrashExchange:
    """Tells the other instances what one of them has learnt of crashes.

    News is sent to all instances of the cell at once, and to one of each other
    cell, which passes it on.

    Args:
        peers: Exchange of datagrams with the other instances.
        quarantine: What this instance knows.
        clock: Source of time.
        rng: Source of randomness.
        on_change: Called with the entries that a message changed and the name
            of its sender.
        on_crash: Called after a message with a crash.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        quarantine: crashes.Quarantine,
        clock: base.Clock,
        rng: random.Random,
        on_change: Callable[[Sequence[crashes.QuarantineEntry], str], None],
        on_crash: Callable[[], None],
    ) -> None:
        self.peers = peers
        self.quarantine = quarantine
        self.clock = clock
        self.rng = rng
        self.on_change = on_change
        self.on_crash = on_crash

    def subscribe(self) -> None:
        """Sets the handlers of messages, heartbeats and new instances."""
        self.peers.subscribe(_crash_messages.CrashEvidence, self._handle)
        self.peers.on_heartbeat = self.repeat
        self.peers.on_new_peer = self.send_all

    def announce_crash(self, crash: crashes.EngineCrash) -> None:
        """Announces a crash, and when its traits were last answered."""
        now_ms = self.clock.now_ms()
        self._broadcast(self._crash_message(crash, now_ms))

    def announce_success(
        self, service: str, traits: Sequence[str], began_ms: float
    ) -> None:
        """Announces a sound answer."""
        age_ms = self.clock.now_ms() - began_ms
        self._broadcast(
            _crash_messages.CrashEvidence(
                self.peers.name,
                successes=[
                    _crash_messages.Success(service, s, age_ms)
                    for s in traits[:_MAX_TRAITS]
                ],
            )
        )

    def announce_entries(
        self, entries: Sequence[crashes.QuarantineEntry]
    ) -> None:
        """Announces entries that changed."""
        for message in self._entry_messages(entries):
            self._broadcast(message)

    def repeat(self) -> None:
        """Sends all that is known to a few instances."""
        messages = self._all_messages(self.clock.now_ms() - _REPEAT_REQUESTS_MS)
        if not messages:
            return
        ips = self.peers.addresses()
        ips = self.rng.sample(ips, min(_FANOUT, len(ips)))
        others = sorted(self.peers.book.other_cells)
        if others:
            found = self.peers.book.of_cell(self.rng.choice(others))
            ips += [self.rng.choice(found)] if found else []
        for message in messages:
            for ip in ips:
                self.peers.send(message, ip)

    def send_all(self, ip: str) -> None:
        """Sends all that is known to one instance."""
        for message in self._all_messages():
            self.peers.send(message, ip)

    def _all_messages(
        self, since_ms: float = float("-inf")
    ) -> list[_crash_messages.CrashEvidence]:
        now_ms = self.clock.now_ms()
        entries = self.quarantine.entries[-_MAX_REPEATED_ENTRIES:]
        unexplained = self.quarantine.unexplained(since_ms)[
            -_MAX_REPEATED_CRASHES:
        ]
        return [
            *self._entry_messages(entries),
            *(self._crash_message(c, now_ms) for c in unexplained),
        ]

    def _entry_messages(
        self, entries: Sequence[crashes.QuarantineEntry]
    ) -> list[_crash_messages.CrashEvidence]:
        now_ms = self.clock.now_ms()
        packed = [_crash_messages.pack_entry(e, now_ms) for e in entries]
        step = _MAX_ENTRIES_IN_MESSAGE
        return [
            _crash_messages.CrashEvidence(
                self.peers.name, entries=packed[start : start + step]
            )
            for start in range(0, len(packed), step)
        ]

    def _crash_message(
        self, crash: crashes.EngineCrash, now_ms: float
    ) -> _crash_messages.CrashEvidence:
        history = self.quarantine.history
        suspects = crash.suspects[:_MAX_SUSPECTS]
        most = _MAX_TRAITS // max(1, len(suspects))
        suspects = tuple(s._replace(traits=s.traits[:most]) for s in suspects)
        crash = crash._replace(suspects=suspects)
        traits = dict.fromkeys(s for a in suspects for s in a.traits)
        successes = [
            _crash_messages.Success(crash.service, s, now_ms - began_ms)
            for s in list(traits)[:_MAX_TRAITS]
            if (began_ms := history.last_success_ms(crash.service, s))
            is not None
        ]
        return _crash_messages.CrashEvidence(
            self.peers.name,
            [_crash_messages.pack_crash(crash, now_ms)],
            successes,
        )

    def _broadcast(self, message: _crash_messages.CrashEvidence) -> None:
        for ip in self.peers.addresses():
            self.peers.send(message, ip)
        message.forward = True
        for cell in self.peers.book.other_cells:
            found = self.peers.book.of_cell(cell)
            if found:
                self.peers.send(message, self.rng.choice(found))

    def _handle(self, message: _crash_messages.CrashEvidence, ip: str) -> None:
        del ip
        now_ms = self.clock.now_ms()
        if message.forward:
            message.forward = False
            for address in self.peers.addresses():
                self.peers.send(message, address)
        changed: list[crashes.QuarantineEntry] = []
        # After a pause of the process, messages are older than they say. A
        # crash that seems late does no harm, a sound answer would.
        if self.peers.is_settled(now_ms):
            for success in message.successes:
                changed += self.quarantine.record_success(
                    success.service,
                    (success.trait,),
                    now_ms - success.age_ms,
                    is_own=False,
                )
        for packed in message.entries:
            entry = _crash_messages.unpack_entry(packed, now_ms)
            merged = self.quarantine.merge(entry, now_ms)
            if merged is None:
                continue
            changed.append(merged)
            if merged.version > entry.version:
                self.announce_entries([merged])  # it objects
        for crash in message.crashes:
            changed += self.quarantine.record_crash(
                _crash_messages.unpack_crash(crash, now_ms), now_ms
            )
        if changed:
            self.on_change(changed, message.sender)
        if message.crashes:
            self.on_crash()
