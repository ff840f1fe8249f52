"""Exchanges work and proofs of freshness with the other instances."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from absl import logging
import eventlet
from eventlet.green import socket
import msgspec

from hollycart import observe
from hollycart.gateway import _messages
from hollycart_core import base
from hollycart_core import placement

_HELLO_INTERVAL_MS = 1000.0  # full announcement of the work
_LIVE_MS = 3200.0  # three lost announcements
_MAX_DATAGRAM_BYTES = 8000  # well below the largest datagram
_GATHER_MS = 2.0  # changes that are sent together
_READ_BYTES = 65536
_SLOW_TOLD = 1.5  # slowness of an endpoint that others are told of


class _Peer(NamedTuple):
    ip: str
    incarnation: int
    heard_ms: float
    reads: bool


class PeerExchange:
    """Sends and receives datagrams.

    Args:
        name: Name of this instance.
        ip: IP number of this instance.
        port: UDP port, the same on all instances.
        view: Receives the work of the others.
        health: Receives and gives the slowness of endpoints.
        log: Receives the decisions.
        clock: Source of time.
        rng: Source of randomness.
        reads: Returns whether this instance reads the store.
        on_question: Answers an `FreshnessQuery`; None keeps silent.
        on_vouch: Receives answers to questions.
        on_changed: Called with the IP number of a peer that knows more.
        on_suspect: Called with an endpoint that a peer could not reach.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        view: placement.LoadView,
        health: placement.EndpointHealth,
        log: observe.DecisionLog,
        clock: base.Clock,
        rng: random.Random,
        reads: Callable[[], bool],
        on_question: Callable[
            [_messages.FreshnessQuery], _messages.FreshnessReply | None
        ],
        on_vouch: Callable[[_messages.FreshnessReply, str], None],
        on_changed: Callable[[_messages.StateChanged, str], None],
        on_suspect: Callable[[str], None],
    ) -> None:
        self.name = name
        self.ip = ip
        self.port = port
        self.view = view
        self.health = health
        self.log = log
        self.clock = clock
        self.rng = rng
        self.reads = reads
        self.on_question = on_question
        self.on_vouch = on_vouch
        self.on_changed = on_changed
        self.on_suspect = on_suspect
        self.running = 0
        self.incarnation = rng.getrandbits(31)
        self._peers: dict[str, _Peer] = {}
        self._addresses: set[str] = set()
        self._sock: Any = None
        self._threads: list[Any] = []
        self._added: dict[str, tuple[placement.Assignment, ...]] = {}
        self._decoding: list[str] = []
        self._ended: list[str] = []
        self._flush_due = False

    def start(self) -> None:
        """Binds the port and begins to announce.

        Raises:
            OSError: If the port cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((self.ip, self.port))
        self._sock = sock
        self._threads = [
            eventlet.spawn(self._receive),
            eventlet.spawn(self._announce),
        ]

    def close(self) -> None:
        """Stops."""
        for thread in self._threads:
            thread.kill()
        self._threads = []
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def set_addresses(self, ips: set[str]) -> None:
        """Adds IP numbers of instances; those once known are kept."""
        self._addresses |= ips - {self.ip}
        if len(self._addresses) > 4 * max(8, len(ips) + len(self._peers)):
            heard = {peer.ip for peer in self._peers.values()}
            self._addresses &= ips | heard

    def live(self) -> dict[str, bool]:
        """Returns the names of live peers and whether they read the store."""
        horizon_ms = self.clock.now_ms() - _LIVE_MS
        return {
            name: peer.reads
            for name, peer in self._peers.items()
            if peer.heard_ms >= horizon_ms
        }

    def ip_of(self, name: str) -> str | None:
        """Returns the IP number of a peer."""
        peer = self._peers.get(name)
        return peer.ip if peer else None

    def add(self, assignments: tuple[placement.Assignment, ...]) -> None:
        """Announces the work of a new attempt of this instance."""
        self.view.add(self.name, assignments)
        self._added[assignments[0].attempt] = assignments
        self._flush_soon()

    def start_decoding(self, attempt: str) -> None:
        """Announces the first event of an attempt."""
        self.view.start_decoding(attempt)
        self._decoding.append(attempt)
        self._flush_soon()

    def remove(self, attempt: str) -> None:
        """Announces the end of an attempt."""
        self.view.remove(attempt)
        if self._added.pop(attempt, None) is None:
            self._ended.append(attempt)
        self._flush_soon()

    def ask(self, ips: list[str]) -> None:
        """Asks instances how recent their state is."""
        message = _messages.FreshnessQuery(self.name, self.clock.now_ms())
        self._send(message, ips)

    def broadcast_state_changed(self, digest: int) -> None:
        """Tells all instances that a new state is known here."""
        self._send(_messages.StateChanged(self.name, digest), self.addresses())

    def broadcast_suspect(self, endpoint: str) -> None:
        """Tells all instances that an endpoint could not be reached."""
        self._send(
            _messages.EndpointSuspected(self.name, endpoint), self.addresses()
        )

    def addresses(self) -> list[str]:
        """Returns the IP numbers that announcements go to."""
        return sorted(self._addresses)

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            eventlet.spawn_after(_GATHER_MS / 1000.0, self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        now_ms = self.clock.now_ms()
        message = _messages.LoadUpdate(
            self.name,
            self.incarnation,
            [_messages.pack(w, now_ms) for w in self._added.values()],
            self._decoding,
            self._ended,
        )
        self._added, self._decoding, self._ended = {}, [], []
        self._send(message, self.addresses())

    def _announce(self) -> None:
        while True:
            self.send_hello()
            self._drop_silent()
            jitter = 0.9 + 0.2 * self.rng.random()
            self.clock.sleep_ms(_HELLO_INTERVAL_MS * jitter)

    def send_hello(self) -> None:
        """Announces this instance and all of its work."""
        now_ms = self.clock.now_ms()
        assignments = [
            _messages.pack(w, now_ms) for w in self.view.of_instance(self.name)
        ]
        self._send(
            _messages.Heartbeat(
                self.name,
                self.incarnation,
                self.reads(),
                self.running,
                assignments,
                self.health.slow_endpoints(now_ms, _SLOW_TOLD),
            ),
            self.addresses(),
        )

    def _drop_silent(self) -> None:
        live = self.live()
        now_ms = self.clock.now_ms()
        for name in list(self._peers):
            if name not in live:
                silent_ms = round(now_ms - self._peers[name].heard_ms, 1)
                self.log.write(observe.decisions.PeerLost(name, silent_ms))
                del self._peers[name]
                self.view.replace_instance(name, ())

    def _send(self, message: _messages.Message, ips: list[str]) -> None:
        data = _messages.encode(message)
        if len(data) > _MAX_DATAGRAM_BYTES:
            logging.warning("datagram too large: bytes=%d", len(data))
            return
        for ip in ips:
            try:
                self._sock.fd.sendto(data, socket.MSG_DONTWAIT, (ip, self.port))
            except OSError as exc:
                logging.debug("datagram to %s: %s", ip, exc)

    def _receive(self) -> None:
        while True:
            try:
                data, (ip, _) = self._sock.recvfrom(_READ_BYTES)
            except OSError as exc:
                logging.info("datagram: %s", exc)
                self.clock.sleep_ms(1.0)
                continue
            try:
                message = _messages.decode(data)
            except msgspec.DecodeError as exc:
                logging.warning("malformed datagram: ip=%s reason=%s", ip, exc)
                continue
            if message.sender != self.name:
                self._handle(message, ip)

    def _handle(self, message: _messages.Message, ip: str) -> None:
        now_ms = self.clock.now_ms()
        self._addresses.add(ip)
        if isinstance(message, _messages.Heartbeat):
            self._note(message.sender, ip, message.incarnation, message.reads)
            self.view.replace_instance(
                message.sender,
                [_messages.unpack(w, now_ms) for w in message.assignments],
            )
            for endpoint, factor in message.slow_endpoints.items():
                self.health.record_slowness(endpoint, factor, now_ms)
        elif isinstance(message, _messages.LoadUpdate):
            known = self._peers.get(message.sender)
            self._note(
                message.sender,
                ip,
                message.incarnation,
                bool(known and known.reads),
            )
            for assignments in message.added:
                self.view.add(
                    message.sender, _messages.unpack(assignments, now_ms)
                )
            for attempt in message.decoding:
                self.view.start_decoding(attempt)
            for attempt in message.ended:
                self.view.remove(attempt)
        elif isinstance(message, _messages.FreshnessQuery):
            answer = self.on_question(message)
            if answer is not None:
                self._send(answer, [ip])
        elif isinstance(message, _messages.FreshnessReply):
            self.on_vouch(message, ip)
        elif isinstance(message, _messages.EndpointSuspected):
            self.on_suspect(message.endpoint)
        else:
            self.on_changed(message, ip)

    def _note(self, name: str, ip: str, incarnation: int, reads: bool) -> None:
        known = self._peers.get(name)
        if known is None:
            self.log.write(observe.decisions.PeerFound(name, ip))
        elif known.incarnation != incarnation:
            self.view.replace_instance(name, ())
        self._peers[name] = _Peer(ip, incarnation, self.clock.now_ms(), reads)
