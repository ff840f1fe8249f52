"""Limits on the rate of requests, kept by fleets in virtual time."""

import random
import types

import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _forwarder
from hollycart.gateway import _history
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement

# The users' rule, in ms and requests.
CONTACT_MS = 3000.0
TOLD_MS = 500.0
WINDOW_MS = 4000.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5.0
HEARTBEAT_MS = 1000.0
# Paths and prompt lengths: requests of all kinds count towards the limit.
KINDS = (("/again/", 0), ("/once/", 0), ("/stream/", 5000))


class Network:
    """Delivers datagrams at once, unless their sender or receiver is cut."""

    def __init__(self):
        self.receivers = {}
        self.cut_ips = set()
        self.loss = 0.0
        self.rng = random.Random(5)
        self.datagrams = 0

    def sendto(self, sender, data, ip):
        receiver = self.receivers.get(ip)
        cut = sender.ip in self.cut_ips or ip in self.cut_ips
        if receiver is None or cut or self.rng.random() < self.loss:
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

    def __init__(self, path, request_id, now_ms, tokens):
        fields = [(b"Id", request_id.encode()), (b"Key", b"key-a")]
        if tokens:
            fields.append((b"Tokens", str(tokens).encode()))
        self.head = connections.RequestHead(
            b"POST", path.encode(), tuple(fields)
        )
        self.body = b""
        self.received_ms = now_ms
        self.status = 0
        self.headers = ()

    def respond(self, status, headers, body):
        del body
        self.status, self.headers = status, headers

    @property
    def retry_after_ms(self):
        text = connections.find_header(self.headers, b"retry-after")
        return float(text) * 1000.0 if text else None


class Relay:
    """Answers every attempt at once, as the fleet's endpoints would."""

    def __init__(self, fleet, instance):
        self.fleet = fleet
        self.instance = instance

    def run(self, request, progress, chosen, conn, attempt_id, recorder):
        del conn, attempt_id, recorder
        progress.possible_executions += 1
        now_ms = self.fleet.clock.now_ms()
        head = self.fleet.answer(
            self.instance, chosen.endpoint, request.meta.request_id
        )
        self.instance.forwarder.notices.record(
            chosen.endpoint, head, now_ms, request.meta.request_id
        )
        progress.status = head.status
        request.exchange.respond(head.status, (), b"")


class Instance:
    """An instance without servers, endpoints and threads."""

    def __init__(self, fleet, name, ip, zone):
        self.name = name
        clock = fleet.clock
        view, health = placement.LoadView(), placement.EndpointHealth()
        log = observe.DecisionLog(name, clock)
        rng = random.Random(name)
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
        self.peers._sock = Socket(fleet.network, self.peers)
        self.forwarder = _forwarder.Forwarder(
            fleet.codec,
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
        self.forwarder._attempt_relay = Relay(fleet, self)
        self.forwarder.subscribe()


class Fleet:
    """Instances in front of endpoints, some of which name a limit."""

    def __init__(self, codec, config, instances, zones="abc", endpoints=4):
        self.codec = codec
        self.clock = base.ManualClock(100000.0)
        self.network = Network()
        self.rng = random.Random(instances)
        self.limits = {}
        self.named_ms = {}
        self.told_ms = {}
        self.sends = []
        self.endpoints = [
            placement.Endpoint(f"e{i}", f"e{i}:1", "svc", zones[i % 3], 8)
            for i in range(endpoints)
        ]
        self.instances = []
        for number in range(instances):
            zone = zones[number % len(zones)]
            ip = f"10.{ord(zone)}.{number // 250}.{number % 250}"
            instance = Instance(self, f"i{number}", ip, zone)
            self.network.receivers[ip] = instance.peers
            self.instances.append(instance)
        addresses = {
            i.name: gateway.InstanceAddress(i.peers.ip, i.peers.zone)
            for i in self.instances
        }
        counts = {z: instances // len(zones) for z in zones}
        engines = dict.fromkeys(zones, 8)
        cells = placement.group_zones(engines, counts)
        for instance in self.instances:
            snapshot = gateway.Snapshot(
                1, 1, config, tuple(self.endpoints), addresses, 1
            )
            raw = _history.RawState(kv.RangeResult(1, ()), 1)
            instance.state.apply(raw, snapshot, self.clock.now_ms())
            instance.peers.add_addresses(addresses.values())
            instance.peers.set_cells(cells)
        self.next_heartbeat_ms = 0.0
        self.stopped = set()
        self.advance(0.0)

    def advance(self, duration_ms):
        """Lets time pass, with heartbeats of the instances that run."""
        end_ms = self.clock.now_ms() + duration_ms
        while True:
            if self.clock.now_ms() >= self.next_heartbeat_ms:
                self.next_heartbeat_ms = self.clock.now_ms() + HEARTBEAT_MS
                for instance in self.instances:
                    if instance.name not in self.stopped:
                        instance.state.freshness.confirm(self.clock.now_ms())
                        instance.peers.send_heartbeat()
                        instance.peers._remove_lost_peers()
            left_ms = end_ms - self.clock.now_ms()
            if left_ms <= 0:
                return
            self.clock.sleep_ms(
                min(left_ms, self.next_heartbeat_ms - self.clock.now_ms())
            )

    def name_limit(self, endpoint, per_s):
        self.limits[endpoint] = per_s
        self.named_ms[endpoint] = self.clock.now_ms()

    def answer(self, instance, endpoint, request_id):
        now_ms = self.clock.now_ms()
        self.sends.append((now_ms, endpoint.id, instance.name))
        fields = [(b"Id", request_id.encode()), (b"Seal", b"1")]
        if endpoint.id in self.limits:
            limit = str(self.limits[endpoint.id]).encode()
            fields.append((b"Limit", limit))
            self.told_ms.setdefault((endpoint.id, instance.name), now_ms)
        return connections.ResponseHead(200, tuple(fields))

    def call(self, instance=None, path="", tokens=0):
        if not path:
            path, tokens = self.rng.choice(KINDS)
        running = [i for i in self.instances if i.name not in self.stopped]
        instance = instance or self.rng.choice(running)
        request_id = f"r{len(self.sends)}.{self.clock.now_ms()}"
        exchange = Exchange(path, request_id, self.clock.now_ms(), tokens)
        instance.forwarder.handle(exchange)
        return exchange

    def run(self, seconds, per_s, **kwargs):
        """Sends requests at random instants; returns their exchanges."""
        end_ms = self.clock.now_ms() + seconds * 1000.0
        exchanges = []
        while self.clock.now_ms() < end_ms:
            self.advance(self.rng.expovariate(per_s) * 1000.0)
            exchanges.append(self.call(**kwargs))
        return exchanges

    def excess(self, endpoint):
        """Returns by how many requests the limit was passed in some window."""
        per_s = self.limits[endpoint]
        counted = [
            at_ms
            for at_ms, sent_to, sender in self.sends
            if sent_to == endpoint
            and at_ms >= self.named_ms[endpoint] + CONTACT_MS
            and at_ms
            >= self.told_ms.get((endpoint, sender), float("inf")) + TOLD_MS
        ]
        most = max(
            (
                sum(at_ms <= t < at_ms + WINDOW_MS for t in counted)
                for at_ms in counted
            ),
            default=0,
        )
        window_s = WINDOW_MS / 1000.0
        return most - (ALLOWED_SHARE * per_s * window_s + ALLOWED_EXTRA)

    def rate(self, endpoint, seconds):
        """Returns the requests a second in the last seconds."""
        since_ms = self.clock.now_ms() - seconds * 1000.0
        sent = sum(e == endpoint and t >= since_ms for t, e, _ in self.sends)
        return sent / seconds


@pytest.mark.parametrize("instances", [4, 30, 300])
def test_all_instances_together_keep_the_limits_of_endpoints(
    plain_codec, config, instances
):
    fleet = Fleet(plain_codec, config, instances)
    fleet.run(1.0, 40.0)
    fleet.name_limit("e0", 1.0)
    fleet.name_limit("e1", 5.0)
    fleet.run(12.0, 60.0)
    assert fleet.excess("e0") <= 0.0
    assert fleet.excess("e1") <= 0.0
