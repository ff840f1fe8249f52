"""Fleets of instances without servers, in virtual time."""

import heapq
import itertools
import random
import types

import eventlet
from eventlet import event

from hollycart import observe
from hollycart.gateway import _forwarder
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _state
from hollycart_core import connections
from hollycart_core import placement

# Rounds of the event loop in which all that is due at one instant happens.
_ROUNDS = 8


class VirtualClock:
    """Suspends green threads until the virtual instant at which they are due.

    Instants are rounded up to a grid, so that much happens in one step.
    """

    def __init__(self, grid_ms=5.0):
        self.grid_ms = grid_ms
        self._now_ms = 100000.0
        self._due = []
        self._ids = itertools.count()

    def now_ms(self):
        return self._now_ms

    def wall_ms(self):
        return self._now_ms

    def sleep_ms(self, duration_ms):
        due_ms = self._now_ms + max(0.0, duration_ms)
        due_ms = -(-due_ms // self.grid_ms) * self.grid_ms
        wake = event.Event()
        heapq.heappush(self._due, (due_ms, next(self._ids), wake))
        wake.wait()

    def run_until(self, end_ms):
        """Runs everything that is due up to an instant."""
        self._settle()
        while self._due and self._due[0][0] <= end_ms:
            self._now_ms = self._due[0][0]
            while self._due and self._due[0][0] <= self._now_ms:
                heapq.heappop(self._due)[2].send()
            self._settle()
        self._now_ms = end_ms

    def _settle(self):
        for _ in range(_ROUNDS):
            eventlet.sleep(0)


class Network:
    """Delivers datagrams at once, but for some that are lost."""

    def __init__(self):
        self.receivers = {}
        self.hidden = set()
        self.loss = 0.0
        self.rng = random.Random(5)
        self.datagrams = 0

    def hide(self, peer, others):
        """Loses the datagrams between a peer and others."""
        for other in others:
            self.hidden |= {(peer.ip, other.ip), (other.ip, peer.ip)}

    def sendto(self, sender, data, ip):
        receiver = self.receivers.get(ip)
        hidden = (sender.ip, ip) in self.hidden
        if receiver is None or hidden or self.rng.random() < self.loss:
            return
        self.datagrams += 1
        receiver._handle(_messages.decode(data), sender.ip)


class Socket:
    """Socket of one instance in the network."""

    def __init__(self, network, exchange):
        self.network = network
        self.exchange = exchange
        self.fd = self

    def sendto(self, data, flags, address):
        del flags
        self.network.sendto(self.exchange, data, address[0])

    def close(self):
        pass


class Exchange:
    """Request of a caller; keeps the response."""

    response_started = False
    refusal = None
    ended_ms = None

    def __init__(
        self,
        path,
        request_id,
        now_ms,
        tokens,
        segments="",
        body=b"",
        key=b"key-a",
    ):
        fields = [(b"Id", request_id.encode()), (b"Key", key)]
        if tokens:
            fields.append((b"Tokens", str(tokens).encode()))
        if segments:
            fields.append((b"Segments", segments.encode()))
        self.head = connections.RequestHead(
            b"POST", path.encode(), tuple(fields)
        )
        self.body = body
        self.received_ms = now_ms
        self.status = 0
        self.headers = ()

    def respond(self, status, headers, body):
        del body
        self.status, self.headers = status, headers

    def release_body(self):
        pass

    def flush(self):
        pass

    @property
    def retry_after_ms(self):
        text = connections.find_header(self.headers, b"retry-after")
        return float(text) * 1000.0 if text else None


class Instance:
    """An instance without servers, endpoints and threads."""

    def __init__(self, codec, clock, network, name, ip, zone):
        self.name = name
        view, health = placement.LoadView(), placement.EndpointHealth()
        log = observe.DecisionLog(name, clock)
        rng = random.Random(f"{name} {clock.now_ms()}")
        self.state = _state.PlatformState(4000.0, 2000.0)
        self.peers = _peers.PeerExchange(
            name,
            ip,
            zone,
            1,
            view,
            health,
            log,
            clock,
            rng,
            lambda: True,
            lambda query: None,
            lambda reply, ip: None,
            lambda changed, ip: None,
            lambda endpoint: None,
        )
        self.peers._sock = Socket(network, self.peers)
        self.forwarder = _forwarder.Forwarder(
            codec,
            self.state,
            self.peers,
            placement.Placer(view, health, name),
            health,
            placement.SharedRetryBudget(0.2, 10000.0, 100),
            log,
            observe.Metrics(),
            clock,
            rng,
            zone,
            1500.0,
            20000.0,
        )
        self.forwarder.pool = types.SimpleNamespace(
            acquire=lambda address, timeout_ms, new_only: None,
            release_connection=lambda conn: None,
        )
        self.forwarder.subscribe()
        network.receivers[ip] = self.peers
