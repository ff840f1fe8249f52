"""Exchanges load and freshness of the state with the other instances by UDP."""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any
from typing import NamedTuple

from absl import logging
import eventlet
from eventlet.green import socket
import result

from hollycart import observe
from hollycart.gateway import _address_book
from hollycart.gateway import _messages
from hollycart_core import base
from hollycart_core import placement

_HEARTBEAT_INTERVAL_MS = 1000.0
_PEER_TIMEOUT_MS = placement.MISSING_MS
# Heartbeats are spread by this share of their interval to both sides.
_HEARTBEAT_JITTER = 0.1
# Time without a heartbeat of its own after which a process has not been
# running, in ms: an interval with its jitter and some delay.
_PAUSE_MS = 1600.0
# Time after the start, or after a pause, within which the view of the other
# instances may be incomplete, in ms: their next heartbeats arrive within it.
_SETTLE_MS = 1600.0
_MAX_DATAGRAM_BYTES = 8000  # well below the maximum of UDP
_BATCH_WINDOW_MS = 2.0  # changes within it share one datagram
_RECEIVE_BUFFER_BYTES = 65536
# Time within which answers of instances that failed are assumed to end, in ms.
_UNACCOUNTED_DURATION_MS = 2000.0
_MIN_SHARED_SLOWNESS = 1.5  # smaller factors are not sent to peers


class _Peer(NamedTuple):
    """The last received state of another instance.

    Attributes:
        ip: Its IP address.
        incarnation: Differs for each start of the peer.
        last_heard_ms: Instant of its last heartbeat or load update.
        reads_store: Whether it reads the store successfully.
        draining: Whether it is about to stop.
    """

    ip: str
    incarnation: int
    last_heard_ms: float
    reads_store: bool
    draining: bool


class PeerExchange:
    """Sends and receives the datagrams between instances.

    Changes of load are batched for a few ms and sent to the instances of the
    own cell. Each heartbeat carries the whole load of its sender, which repairs
    the view after lost datagrams. Other cells are known by summaries: with each
    heartbeat, an instance sends that of its cell to one instance elsewhere, and
    shares those that it received with its cell.

    Args:
        name: Name of this instance.
        ip: IP address of this instance.
        zone: Availability zone of this instance.
        port: UDP port, the same on all instances.
        view: Load of all instances; updated with that of the peers.
        health: Slowness of endpoints, which instances share.
        log: Decision log.
        clock: Source of time.
        rng: Source of randomness.
        reads_store: Returns whether this instance reads the store
            successfully.
        on_query: Returns the reply to a `FreshnessQuery`, or None to send
            none.
        on_reply: Called with a reply and the IP address of its sender.
        on_state_changed: Called with a peer's announcement of a changed state
            and the IP address of the peer.
        on_endpoint_suspected: Called with the id of an endpoint that a peer
            could not reach.

    Attributes:
        book: Addresses of the instances, divided by cells.
        directory: Summaries of the other cells.
        count_open_endpoints: Returns the number of endpoints of the own cell
            with a free slot and without a prefill, by service, at an instant.
        rooms: Returns the room of the own cell by service, at an instant.
        draining: Whether this instance is about to stop.
        on_heartbeat: Called after each heartbeat that was sent.
        on_new_peer: Called with the IP address of an instance of the cell that
            was not known, or has started again.
        malformed: Number of datagrams that could not be decoded.
        foreign_updates: Number of load updates from other cells: their senders
            hold another division of the fleet.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        port: int,
        view: placement.LoadView,
        health: placement.EndpointHealth,
        log: observe.DecisionLog,
        clock: base.Clock,
        rng: random.Random,
        reads_store: Callable[[], bool],
        on_query: Callable[
            [_messages.FreshnessQuery], _messages.FreshnessReply | None
        ],
        on_reply: Callable[[_messages.FreshnessReply, str], None],
        on_state_changed: Callable[[_messages.StateChanged, str], None],
        on_endpoint_suspected: Callable[[str], None],
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.port = port
        self.view = view
        self.health = health
        self.log = log
        self.clock = clock
        self.rng = rng
        self.reads_store = reads_store
        self.on_query = on_query
        self.on_reply = on_reply
        self.on_state_changed = on_state_changed
        self.on_endpoint_suspected = on_endpoint_suspected
        self.running = 0
        self.draining = False
        self.incarnation = rng.getrandbits(31)
        self.book = _address_book.AddressBook(ip, zone)
        self.directory = placement.CellDirectory()
        self.count_open_endpoints: Callable[[float], dict[str, int]] = (
            lambda now_ms: {}
        )
        self.rooms: Callable[[float], dict[str, placement.ServiceRoom]] = (
            lambda now_ms: {}
        )
        self.on_heartbeat: Callable[[], None] = lambda: None
        self.on_new_peer: Callable[[str], None] = lambda ip: None
        self.malformed = 0
        self.foreign_updates = 0
        self._handlers: dict[type, Callable[[Any, str], None]] = {}
        self._peers: dict[str, _Peer] = {}
        self._sock: Any = None
        self._threads: list[Any] = []
        self._added: dict[str, tuple[placement.Assignment, ...]] = {}
        self._decoding: list[str] = []
        self._ended: list[str] = []
        self._flush_scheduled = False
        self._last_beat_ms = float("-inf")
        self._running_since_ms = float("-inf")

    def start(self) -> None:
        """Binds the port and starts to send heartbeats.

        Raises:
            OSError: If the port cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((self.ip, self.port))
        self._sock = sock
        self._threads = [
            eventlet.spawn(self._receive),
            eventlet.spawn(self._run_heartbeats),
        ]

    def close(self) -> None:
        """Stops the exchange and closes the socket."""
        for thread in self._threads:
            thread.kill()
        self._threads = []
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def subscribe(
        self, message_type: type, handler: Callable[[Any, str], None]
    ) -> None:
        """Sets the handler of messages of a type.

        Args:
            message_type: Type of the messages.
            handler: Called with a message and the IP address of its sender.
        """
        self._handlers[message_type] = handler

    def add_addresses(
        self, addresses: Iterable[_address_book.InstanceAddress]
    ) -> None:
        """Adds addresses of instances."""
        now_ms = self.clock.now_ms()
        for address in addresses:
            self.book.add(address.ip, address.zone, now_ms)

    def set_cells(self, cells: tuple[placement.Cell, ...]) -> None:
        """Sets the cells of the fleet; forgets peers outside the own one."""
        before = self.book.cell
        self.book.set_cells(cells)
        if self.book.cell == before:
            return
        self.log.write(
            observe.decisions.CellChanged(
                tuple(sorted(self.book.cell)), tuple(self.book.other_cells)
            )
        )
        for name, peer in list(self._peers.items()):
            if not self.book.is_in_cell(self.book.zone_of(peer.ip)):
                del self._peers[name]
                self.view.replace_instance(name, ())

    def fleet_size(self) -> int:
        """Returns the number of instances, with those of all other cells.

        An instance that is registered counts although it may have failed, so
        that what the instances share out is never shared out twice.
        """
        now_ms = self.clock.now_ms()
        return (
            len(self.live())
            + 1
            + sum(
                max(
                    self.directory.instances(name, now_ms),
                    len(self.book.of_cell(name)),
                )
                for name in self.book.other_cells
            )
        )

    def make_report(self) -> placement.CellReport:
        """Returns the summary of the own cell."""
        now_ms = self.clock.now_ms()
        return placement.CellReport(
            self.book.cell_name,
            len(self.live()) + 1,
            self.count_open_endpoints(now_ms),
            now_ms,
            self.rooms(now_ms),
        )

    def is_settled(self, now_ms: float) -> bool:
        """Returns whether the view of the other instances is complete.

        It is not after the start and after a pause of the process, until the
        other instances had the time to send a heartbeat.
        """
        paused = now_ms - self._last_beat_ms > _PAUSE_MS
        return not paused and now_ms - self._running_since_ms >= _SETTLE_MS

    def heard(self) -> dict[str, placement.HeardInstance]:
        """Returns for each known peer, by name, its last sign of life."""
        return {
            name: placement.HeardInstance(peer.last_heard_ms, peer.draining)
            for name, peer in self._peers.items()
        }

    def live(self) -> dict[str, bool]:
        """Returns for each live peer, by name, whether it reads the store."""
        cutoff_ms = self.clock.now_ms() - _PEER_TIMEOUT_MS
        return {
            name: peer.reads_store
            for name, peer in self._peers.items()
            if peer.last_heard_ms >= cutoff_ms
        }

    def staying(self) -> list[str]:
        """Returns the names of all live instances that are not draining.

        These are the ones to give a duty to; all of them if all are draining.
        """
        live = self.live()
        names = [n for n in live if not self._peers[n].draining]
        if not self.draining:
            names.append(self.name)
        return names or [self.name, *live]

    def drain(self) -> None:
        """Announces that this instance is about to stop."""
        self.draining = True
        self.send_heartbeat()

    def ip_of(self, name: str) -> str | None:
        """Returns the IP address of a peer, or None if it is unknown."""
        peer = self._peers.get(name)
        return peer.ip if peer else None

    def add(self, assignments: tuple[placement.Assignment, ...]) -> None:
        """Records and announces the assignments of a new attempt."""
        attempt_id = assignments[0].attempt_id
        self.view.add(self.name, assignments)
        self._added[attempt_id] = assignments
        # Receivers apply ends last. What is added replaces what was known.
        if attempt_id in self._ended:
            self._ended.remove(attempt_id)
        self._schedule_flush()

    def start_decoding(self, attempt_id: str) -> None:
        """Records and announces that an attempt has started to decode."""
        self.view.start_decoding(attempt_id)
        self._decoding.append(attempt_id)
        self._schedule_flush()

    def remove(self, attempt_id: str) -> None:
        """Records and announces the end of an attempt."""
        self.view.remove(attempt_id)
        # An earlier placement of the attempt may have been announced.
        self._added.pop(attempt_id, None)
        self._ended.append(attempt_id)
        self._schedule_flush()

    def add_unaccounted(self, reports: list[_messages.EndpointReport]) -> None:
        """Records and announces load that no instance accounts for."""
        self._record_unaccounted(reports)
        if reports:
            self._send(
                _messages.UnaccountedLoads(self.name, reports),
                self.addresses(),
            )

    def _record_unaccounted(
        self, reports: list[_messages.EndpointReport]
    ) -> None:
        now_ms = self.clock.now_ms()
        for report in reports:
            self.view.set_unaccounted(
                report.endpoint,
                placement.UnaccountedLoad(
                    report.requests,
                    report.memory_tokens,
                    now_ms,
                    _UNACCOUNTED_DURATION_MS,
                    report.hold_ms,
                    report.max_gap_ms or float("inf"),
                ),
            )

    def query_freshness(self, ips: list[str]) -> None:
        """Queries instances for how recently their state was confirmed."""
        message = _messages.FreshnessQuery(self.name, self.clock.now_ms())
        self._send(message, ips)

    def broadcast_state_changed(self, digest: int) -> None:
        """Announces to the cell that the state has changed here."""
        self._send(_messages.StateChanged(self.name, digest), self.addresses())

    def broadcast_suspect(self, endpoint: str) -> None:
        """Announces to the cell that an endpoint could not be reached."""
        self._send(
            _messages.EndpointSuspected(self.name, endpoint), self.addresses()
        )

    def broadcast_leaving(self, endpoint: str, born_ms: int) -> None:
        """Announces to the cell that an endpoint is leaving."""
        self._send(
            _messages.EndpointLeaving(self.name, endpoint, born_ms),
            self.addresses(),
        )

    def broadcast_replaced(self, endpoint: placement.Endpoint) -> None:
        """Announces to the cell that an endpoint's entry is out of date."""
        self._send(
            _messages.EndpointReplaced(
                self.name, endpoint.id, endpoint.born_ms, endpoint.written
            ),
            self.addresses(),
        )

    def broadcast_limit(self, statement: placement.RateStatement) -> None:
        """Announces to the cell that an endpoint changed its limit."""
        limit = _messages.pack_limit(statement, self.clock.now_ms())
        self._send(
            _messages.EndpointLimited(self.name, limit), self.addresses()
        )

    def addresses(self) -> list[str]:
        """Returns the IP addresses that datagrams are broadcast to."""
        return self.book.in_cell()

    def send(self, message: _messages.Message, ip: str) -> None:
        """Sends a message to one instance."""
        self._send(message, [ip])

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            eventlet.spawn_after(_BATCH_WINDOW_MS / 1000.0, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        now_ms = self.clock.now_ms()
        message = _messages.LoadUpdate(
            self.name,
            self.incarnation,
            [_messages.pack(a, now_ms) for a in self._added.values()],
            self._decoding,
            self._ended,
        )
        self._added, self._decoding, self._ended = {}, [], []
        self._send(message, self.addresses())

    def _run_heartbeats(self) -> None:
        guard = base.LoopGuard("sending heartbeats")
        while True:
            with guard.turn():
                self.send_heartbeat()
                self._remove_lost_peers()
                self.book.remove_expired(self.clock.now_ms())
            jitter = _HEARTBEAT_JITTER * (2.0 * self.rng.random() - 1.0)
            self.clock.sleep_ms(_HEARTBEAT_INTERVAL_MS * (1.0 + jitter))

    def send_heartbeat(self) -> None:
        """Announces this instance and its whole load."""
        now_ms = self.clock.now_ms()
        if now_ms - self._last_beat_ms > _PAUSE_MS:
            self._running_since_ms = now_ms
        self._last_beat_ms = now_ms
        self._send(
            self._make_heartbeat(now_ms), self.addresses() + self.book.unknown()
        )
        self._announce_cell(now_ms)
        self.on_heartbeat()

    def _make_heartbeat(self, now_ms: float) -> _messages.Heartbeat:
        assignments = [
            _messages.pack(a, now_ms) for a in self.view.of_instance(self.name)
        ]
        return _messages.Heartbeat(
            self.name,
            self.incarnation,
            self.reads_store(),
            self.running,
            assignments,
            self.health.slow_endpoints(now_ms, _MIN_SHARED_SLOWNESS),
            self.zone,
            [
                _messages.pack_report(r, now_ms)
                for r in self.directory.recent(now_ms)
                if r.cell in self.book.other_cells
            ],
            self.draining,
        )

    def _announce_cell(self, now_ms: float) -> None:
        """Sends the summary of the own cell to one instance of another."""
        if not self.book.other_cells:
            return
        ips = self.book.of_cell(self.rng.choice(list(self.book.other_cells)))
        if ips:
            state = _messages.pack_report(self.make_report(), now_ms)
            self.send(
                _messages.CellAnnouncement(self.name, self.zone, state),
                self.rng.choice(ips),
            )

    def _remove_lost_peers(self) -> None:
        live = self.live()
        now_ms = self.clock.now_ms()
        for name in list(self._peers):
            if name not in live:
                silent_ms = round(now_ms - self._peers[name].last_heard_ms, 1)
                self.log.write(observe.decisions.PeerLost(name, silent_ms))
                del self._peers[name]
                self.view.replace_instance(name, ())

    def _send(self, message: _messages.Message, ips: list[str]) -> None:
        data = _messages.encode(message)
        if len(data) > _MAX_DATAGRAM_BYTES:
            logging.warning(
                "datagram not sent, above the size limit: bytes=%d", len(data)
            )
            return
        for ip in ips:
            try:
                self._sock.fd.sendto(data, socket.MSG_DONTWAIT, (ip, self.port))
            except OSError as exc:
                logging.debug("datagram to %s not sent: %s", ip, exc)

    def _receive(self) -> None:
        work = base.WorkMeter("datagrams")
        guard = base.LoopGuard("receiving datagrams")
        while True:
            work.add(1)
            try:
                data, (ip, _) = self._sock.recvfrom(_RECEIVE_BUFFER_BYTES)
            except OSError as exc:
                logging.info("receiving a datagram failed: %s", exc)
                self.clock.sleep_ms(1.0)
                continue
            with guard.turn():
                self._handle_datagram(data, ip)

    def _handle_datagram(self, data: bytes, ip: str) -> None:
        parsed = base.parse(_messages.decode, data)
        if isinstance(parsed, result.Err):
            self.malformed += 1
            logging.warning(
                "malformed datagram dropped: ip=%s reason=%s",
                ip,
                parsed.err_value,
            )
        elif parsed.ok_value.sender != self.name:
            self._handle(parsed.ok_value, ip)

    def _handle(self, message: _messages.Message, ip: str) -> None:
        now_ms = self.clock.now_ms()
        if isinstance(message, _messages.Heartbeat):
            self.book.add(ip, message.zone, now_ms, heard=True)
            if self.book.is_in_cell(message.zone):
                self._handle_heartbeat(message, ip, now_ms)
            return
        if isinstance(message, _messages.CellAnnouncement):
            self.book.add(ip, message.zone, now_ms, heard=True)
            self.record_state(message.state)
            return
        self.book.add(ip, "", now_ms, heard=True)
        if isinstance(message, _messages.LoadUpdate):
            zone = self.book.zone_of(ip)
            if zone and not self.book.is_in_cell(zone):
                self.foreign_updates += 1
            else:
                self._handle_load_update(message, ip, now_ms)
        elif isinstance(message, _messages.FreshnessQuery):
            reply = self.on_query(message)
            if reply is not None:
                self._send(reply, [ip])
        elif isinstance(message, _messages.FreshnessReply):
            self.on_reply(message, ip)
        elif isinstance(message, _messages.EndpointSuspected):
            self.on_endpoint_suspected(message.endpoint)
        elif isinstance(message, _messages.UnaccountedLoads):
            self._record_unaccounted(message.reports)
        elif isinstance(message, _messages.StateChanged):
            self.on_state_changed(message, ip)
        elif handler := self._handlers.get(type(message)):
            handler(message, ip)

    def record_state(self, state: _messages.CellState) -> None:
        """Records the summary of another cell."""
        if state.cell in self.book.other_cells:
            self.directory.record(
                _messages.unpack_report(state, self.clock.now_ms())
            )

    def _handle_heartbeat(
        self, message: _messages.Heartbeat, ip: str, now_ms: float
    ) -> None:
        known = self._peers.get(message.sender)
        self._record_peer(
            message.sender,
            ip,
            message.incarnation,
            message.reads_store,
            message.draining,
        )
        if known is None or known.incarnation != message.incarnation:
            # A new instance needs the load of all others for its first prompt.
            self.send(self._make_heartbeat(now_ms), ip)
            self.on_new_peer(ip)
        self.view.replace_instance(
            message.sender,
            [_messages.unpack(a, now_ms) for a in message.assignments],
        )
        for endpoint, factor in message.slow_endpoints.items():
            self.health.record_slowness(endpoint, factor, now_ms)
        for state in message.other_cells:
            self.record_state(state)

    def _handle_load_update(
        self, message: _messages.LoadUpdate, ip: str, now_ms: float
    ) -> None:
        known = self._peers.get(message.sender)
        self._record_peer(
            message.sender,
            ip,
            message.incarnation,
            bool(known and known.reads_store),
            bool(known and known.draining),
        )
        for assignments in message.added:
            self.view.add(message.sender, _messages.unpack(assignments, now_ms))
        for attempt_id in message.decoding:
            self.view.start_decoding(attempt_id)
        for attempt_id in message.ended:
            self.view.remove(attempt_id)

    def _record_peer(
        self,
        name: str,
        ip: str,
        incarnation: int,
        reads_store: bool,
        draining: bool,
    ) -> None:
        known = self._peers.get(name)
        if known is None:
            self.log.write(observe.decisions.PeerFound(name, ip))
        elif known.incarnation != incarnation:
            self.view.replace_instance(name, ())
        self._peers[name] = _Peer(
            ip, incarnation, self.clock.now_ms(), reads_store, draining
        )
