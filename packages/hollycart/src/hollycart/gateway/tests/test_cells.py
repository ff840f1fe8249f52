"""Instances of several cells, connected in memory."""

import collections
import random
import types

import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _attempt_placer
from hollycart.gateway import _chooser
from hollycart.gateway import _delegate
from hollycart.gateway import _delegator
from hollycart.gateway import _history
from hollycart.gateway import _messages
from hollycart.gateway import _notices
from hollycart.gateway import _peers
from hollycart.gateway import _permits
from hollycart.gateway import _state
from hollycart.gateway.tests import virtual
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing

SERVICE = "llm"
ENGINES_PER_ZONE = 10
PARAMETERS = routing.EngineParameters(
    5, 450000, 73, 0.925, 0.00966, 0.00254, 256.0, 0.0917, 2048
)


class Network:
    """Delivers datagrams at once and counts them by the sender's IP."""

    def __init__(self):
        self.exchanges = {}
        self.datagrams = collections.Counter()
        self.crossing = 0
        self.lost_ips = set()

    def sendto(self, sender, data, ip):
        self.datagrams[sender.ip] += 1
        receiver = self.exchanges.get(ip)
        if receiver is None or ip in self.lost_ips:
            return
        if receiver.zone != sender.zone:
            self.crossing += 1
        receiver._handle(_messages.decode(data), sender.ip)


class Instance:
    """An instance without its servers."""

    def __init__(self, network, clock, zone, number):
        self.name = f"{zone}-{number}"
        ip = f"10.{ord(zone)}.{number // 250}.{number % 250}"
        view, health = placement.LoadView(), placement.EndpointHealth()
        log = observe.DecisionLog(self.name, clock)
        rng = random.Random(self.name)
        self.state = _state.PlatformState(4000.0, 2000.0)
        self.peers = _peers.PeerExchange(
            self.name,
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
        self.peers._sock = virtual.Socket(network, self.peers)
        network.exchanges[ip] = self.peers
        self.restrictions = placement.EndpointRestrictions()
        metrics = observe.Metrics()
        notices = _notices.EndpointNotices(
            None,
            self.restrictions,
            placement.EndpointRateLimits(),
            self.state,
            self.peers.broadcast_leaving,
            self.peers.broadcast_limit,
            self.peers.broadcast_replaced,
            log,
            metrics,
            clock,
        )
        self.permits = _permits.PermitExchange(
            self.peers, notices, log, metrics, clock, rng
        )
        self.permits.subscribe()
        self.delegator = _delegator.Delegator(
            self.peers,
            self.state,
            self.restrictions,
            self.permits,
            log,
            clock,
            rng,
        )
        self.chooser = _chooser.EndpointChooser(
            self.state,
            placement.Placer(view, health),
            health,
            self.restrictions,
            self.permits,
            self.peers.book,
            self.delegator,
            zone,
        )
        self.peers.count_open_endpoints = self.chooser.count_open_endpoints
        self.delegate = _delegate.Delegate(
            self.peers, self.chooser, self.permits, self.state, clock
        )
        self.delegator.start()
        self.peers.subscribe(
            _messages.PlacementRequest, self.delegate._handle_request
        )
        self.peers.subscribe(
            _messages.DelegatedProgress, self.delegate._handle_progress
        )


class Fleet:
    """Instances that know each other, and the engines of their zones."""

    def __init__(self, zones, instances_per_zone):
        self.network = Network()
        self.clock = base.ManualClock(1000.0)
        self.endpoints = [
            placement.Endpoint(f"{z}{i}", f"{z}:{i}", SERVICE, z, 5)
            for z in zones
            for i in range(ENGINES_PER_ZONE)
        ]
        self.instances = [
            Instance(self.network, self.clock, zone, number)
            for zone in zones
            for number in range(instances_per_zone)
        ]
        addresses = {
            i.name: gateway.InstanceAddress(i.peers.ip, i.peers.zone)
            for i in self.instances
        }
        self.service = routing.Service(SERVICE, 100, PARAMETERS)
        cfg = routing.RoutingConfig(1, [], [self.service])
        snapshot = gateway.Snapshot(
            1, 1, cfg, tuple(self.endpoints), addresses, 1
        )
        raw = _history.RawState(kv.RangeResult(1, ()), 1)
        # Each zone is a cell; so few instances would be one cell otherwise.
        cells = tuple(frozenset(zone) for zone in zones)
        for instance in self.instances:
            instance.state.apply(raw, snapshot, self.clock.now_ms())
            instance.peers.add_addresses(addresses.values())
            instance.peers.set_cells(cells)
        self.send_heartbeats()

    def send_heartbeats(self):
        for instance in self.instances:
            instance.peers.send_heartbeat()

    def of_zone(self, zone):
        return [i for i in self.instances if i.peers.zone == zone]

    def prompt(self, attempt_id, zone):
        return placement.Prompt(
            attempt_id, 5000, 1500, 300.0, 9000.0, 250.0, zone
        )

    def fill(self, zone):
        """Occupies all slots of a zone's engines."""
        entry = self.of_zone(zone)[0]
        for endpoint in self.endpoints:
            if endpoint.zone == zone:
                for slot in range(endpoint.slots):
                    entry.peers.add((self.assignment(endpoint, slot),))
        entry.peers._flush()

    def assignment(self, endpoint, slot):
        now_ms = self.clock.now_ms()
        return placement.Assignment(
            f"{endpoint.id}.{slot}",
            endpoint.id,
            True,
            True,
            20.0,
            now_ms,
            now_ms,
            now_ms + 300.0,
            250.0,
            5000,
            6500,
            1.0,
        )


@pytest.fixture
def two_cells():
    fleet = Fleet("ab", 4)
    fleet.fill("a")
    return fleet


def _offer(fleet, entry, attempt_id="x.1"):
    prompt = fleet.prompt(attempt_id, entry.peers.zone)
    own = entry.chooser.place_in_cell(
        fleet.service, prompt, set(), fleet.clock.now_ms()
    )
    return entry.delegator.offer("r", SERVICE, prompt, set(), own)


@pytest.mark.parametrize("zones", ["a", "ab", "abcde"])
def test_datagrams_of_a_request_grow_with_the_cell_only(zones):
    fleet = Fleet(zones, 8)
    entry = fleet.instances[0]
    fleet.network.datagrams.clear()
    fleet.network.crossing = 0
    entry.peers.add((fleet.assignment(fleet.endpoints[0], 9),))
    entry.peers._flush()
    assert fleet.network.datagrams[entry.peers.ip] == 7
    assert fleet.network.crossing == 0


@pytest.mark.parametrize("zones", ["ab", "abcde"])
def test_heartbeats_between_zones_are_one_an_instance(zones):
    fleet = Fleet(zones, 8)
    fleet.network.datagrams.clear()
    fleet.network.crossing = 0
    fleet.send_heartbeats()
    assert set(fleet.network.datagrams.values()) == {7 + 1}
    assert fleet.network.crossing == len(fleet.instances)


def test_prompt_of_a_full_cell_runs_in_a_cell_with_room(two_cells):
    entry = two_cells.of_zone("a")[1]
    chosen = _offer(two_cells, entry)
    assert chosen is not None
    assert chosen.endpoint.zone == "b"
    assert chosen.first_event_ms < 300.0


def test_prompt_stays_in_a_cell_with_room(two_cells):
    entry = two_cells.of_zone("b")[1]
    two_cells.network.datagrams.clear()
    assert _offer(two_cells, entry) is None
    assert not two_cells.network.datagrams


def test_moved_prompt_counts_in_its_cell_until_it_ends(two_cells):
    entry = two_cells.of_zone("a")[1]
    chosen = _offer(two_cells, entry)
    entry.delegator.add(chosen.assignments)

    def views():
        for instance in two_cells.of_zone("b"):
            if instance.peers._flush_scheduled:
                instance.peers._flush()
        return [
            [a.decoding for a in i.peers.view.on_endpoint(chosen.endpoint.id)]
            for i in two_cells.of_zone("b")
        ]

    assert views() == [[False]] * 4
    entry.delegator.start_decoding("x.1")
    assert views() == [[True]] * 4
    entry.delegator.remove("x.1")
    assert views() == [[]] * 4
    assert not entry.peers._ended


def test_moved_prompt_of_a_failed_instance_is_dropped(two_cells):
    chosen = _offer(two_cells, two_cells.of_zone("a")[1])
    delegate = next(
        i
        for i in two_cells.of_zone("b")
        if list(i.peers.view.on_endpoint(chosen.endpoint.id))
    )
    delegate.delegate.remove_overdue()
    assert list(delegate.peers.view.on_endpoint(chosen.endpoint.id))
    two_cells.clock.sleep_ms(20000.0)
    delegate.delegate.remove_overdue()
    assert not list(delegate.peers.view.on_endpoint(chosen.endpoint.id))


def test_late_reply_releases_what_was_placed(two_cells):
    entry = two_cells.of_zone("a")[1]
    delegate = two_cells.of_zone("b")[0]
    request = _messages.PlacementRequest(
        entry.name, "x.2", SERVICE, 5000, 1500, 300.0, 9000.0, 250.0, [], 9.0
    )
    delegate.peers._handle(request, entry.peers.ip)
    assert "x.2" not in delegate.delegate._overdue_ms
    assert not delegate.peers.view.of_attempt("x.2")


def test_late_reply_of_one_cell_is_not_taken_for_that_of_another():
    """Else its placement stays, since the end is reported to the other."""
    fleet = Fleet("abc", 2)
    fleet.fill("a")
    entry = fleet.of_zone("a")[1]
    late = []

    def sendto(sender, data, ip):
        is_reply = isinstance(_messages.decode(data), _messages.PlacementReply)
        if is_reply and not late:
            late.append((sender, data, ip))
            return
        if is_reply:
            send(*late[0])
        send(sender, data, ip)

    send, fleet.network.sendto = fleet.network.sendto, sendto
    chosen = _offer(fleet, entry)
    assert late and chosen is not None
    entry.delegator.remove("x.1")
    for instance in fleet.instances:
        instance.peers._flush()
    for instance in fleet.instances:
        assert not instance.peers.view.of_attempt("x.1")


def test_silent_instance_costs_no_placement(two_cells):
    two_cells.network.lost_ips = {i.peers.ip for i in two_cells.of_zone("b")}
    entry = two_cells.of_zone("a")[1]
    assert _offer(two_cells, entry) is None
    assert not entry.delegator._delegated


def test_load_update_of_another_cell_is_counted_and_ignored(two_cells):
    receiver, sender = two_cells.of_zone("b")[0], two_cells.of_zone("a")[0]
    assignment = two_cells.assignment(two_cells.endpoints[0], 7)
    update = _messages.LoadUpdate(
        sender.name, 1, [_messages.pack((assignment,), 0.0)], [], []
    )
    receiver.peers._handle(update, sender.peers.ip)
    assert receiver.peers.foreign_updates == 1
    assert not receiver.peers.view.of_attempt(assignment.attempt_id)
    assert sender.name not in receiver.peers.live()


def test_new_instance_learns_the_load_of_its_cell_at_once(two_cells):
    clock, network = two_cells.clock, two_cells.network
    started = Instance(network, clock, "a", 9)
    started.peers.add_addresses(
        gateway.InstanceAddress(i.peers.ip, i.peers.zone)
        for i in two_cells.instances
    )
    started.peers.set_cells((frozenset("a"), frozenset("b")))
    started.peers.send_heartbeat()
    assert len(list(started.peers.view.on_endpoint("a0"))) == 5
    assert len(started.peers.live()) == 4


class _Chooser:
    """Places one prompt in the cell, whatever the request."""

    def __init__(self, fleet, entry, prompt):
        self.fleet = fleet
        self.entry = entry
        self.prompt = prompt

    def choose(self, request, progress, attempt_id, now_ms):
        return self.entry.chooser.place_in_cell(
            self.fleet.service, self.prompt, set(), now_ms
        )


class _InterruptedClock(base.ManualClock):
    """Lets another instance act while one sleeps."""

    def __init__(self, start_ms, action):
        super().__init__(start_ms)
        self.action = action

    def sleep_ms(self, duration_ms):
        super().sleep_ms(duration_ms)
        self.action()


_REQUEST = types.SimpleNamespace(meta=types.SimpleNamespace(request_id="r"))
_ALL_HEARD = types.SimpleNamespace(
    contact=placement.CellContact(), record_placed=lambda attempt_id: None
)


def test_long_prompt_avoids_short_ones_that_were_placed_at_the_same_time():
    """A prompt of 500,000 tokens and five short ones meet within 10 ms."""
    fleet = Fleet("a", 2)
    first, second = fleet.instances
    now_ms = fleet.clock.now_ms()
    prompt = placement.Prompt(
        "long.1", 400000, 900, 4000.0, 12000.0, 1000.0, "a"
    )
    chosen = first.chooser.place_in_cell(fleet.service, prompt, set(), now_ms)
    shared = chosen.endpoint

    def place_short():
        second.peers.add((fleet.assignment(shared, 1),))
        second.peers._flush()

    placer = _attempt_placer.AttemptPlacer(
        _Chooser(fleet, first, prompt),
        first.delegator,
        first.permits,
        _ALL_HEARD,
        first.peers,
        observe.DecisionLog("a-0", fleet.clock),
        _InterruptedClock(now_ms, place_short),
    )
    placed = placer.place(_REQUEST, None, "long.1")
    first.peers._flush()
    used = {a.endpoint for a in placed.assignments}
    assert shared.id in {a.endpoint for a in chosen.assignments}
    assert shared.id not in used
    seen = second.peers.view.of_attempt("long.1")
    assert {a.endpoint for a in seen} == used


def test_offered_long_prompt_avoids_one_that_was_placed_at_the_same_time():
    """Guards against parts of two prompts beside the same short answer.

    The prompt of another cell has the higher id, so that it gives way.
    """
    fleet = Fleet("ab", 2)
    entry, asked = fleet.of_zone("a")[0], fleet.of_zone("b")[0]
    for endpoint in fleet.endpoints:
        asked.peers.add((fleet.assignment(endpoint, 0),))
    request = _messages.PlacementRequest(
        entry.name, "z.1", SERVICE, 150000, 900, 3000.0, 9000.0, 1000.0, [], 9.0
    )
    chosen = asked.delegate._place(request, fleet.clock.now_ms())
    meeting = chosen.assignments[0]

    def place_other():
        other = meeting._replace(attempt_id="a.1")
        asked.peers.view.add("b-1", [other])

    # An instance that does not await the reply would end the attempt.
    asked.peers.send = lambda message, ip: None
    asked.delegate.clock = _InterruptedClock(fleet.clock.now_ms(), place_other)
    asked.delegate._confirm_and_reply(request, chosen, entry.peers.ip)
    before = {a.endpoint for a in chosen.assignments}
    used = {a.endpoint for a in asked.peers.view.of_attempt("z.1")}
    assert meeting.endpoint in before
    assert used
    assert meeting.endpoint not in used


def test_offered_prompt_that_is_placed_again_stays_known_to_the_cell():
    """The end of the first placement must not remove the second one."""
    fleet = Fleet("ab", 2)
    entry, (asked, other) = fleet.of_zone("a")[0], fleet.of_zone("b")
    for endpoint in fleet.endpoints:
        asked.peers.add((fleet.assignment(endpoint, 0),))
    request = _messages.PlacementRequest(
        entry.name, "z.1", SERVICE, 150000, 900, 3000.0, 9000.0, 1000.0, [], 9.0
    )
    chosen = asked.delegate._place(request, fleet.clock.now_ms())

    def place_other():
        asked.peers._flush()
        meeting = chosen.assignments[0]._replace(attempt_id="a.1")
        asked.peers.view.add("b-1", [meeting])

    # An instance that does not await the reply would end the attempt.
    asked.peers.send = lambda message, ip: None
    asked.delegate.clock = _InterruptedClock(fleet.clock.now_ms(), place_other)
    asked.delegate._confirm_and_reply(request, chosen, entry.peers.ip)
    placed = asked.peers.view.of_attempt("z.1")
    assert placed
    asked.peers._flush()
    assert {a.endpoint for a in other.peers.view.of_attempt("z.1")} == {
        a.endpoint for a in placed
    }


def test_attempt_that_ends_as_soon_as_it_was_placed_again_is_forgotten():
    """Guards against load that the others keep until the next heartbeat."""
    fleet = Fleet("a", 2)
    first, second = fleet.instances
    placed = (fleet.assignment(fleet.endpoints[0], 0),)
    first.peers.add(placed)
    first.peers._flush()
    first.peers.add(placed)
    first.peers.remove(placed[0].attempt_id)
    first.peers._flush()
    assert second.peers.view.is_empty()


@pytest.mark.parametrize("conflict", [False, True])
def test_offered_prompt_is_not_permitted_without_a_permit(conflict):
    """Its endpoint names a limit while the placement is being confirmed.

    The instance that offered it would send it without a permit of its own.
    """
    fleet = Fleet("ab", 2)
    entry, asked = fleet.of_zone("a")[0], fleet.of_zone("b")[0]
    for endpoint in fleet.endpoints:
        asked.peers.add((fleet.assignment(endpoint, 0),))
    request = _messages.PlacementRequest(
        entry.name, "z.1", SERVICE, 150000, 900, 3000.0, 9000.0, 1000.0, [], 9.0
    )
    chosen = asked.delegate._place(request, fleet.clock.now_ms())

    def limit_all():
        now_ms = fleet.clock.now_ms()
        for endpoint in fleet.endpoints:
            asked.permits.limits.record(
                placement.RateStatement(endpoint.id, 0, 2.0, now_ms, now_ms)
            )
        if conflict:
            other = chosen.assignments[0]._replace(attempt_id="a.1")
            asked.peers.view.add("b-1", [other])

    replies = []
    asked.peers.send = lambda message, ip: replies.append(message)
    asked.delegate.clock = _InterruptedClock(fleet.clock.now_ms(), limit_all)
    asked.delegate._confirm_and_reply(request, chosen, entry.peers.ip)
    (reply,) = [r for r in replies if isinstance(r, _messages.PlacementReply)]
    assert reply.assignments is not None
    assert not reply.permitted


def test_prompts_that_meet_at_the_last_slot_are_served_at_two_endpoints():
    """Two short prompts arrive within 10 ms when one slot is left."""
    fleet = Fleet("a", 2)
    entry, other = fleet.instances
    for endpoint in fleet.endpoints:
        for slot in range(endpoint.slots - 1):
            entry.peers.add((fleet.assignment(endpoint, slot),))
    entry.peers._flush()
    now_ms = fleet.clock.now_ms()
    prompts = [fleet.prompt(f"x.{number}", "a") for number in (1, 2)]
    chosen = [
        i.chooser.place_in_cell(fleet.service, prompt, set(), now_ms)
        for i, prompt in zip((entry, other), prompts, strict=True)
    ]
    # The placer would break ties apart; here both choose the same endpoint.
    chosen[1] = chosen[1]._replace(
        endpoint=chosen[0].endpoint,
        helpers=(),
        assignments=(chosen[0].assignments[0]._replace(attempt_id="x.2"),),
    )
    known = [
        placement.attempts_at(c.assignments, i.peers.view)
        for i, c in zip((entry, other), chosen, strict=True)
    ]
    for instance, placed in zip((entry, other), chosen, strict=True):
        instance.peers.add(placed.assignments)
        assert placement.needs_confirmation(
            placed.assignments, 5, instance.peers.view
        )
    for instance in (entry, other):
        instance.peers._flush()
    found = [
        placement.find_conflicts(c.assignments, 5, k, i.peers.view)
        for i, c, k in zip((entry, other), chosen, known, strict=True)
    ]
    assert found == [[], ["x.1"]]


def test_announcement_of_a_prompt_that_cannot_be_placed_again_is_withdrawn():
    fleet = Fleet("a", 2)
    first, second = fleet.instances
    prompt = placement.Prompt(
        "long.2", 400000, 900, 4000.0, 12000.0, 1000.0, "a"
    )
    chooser = _Chooser(fleet, first, prompt)

    def fail():
        second.peers.add((fleet.assignment(fleet.endpoints[0], 1),))
        for endpoint in fleet.endpoints:
            second.peers.add((fleet.assignment(endpoint, 2),))
        second.peers._flush()
        chooser.choose = _raise_overloaded

    placer = _attempt_placer.AttemptPlacer(
        chooser,
        first.delegator,
        first.permits,
        _ALL_HEARD,
        first.peers,
        observe.DecisionLog("a-0", fleet.clock),
        _InterruptedClock(fleet.clock.now_ms(), fail),
    )
    with pytest.raises(base.OverloadedError):
        placer.place(_REQUEST, None, "long.2")
    first.peers._flush()
    assert not first.peers.view.of_attempt("long.2")
    assert not second.peers.view.of_attempt("long.2")


def _raise_overloaded(*args):
    raise base.OverloadedError("full", 250.0)


def test_fleet_size_counts_all_cells():
    fleet = Fleet("abc", 5)
    for _ in range(20):
        fleet.send_heartbeats()
    assert {i.peers.fleet_size() for i in fleet.instances} == {15}


def test_division_into_other_cells_forgets_peers_outside(two_cells):
    instance = two_cells.of_zone("a")[0]
    instance.peers.set_cells((frozenset("ab"),))
    two_cells.send_heartbeats()
    assert len(instance.peers.addresses()) == 7
    instance.peers.set_cells((frozenset("a"), frozenset("b")))
    assert set(instance.peers.live()) == {"a-1", "a-2", "a-3"}


def _evacuate(fleet, instances, zone):
    for instance in instances:
        known = instance.state.snapshot
        position = kv.Position(0, known.revision + 1)
        instance.state.apply(
            instance.state.raw,
            known._replace(
                revision=position.revision,
                digest=position.revision,
                evacuated={zone: position},
            ),
            fleet.clock.now_ms(),
        )


def test_prompt_is_not_offered_to_a_cell_that_is_evacuated(two_cells):
    entry = two_cells.of_zone("a")[1]
    _evacuate(two_cells, [entry], "b")
    two_cells.network.datagrams.clear()
    assert _offer(two_cells, entry) is None
    assert not two_cells.network.datagrams


def test_cell_that_is_evacuated_declines_offers(two_cells):
    """The instance that offers has not learned of the evacuation yet."""
    _evacuate(two_cells, two_cells.of_zone("b"), "b")
    assert _offer(two_cells, two_cells.of_zone("a")[1]) is None


def test_cell_that_is_evacuated_has_no_open_endpoints(two_cells):
    instance = two_cells.of_zone("b")[0]
    assert instance.peers.make_report().open_endpoints == {SERVICE: 10}
    _evacuate(two_cells, [instance], "b")
    assert instance.peers.make_report().open_endpoints == {SERVICE: 0}


def test_offer_accepted_in_a_zone_evacuated_meanwhile_is_withdrawn(two_cells):
    """The cell that accepts has not learned of the evacuation yet."""
    entry = two_cells.of_zone("a")[1]
    ask = entry.delegator._ask

    def ask_and_evacuate(*args):
        reply = ask(*args)
        _evacuate(two_cells, [entry], "b")
        return reply

    entry.delegator._ask = ask_and_evacuate
    assert _offer(two_cells, entry) is None
    assert not any(
        i.peers.view.of_attempt("x.1") for i in two_cells.of_zone("b")
    )


def test_prompt_of_an_evacuated_cell_is_offered_to_another():
    fleet = Fleet("ab", 4)
    entry = fleet.of_zone("a")[0]
    _evacuate(fleet, fleet.of_zone("a"), "a")
    chosen = _offer(fleet, entry)
    assert chosen is not None
    assert chosen.endpoint.zone == "b"
