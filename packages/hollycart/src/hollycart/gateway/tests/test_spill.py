"""Prompts and calls that leave the zone, in fleets connected in memory."""

import collections
import types

import msgspec
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _spill
from hollycart.gateway.tests import test_cells
from hollycart_core import placement

SERVICE = test_cells.SERVICE
IN_FORCE = (
    gateway.PolicySettings(tolerated_zones=1),
    gateway.PolicySettings(cross_zone_cost_per_gb=5.0),
)


class Log:
    """Keeps what is written to the decision log."""

    def __init__(self):
        self.lines = []

    def write(self, decision):
        self.lines.append(decision)


def make_fleet(policy, zones="ab"):
    """Returns a fleet whose instances decide by the policy."""
    fleet = test_cells.Fleet(zones, 4)
    for instance in fleet.instances:
        instance.metrics = observe.Metrics()
        instance.spill = _spill.ZoneSpillControl(
            instance.peers,
            lambda: policy,
            instance.metrics,
            fleet.clock,
            instance.delegator.rng,
        )
        instance.delegator.spill = instance.chooser.spill = instance.spill
        instance.delegator.log = Log()
        instance.peers.rooms = instance.spill.rooms = instance.chooser.rooms
    exchange_summaries(fleet)
    return fleet


def exchange_summaries(fleet):
    """Lets all instances hear of all cells."""
    for _ in range(6):
        fleet.clock.sleep_ms(50.0)
        fleet.send_heartbeats()


def offer_many(fleet, zone, count=40):
    """Returns the placements elsewhere of prompts of a zone's instances."""
    entries = fleet.of_zone(zone)
    placed = []
    for number in range(count):
        entry = entries[number % len(entries)]
        chosen = test_cells._offer(fleet, entry, f"x.{number}")
        if chosen is not None:
            placed.append(chosen)
            entry.delegator.add(chosen.assignments)
    return placed


def offered(fleet):
    return [line for i in fleet.instances for line in i.delegator.log.lines]


@pytest.mark.parametrize("policy", IN_FORCE)
def test_excess_of_a_full_zone_leaves_in_part(policy):
    fleet = make_fleet(policy)
    fleet.fill("a")
    placed = offer_many(fleet, "a")
    assert {p.endpoint.zone for p in placed} == {"b"}
    # Zone b has 50 free slots; a view of it is used for half of them.
    assert 5 <= len(placed) <= 25
    line = offered(fleet)[0]
    assert line.outcome == "placed"
    assert line.terms.gain > line.terms.error
    assert line.terms.crossing_bytes > 1500


def test_calm_zone_keeps_its_prompts_without_a_message():
    fleet = make_fleet(IN_FORCE[0])
    fleet.network.datagrams.clear()
    assert not offer_many(fleet, "a", 8)
    assert not fleet.network.datagrams


def test_high_price_keeps_prompts_at_home():
    price = gateway.PolicySettings(cross_zone_cost_per_gb=1e6)
    fleet = make_fleet(price)
    fleet.fill("a")
    assert not offer_many(fleet, "a")


def test_full_zones_do_not_exchange_prompts():
    fleet = make_fleet(IN_FORCE[0])
    for zone in "ab":
        fleet.fill(zone)
    exchange_summaries(fleet)
    assert not offer_many(fleet, "a", 8)
    assert not offered(fleet)


def test_partition_between_zones_costs_one_timeout_an_instance():
    fleet = make_fleet(IN_FORCE[0])
    fleet.fill("a")
    fleet.network.lost_ips = {i.peers.ip for i in fleet.of_zone("b")}
    assert not offer_many(fleet, "a", 40)
    outcomes = collections.Counter(line.outcome for line in offered(fleet))
    assert outcomes == {"no_reply": 4}


def test_dark_zone_gets_nothing_once_its_summary_has_expired():
    fleet = make_fleet(IN_FORCE[0])
    fleet.fill("a")
    fleet.clock.sleep_ms(3100.0)
    assert not offer_many(fleet, "a", 8)
    assert not offered(fleet)


def test_zone_without_open_endpoints_gets_nothing():
    """An evacuated zone accepts no requests, but its instances run."""
    fleet = make_fleet(IN_FORCE[0])
    fleet.fill("a")
    for instance in fleet.of_zone("b"):
        for endpoint in fleet.endpoints:
            if endpoint.zone == "b":
                instance.restrictions.record_leaving(
                    endpoint.id, endpoint.born_ms
                )
    exchange_summaries(fleet)
    room = fleet.of_zone("b")[0].chooser.rooms(fleet.clock.now_ms())[SERVICE]
    assert (room.free_slots, room.slots) == (0, 0)
    assert not offer_many(fleet, "a", 8)
    assert not offered(fleet)


def test_endpoints_with_a_limited_rate_are_no_room():
    """A cold zone accepts requests at a bounded rate only."""
    fleet = make_fleet(IN_FORCE[0])
    instance = fleet.of_zone("b")[0]
    for endpoint in fleet.endpoints:
        instance.permits.limits.record(
            placement.RateStatement(
                endpoint.id, endpoint.born_ms, 5.0, 1.0, 2.0
            )
        )
    room = instance.chooser.rooms(fleet.clock.now_ms())[SERVICE]
    assert room.free_slots == 0


def test_offers_do_not_depend_on_the_store():
    """Summaries are datagrams: without fresh state they go on."""
    fleet = make_fleet(IN_FORCE[0])
    fleet.fill("a")
    for _ in range(30):
        fleet.clock.sleep_ms(1000.0)
        fleet.send_heartbeats()
    freshness = fleet.of_zone("a")[0].state.freshness
    assert not freshness.is_fresh(fleet.clock.now_ms())
    assert offer_many(fleet, "a", 8)


def test_nothing_changes_where_it_is_not_asked_for():
    """The same offers, datagrams and log lines as by fixed thresholds."""

    def play(fleet):
        fleet.fill("a")
        fleet.network.datagrams.clear()
        exchange_summaries(fleet)
        return offer_many(fleet, "a", 12), dict(fleet.network.datagrams)

    plain = test_cells.Fleet("ab", 4)
    for instance in plain.instances:
        instance.delegator.log = Log()
    exchange_summaries(plain)
    wired = make_fleet(gateway.PolicySettings())
    assert play(plain) == play(wired)
    assert wired.instances[0].peers.make_report().rooms == {}
    assert not wired.instances[0].metrics.counters
    lines = [msgspec.json.encode(line) for line in offered(wired)]
    assert lines
    assert not any(b"terms" in line for line in lines)


def test_single_cell_is_not_concerned():
    fleet = make_fleet(IN_FORCE[0], "a")
    instance = fleet.instances[0]
    assert not instance.spill.in_force
    assert instance.peers.make_report().rooms == {}
    prompt = fleet.prompt("x", "a")
    assert instance.spill.with_crossing_losses(SERVICE, prompt, 9) == prompt
    endpoints = fleet.endpoints[:3]
    chosen = {
        instance.spill.choose_plain(endpoints, {}, 0.0).id for _ in range(6)
    }
    assert chosen == {"a0"}


def test_calls_to_plain_services_take_turns_in_the_zone():
    fleet = make_fleet(IN_FORCE[0])
    spill = fleet.of_zone("a")[0].spill
    chosen = collections.Counter(
        spill.choose_plain(fleet.endpoints, {}, 0.0).id for _ in range(30)
    )
    assert chosen == {f"a{number}": 3 for number in range(10)}
    response = types.SimpleNamespace(running=9)
    spill.record_load(fleet.endpoints[0], response, 1)
    now_ms = fleet.clock.now_ms()
    assert all(
        spill.choose_plain(fleet.endpoints, {}, now_ms).id != "a0"
        for _ in range(20)
    )


def test_what_crosses_is_counted_and_its_size_is_learned():
    fleet = make_fleet(IN_FORCE[1])
    entry = fleet.of_zone("a")[0]
    request = types.SimpleNamespace(
        service=fleet.service,
        meta=types.SimpleNamespace(output_tokens=1000),
        exchange=types.SimpleNamespace(body=b"x" * 500),
    )
    for endpoint in (fleet.endpoints[0], fleet.endpoints[-1]):
        chosen = placement.Placement(endpoint, (), ((),), 0.0, 0.0)
        for _ in range(200):
            entry.spill.record_response(request, chosen, 50000, True)
    counters = entry.metrics.counters
    assert counters["crossed_prompts.b"] == 200
    assert counters["crossed_bytes.b"] >= 200 * 50500
    assert not any(name.endswith(".a") for name in counters)
    size = entry.spill.crossing_bytes(SERVICE, 1000, 500)
    assert size == pytest.approx(52500, rel=0.05)


def test_price_moves_the_primary_within_a_cell_of_several_zones():
    """A merged cell knows all its engines, but its zones cost the same."""
    fleet = make_fleet(gateway.PolicySettings(cross_zone_cost_per_gb=100.0))
    prompt = fleet.prompt("x", "a")
    priced = fleet.of_zone("a")[0].spill.with_crossing_losses(
        SERVICE, prompt, 20_000_000
    )
    assert priced.crossing_loss > 2.0
    assert 0.0 < priced.helper_crossing_loss < 0.1


@pytest.fixture
def two_zones(system, endpoints, answers):
    """A forwarder in zone z, with an endpoint there and one in zone y."""
    for endpoint in endpoints:
        endpoint.handler = answers.complete
    system.forwarder.policy = IN_FORCE[0]
    system.peers.set_cells((frozenset("z"), frozenset("y")))
    near, far = system.listed_endpoints
    system.apply_state(listed_endpoints=[near, far._replace(zone="y")])
    return system


def test_calls_leave_the_zone_only_without_an_endpoint_there(
    two_zones, endpoints
):
    for _ in range(6):
        assert two_zones.call("/again/").status == 200
    counters = two_zones.forwarder.metrics.counters
    assert [len(e.requests) for e in endpoints] == [6, 0]
    assert "crossed_calls.y" not in counters
    two_zones.forwarder.restrictions.record_leaving("e0", 0)
    for _ in range(3):
        assert two_zones.call("/again/").status == 200
    assert [len(e.requests) for e in endpoints] == [6, 3]
    assert counters["crossed_calls.y"] == 3
    assert counters["crossed_bytes.y"] > 3 * len(b"body 0done")


def test_failing_endpoint_of_the_zone_is_left(two_zones, endpoints, answers):
    endpoints[0].handler = answers.fail
    for _ in range(4):
        assert two_zones.call("/again/").status == 200
    assert len(endpoints[1].requests) == 4


def test_nothing_is_counted_without_a_policy(two_zones, endpoints):
    two_zones.forwarder.policy = gateway.PolicySettings()
    two_zones.forwarder.restrictions.record_leaving("e0", 0)
    assert two_zones.call("/again/").status == 200
    assert not any(
        name.startswith(("crossed", "spill"))
        for name in two_zones.forwarder.metrics.counters
    )


def test_prompt_is_not_offered_to_an_evacuated_zone_without_a_summary():
    """Guards against time-outs before a prompt that its own zone refuses."""
    fleet = make_fleet(IN_FORCE[0])
    entry = fleet.of_zone("a")[0]
    fleet.clock.sleep_ms(3100.0)
    test_cells._evacuate(fleet, [entry], "b")
    prompt = fleet.prompt("x.1", "a")
    fleet.network.datagrams.clear()
    assert entry.delegator.offer("r", SERVICE, prompt, set(), None) is None
    assert not fleet.network.datagrams
