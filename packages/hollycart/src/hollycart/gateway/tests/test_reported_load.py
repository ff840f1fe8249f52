"""Instances that are cut off from each other, in virtual time."""

import eventlet
import pytest

from hollycart import gateway
from hollycart.gateway import _history
from hollycart.gateway.tests import virtual
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import placement

HEARTBEAT_MS = 1000.0
WATCH_MS = 200.0
LONG_TOKENS = 190000


class Relay:
    """Keeps placements and answers every attempt at once."""

    def __init__(self):
        self.placed = []

    def run(self, request, progress, chosen, conn, attempt_id, recorder):
        del conn, attempt_id, recorder
        progress.possible_executions += 1
        self.placed.append([a.endpoint for a in chosen.assignments])
        request.exchange.respond(200, (), b"")


class Fleet:
    """Six instances of a cell in front of eight engines."""

    def __init__(self, codec, config):
        self.clock = base.ManualClock(100000.0)
        self.network = virtual.Network()
        self.relay = Relay()
        self.queries = []
        self.requests = {}  # by engine, as reported
        self.silent = set()  # engines that do not report
        self.decisions = []
        self.next_heartbeat_ms = 0.0
        endpoints = tuple(
            placement.Endpoint(f"e{i}", f"e{i}:1", "svc", "z", 8)
            for i in range(8)
        )
        addresses = {
            f"i{n}": gateway.InstanceAddress(f"10.0.0.{n}", "z")
            for n in range(6)
        }
        snapshot = gateway.Snapshot(1, 1, config, endpoints, addresses, 1)
        raw = _history.RawState(kv.RangeResult(1, ()), 1)
        self.instances = []
        for name, address in addresses.items():
            instance = virtual.Instance(
                codec, self.clock, self.network, name, address.ip, "z"
            )
            instance.state.apply(raw, snapshot, self.clock.now_ms())
            instance.peers.add_addresses(addresses.values())
            instance.peers.set_cells((frozenset("z"),))
            instance.forwarder._attempt_relay = self.relay
            instance.forwarder.survey.query = self._make_query(name)
            instance.reported_load = instance.forwarder.reported_load
            instance.reported_load.log.write = self.decisions.append
            self.instances.append(instance)
        self.advance(4.0)

    def _make_query(self, name):
        def query(endpoints, timeout_ms):
            del timeout_ms
            self.queries.append((name, sorted(e.id for e in endpoints)))
            return {
                e.id: gateway.EndpointLoad(
                    self.requests.get(e.id, 0),
                    5000 * self.requests.get(e.id, 0),
                )
                for e in endpoints
                if e.id not in self.silent
            }

        return query

    def advance(self, seconds):
        for _ in range(round(seconds * 1000.0 / WATCH_MS)):
            now_ms = self.clock.now_ms()
            beats = now_ms >= self.next_heartbeat_ms
            if beats:
                self.next_heartbeat_ms = now_ms + HEARTBEAT_MS
            for instance in self.instances:
                if beats:
                    instance.state.freshness.confirm(now_ms)
                    instance.peers.send_heartbeat()
                    instance.peers._remove_lost_peers()
                instance.reported_load.watch()
            self.clock.sleep_ms(WATCH_MS)

    def cut(self, instances):
        for instance in instances:
            self.network.hide(instance.peers, [i.peers for i in self.instances])

    def call(self, instance, tokens=LONG_TOKENS):
        """Returns the endpoints of a prompt."""
        exchange = virtual.Exchange(
            "/stream/", "r", self.clock.now_ms(), tokens
        )
        instance.forwarder.handle(exchange)
        assert exchange.status == 200
        return self.relay.placed[-1]

    def queries_of(self, instance):
        return [ids for name, ids in self.queries if name == instance.name]

    def unaccounted(self, instance):
        view, now_ms = instance.peers.view, self.clock.now_ms()
        loads = {f"e{i}": view.unaccounted(f"e{i}") for i in range(8)}
        return {i: v.requests_left(now_ms) for i, v in loads.items() if v}


@pytest.fixture
def fleet(plain_codec, config):
    made = Fleet(plain_codec, config)
    yield made
    eventlet.sleep(0.01)  # ends the threads that send load updates


def names(fleet):
    return [type(d).__name__ for d in fleet.decisions]


def test_no_message_and_no_query_while_all_are_heard(fleet):
    """Guards against any cost of the queries in a fleet without faults."""
    before = fleet.network.datagrams
    fleet.advance(10.0)
    assert fleet.network.datagrams - before == 10 * 6 * 5  # heartbeats
    for instance in fleet.instances:
        fleet.call(instance)
        assert not fleet.unaccounted(instance)
        assert not instance.reported_load._placed_ms
    assert not fleet.queries
    assert not {"Isolated", "Rejoined", "InstancesMissing"} & set(names(fleet))


def test_isolated_instance_queries_before_long_prompts_only(fleet):
    entry = fleet.instances[0]
    fleet.cut([entry])
    fleet.advance(3.0)
    assert entry.reported_load.contact.is_isolated
    fleet.call(entry, tokens=5000)
    assert not fleet.queries_of(entry)
    fleet.requests = dict.fromkeys(("e0", "e1", "e2", "e3"), 4)
    assert not set(fleet.call(entry)) & set(fleet.requests)
    fleet.call(entry)  # the reports are recent
    assert fleet.queries_of(entry) == [[f"e{i}" for i in range(8)]]
    metrics = entry.reported_load.metrics
    assert metrics.counters["load_queries"] == 8


def test_engine_that_does_not_report_is_not_taken_to_be_free(fleet):
    """Guards against prompts that gather where queries fail."""
    entry = fleet.instances[0]
    fleet.cut([entry])
    fleet.advance(3.0)
    fleet.requests = dict.fromkeys(("e0", "e1", "e2", "e3"), 4)
    fleet.silent = {"e6", "e7"}
    assert not set(fleet.call(entry)) & {"e6", "e7"}
    assert fleet.unaccounted(entry)["e6"] == 3
    metrics = entry.reported_load.metrics
    assert metrics.counters["load_queries_unanswered"] == 2


def test_own_prompts_are_not_counted_twice(fleet):
    """Reports contain the older prompt, but not yet the newer one."""
    entry = fleet.instances[0]
    fleet.cut([entry])
    fleet.advance(3.0)
    for attempt in ("old", "new"):
        fleet.clock.sleep_ms(200.0)
        entry.peers.add(
            (
                placement.Assignment(
                    attempt, "e0", True, True, 9, 0, 0, 9, 200, 9, 9, 1.0
                ),
            )
        )
        entry.reported_load.record_placed(attempt)
    fleet.clock.sleep_ms(100.0)
    fleet.requests = {"e0": 3}
    fleet.call(entry)
    assert fleet.unaccounted(entry)["e0"] == 2


def test_reports_are_forgotten_when_the_others_are_heard_again(fleet):
    """Guards against load that is counted twice after the cut."""
    entry = fleet.instances[0]
    fleet.cut([entry])
    fleet.advance(3.0)
    fleet.requests = {"e0": 4}
    fleet.call(entry)
    assert fleet.unaccounted(entry)["e0"] == 4
    fleet.network.hidden.clear()
    fleet.advance(1.4)
    assert not fleet.unaccounted(entry)
    assert names(fleet).count("Isolated") == 1
    assert names(fleet).count("Rejoined") == 1


def test_one_of_the_others_surveys_for_all_while_many_are_missing(fleet):
    missing, others = fleet.instances[:2], fleet.instances[2:]
    fleet.cut(missing)
    fleet.requests = {"e5": 3}
    fleet.advance(20.0)
    assert len({name for name, _ in fleet.queries}) == 1
    assert 16 <= len(fleet.queries) <= 18  # one a second
    for instance in others:
        assert not instance.reported_load.contact.is_isolated
        assert fleet.unaccounted(instance)["e5"] == 3
        assert "e5" not in fleet.call(instance)
    fleet.network.hidden.clear()
    fleet.advance(2.0)
    asked = len(fleet.queries)
    fleet.advance(5.0)
    assert len(fleet.queries) == asked
    assert not any(fleet.unaccounted(i) for i in fleet.instances)


def test_report_replaces_the_former_one(fleet):
    """Guards against load that seems to grow or to stay with each report."""
    fleet.cut(fleet.instances[:2])
    for count in (6, 2, 0):
        fleet.requests = {"e5": count}
        fleet.advance(7.0 if count == 6 else 2.0)
        assert fleet.unaccounted(fleet.instances[3])["e5"] == count


def test_instances_that_drain_before_they_end_cause_no_queries(fleet):
    """Guards against queries after each release of a fleet."""
    for instance in fleet.instances[:3]:
        instance.peers.drain()
        fleet.network.receivers.pop(instance.peers.ip)
    fleet.instances = fleet.instances[3:]
    fleet.advance(10.0)
    assert not fleet.queries
    assert not fleet.instances[0].reported_load.contact.is_isolated
