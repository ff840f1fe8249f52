"""A fleet in virtual time whose engines crash on some requests."""

import random
import types

import eventlet

from hollycart import gateway
from hollycart.gateway import _failures
from hollycart.gateway import _history
from hollycart.gateway import _monitor
from hollycart.gateway.tests import virtual
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import placement

CONTACT_MS = 3000.0
PREFILL_MS = 60.0
DECODE_MS = 1000.0
EVENT_MS = 100.0
CRASH_AFTER_MS = 60.0  # since the start of the decode
RESTART_MS = 4000.0
LIST_LAG_MS = 400.0
TICK_MS = 20.0
PLAIN_MS = 90.0  # run of a request without a prompt
PROMPT_TOKENS = 5000


class Engine:
    """One incarnation of an engine."""

    def __init__(self, number, start, zone):
        self.address = f"e{number}:1"
        self.number = number
        self.listed = placement.Endpoint(
            f"e{number}.{start}", self.address, "svc", zone, 8, born_ms=start
        )
        self.alive = True


class Relay:
    """Runs attempts at the engines of the fleet."""

    def __init__(self, fleet, instance):
        self.fleet = fleet
        self.instance = instance

    def run(self, request, progress, chosen, conn, attempt_id, recorder):
        fleet, clock = self.fleet, self.fleet.clock
        progress.possible_executions += 1
        segments = request.meta.shared_segments
        sent = Sent(clock.now_ms(), request, chosen, self.instance.name)
        fleet.sends.append(sent)
        self.instance.forwarder.dependencies.add(attempt_id, chosen.assignments)
        engine = fleet.engines[chosen.endpoint.id]
        if not engine.alive:
            progress.possible_executions -= 1
            raise _failures.EndpointReplacedError("another incarnation", 250.0)
        is_prompt = bool(chosen.assignments)
        if is_prompt:
            self.wait(engine, PREFILL_MS)
        if fleet.crashing & {*segments, request.exchange.body}:
            self.wait(engine, CRASH_AFTER_MS)
            fleet.crash(engine, sent)
            self.wait(engine, 0.0)
        sent.began = True
        if not is_prompt:
            self.wait(engine, PLAIN_MS)
            progress.status = 200
            request.exchange.respond(200, (), b"")
            return
        recorder.on_event()
        for _ in range(int(DECODE_MS / EVENT_MS)):
            self.wait(engine, EVENT_MS)
            recorder.on_event()
        progress.status = 200
        request.exchange.respond(200, (), b"")

    def wait(self, engine, duration_ms):
        end_ms = self.fleet.clock.now_ms() + duration_ms
        while engine.alive and self.fleet.clock.now_ms() < end_ms:
            self.fleet.clock.sleep_ms(TICK_MS)
        if not engine.alive:
            raise base.EndpointFailedError("connection closed")


class Sent:
    """An attempt that reached an engine."""

    def __init__(self, at_ms, request, chosen, instance):
        self.at_ms = at_ms
        self.request_id = request.meta.request_id
        self.segments = request.meta.shared_segments
        self.body = request.exchange.body
        self.endpoint = chosen.endpoint.id
        self.instance = instance
        self.began = False


class Fleet:
    """Instances in front of engines that crash and come back.

    Attributes:
        crashing: Segments and bodies on which engines crash now.
        entries_last: Whether the entries of former incarnations stay listed.
        restart_ms: Time that an engine takes to start again.
        crashes: Instant and attempt of each crash that a prompt caused.
        calls: Exchange, segments and instant of each call.
    """

    def __init__(self, codec, config, monkeypatch, instances, engines, zones):
        self.codec, self.config = codec, config
        self.clock = virtual.VirtualClock()
        self.network = virtual.Network()
        self.rng = random.Random(instances)
        self.crashing = set()
        self.entries_last = False
        self.restart_ms = RESTART_MS
        self.former = []
        self.crashes, self.sends, self.calls = [], [], []
        self.engines, self.listed = {}, {}
        self.zones = zones
        self.stopped = set()
        monkeypatch.setattr(
            _monitor.EndpointMonitor,
            "_connect",
            lambda monitor, endpoint: self.probe(endpoint),
        )
        for number in range(engines):
            self.start_engine(number)
        self.addresses = {}
        for number in range(instances):
            zone = zones[number % len(zones)]
            ip = f"10.{ord(zone)}.{number // 250}.{number % 250}"
            self.addresses[f"i{number}"] = gateway.InstanceAddress(ip, zone)
        counts = {z: instances // len(zones) for z in zones}
        engine_counts = {z: engines // len(zones) for z in zones}
        self.cells = placement.group_zones(engine_counts, counts)
        self.instances = {}
        for name in self.addresses:
            self.start_instance(name)
        self.publish()

    def start_engine(self, number):
        zone = self.zones[number % len(self.zones)]
        engine = Engine(number, int(self.clock.now_ms()), zone)
        if self.entries_last and number in self.listed:
            self.former.append(self.listed[number])
        self.engines[engine.listed.id] = engine
        self.listed[number] = engine.listed
        return engine

    def start_instance(self, name):
        address = self.addresses[name]
        instance = virtual.Instance(
            self.codec,
            self.clock,
            self.network,
            name,
            address.ip,
            address.zone,
        )
        instance.forwarder._attempt_relay = Relay(self, instance)
        instance.forwarder._liveness = types.SimpleNamespace(
            find_failure=lambda endpoint, query: None
        )
        instance.forwarder.pool = types.SimpleNamespace(
            acquire=self.connect, release_connection=lambda conn: None
        )
        instance.peers.on_endpoint_suspected = (
            instance.forwarder.monitor.schedule_probe
        )
        self.instances[name] = instance
        instance.peers.add_addresses(self.addresses.values())
        instance.peers.set_cells(self.cells)
        self.apply_listed(instance)
        eventlet.spawn(self.run_heartbeats, instance)
        return instance

    def run_heartbeats(self, instance):
        self.clock.sleep_ms(instance.peers.rng.uniform(0.0, 1000.0))
        while self.instances[instance.name] is instance:
            if instance.name not in self.stopped:
                instance.state.freshness.confirm(self.clock.now_ms())
                instance.peers.send_heartbeat()
                instance.peers._remove_lost_peers()
            self.clock.sleep_ms(1000.0)

    def apply_listed(self, instance):
        now_ms = self.clock.now_ms()
        revision = int(now_ms)
        snapshot = gateway.Snapshot(
            revision,
            1,
            self.config,
            (*self.listed.values(), *self.former),
            self.addresses,
            revision,
        )
        raw = _history.RawState(kv.RangeResult(revision, ()), 1)
        instance.state.apply(raw, snapshot, now_ms)
        instance.state.freshness.confirm(now_ms)

    def publish(self):
        for instance in self.instances.values():
            self.apply_listed(instance)

    def publish_later(self, delay_ms):
        self.clock.sleep_ms(delay_ms)
        self.publish()

    def probe(self, endpoint):
        outcomes = _monitor._ProbeOutcome
        current = self.current(endpoint.address)
        return outcomes.REACHED if current.alive else outcomes.REFUSED

    def connect(self, address, timeout_ms, new_only):
        del timeout_ms, new_only
        if not self.current(address).alive:
            raise base.EndpointUnreachableError(
                "refused"
            ) from ConnectionRefusedError()

    def current(self, address):
        return [e for e in self.engines.values() if e.address == address][-1]

    def crash(self, engine, sent=None):
        if not engine.alive:
            return
        engine.alive = False
        if sent is not None:
            self.crashes.append((self.clock.now_ms(), sent))
        eventlet.spawn(self.restart_engine, engine.number)

    def restart_engine(self, number):
        self.clock.sleep_ms(self.restart_ms)
        self.start_engine(number)
        self.publish_later(LIST_LAG_MS)

    def call(
        self,
        segments,
        instance=None,
        path="/stream/",
        body=None,
        key=b"key-a",
    ):
        """Sends a request; it has a prompt if it has segments."""
        running = [n for n in self.instances if n not in self.stopped]
        name = instance or self.rng.choice(running)
        now_ms = self.clock.now_ms()
        exchange = virtual.Exchange(
            path,
            f"r{len(self.calls)}",
            now_ms,
            PROMPT_TOKENS if segments else 0,
            ",".join(segments),
            b"%d" % len(self.calls) if body is None else body,
            key,
        )
        self.calls.append((exchange, segments, now_ms))
        eventlet.spawn(self.handle, self.instances[name], exchange)
        return exchange

    def handle(self, instance, exchange):
        instance.forwarder.handle(exchange)
        exchange.ended_ms = self.clock.now_ms()

    def load(self, per_s, make_segments, seconds, **kwargs):
        """Sends requests at random instants from now on."""
        end_ms = self.clock.now_ms() + seconds * 1000.0

        def send():
            while True:
                self.clock.sleep_ms(self.rng.expovariate(per_s) * 1000.0)
                if self.clock.now_ms() >= end_ms:
                    return
                self.call(make_segments(), **kwargs)

        eventlet.spawn(send)

    def run(self, seconds):
        self.clock.run_until(self.clock.now_ms() + seconds * 1000.0)

    def crashed_ms(self, segment):
        """Returns the instants of the crashes that a segment caused."""
        return [
            at_ms for at_ms, sent in self.crashes if segment in sent.segments
        ]

    def late_sends(self, segment):
        """Returns the sends later than the users' rule tolerates."""
        crashed_ms = self.crashed_ms(segment)
        if len(crashed_ms) < 5:
            return []
        since_ms = crashed_ms[4] + CONTACT_MS
        return [
            s
            for s in self.sends
            if segment in s.segments and s.at_ms > since_ms
        ]

    def late_repeats(self, body):
        """Returns the sends of a request that the users' rule counts."""
        crashed_ms = [
            at_ms for at_ms, sent in self.crashes if sent.body == body
        ]
        if len(crashed_ms) < 3:
            return []
        since_ms = crashed_ms[2] + CONTACT_MS
        return [s for s in self.sends if s.body == body and s.at_ms > since_ms]

    def share_answered(self, since_ms, until_ms, body=None):
        """Returns the share of sound calls that are answered.

        Args:
            since_ms: Instant from which calls count.
            until_ms: Instant until which they count.
            body: Body that the calls must have; None for any.
        """
        answered = [
            exchange.status == 200
            for exchange, segments, at_ms in self.calls
            if since_ms <= at_ms < until_ms
            and not self.crashing & {*segments, exchange.body}
            and body in (None, exchange.body)
        ]
        return sum(answered) / len(answered)

    def share_begun(self, since_ms, until_ms, has=frozenset()):
        """Returns the share of sound calls that begin at their first attempt.

        Args:
            since_ms: Instant from which calls count.
            until_ms: Instant until which they count.
            has: Segments that the calls must contain.
        """
        begun = set()
        seen = set()
        for sent in self.sends:
            if sent.request_id not in seen and sent.began:
                begun.add(sent.request_id)
            seen.add(sent.request_id)
        counted = [
            f"r{number}" in begun
            for number, (_, segments, at_ms) in enumerate(self.calls)
            if since_ms <= at_ms < until_ms
            and not self.crashing & set(segments)
            and set(has) <= set(segments)
        ]
        return sum(counted) / len(counted)
