"""Cold endpoints in front of fleets in virtual time."""

import random

import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _history
from hollycart.gateway import _messages
from hollycart.gateway import _permits
from hollycart.gateway.tests import test_limits
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement

# The users' rule: requests in any one second, of all instances together.
COLD_PER_S = 14.0
BOUND = 1.5 * COLD_PER_S + 5.0
COLD_MS = 3000.0


@pytest.fixture(autouse=True)
def short_reply_timeout(monkeypatch):
    """A datagram that is not delivered at once has been lost."""
    monkeypatch.setattr(_permits, "_REPLY_TIMEOUT_MS", 0.5)


@pytest.fixture
def cold_config(config):
    service = config.services["svc"]
    config.services["svc"] = service._replace(
        cold_start_ms=COLD_MS, cold_per_s=COLD_PER_S
    )
    return config


class ColdFleet(test_limits.Fleet):
    """A fleet whose endpoints start again, and may state that they are cold."""

    def __init__(self, *args, **kwargs):
        self.cold_until_ms = {}
        self.states_cold = False
        self.revision = 1
        super().__init__(*args, **kwargs)

    def make_instance(self, name, ip, zone):
        instance = super().make_instance(name, ip, zone)
        instance.forwarder.policy = gateway.PolicySettings(
            cold_overage=1.5, cold_slack=5.0
        )
        instance.forwarder.cold.follow_state()
        instance.forwarder.log = instance.forwarder.cold.log
        return instance

    def restart_endpoints(self, ids, seen_after_ms=(0.0,)):
        """Starts endpoints again; the instances see it one after the other."""
        self.revision += 1
        now_ms = self.clock.now_ms()
        self.endpoints = [
            e._replace(born_ms=self.revision, written=(1, self.revision))
            if e.id in ids
            else e
            for e in self.endpoints
        ]
        for endpoint_id in ids:
            self.cold_until_ms[endpoint_id] = now_ms + COLD_MS
        for number, instance in enumerate(self.instances):
            if number and seen_after_ms[number % len(seen_after_ms)]:
                self.advance(seen_after_ms[number % len(seen_after_ms)])
            self.list_endpoints(instance)

    def list_endpoints(self, instance):
        snapshot = gateway.Snapshot(
            self.revision,
            1,
            self.config,
            tuple(self.endpoints),
            self.addresses,
            self.revision,
        )
        raw = _history.RawState(kv.RangeResult(self.revision, ()), 1)
        instance.state.apply(raw, snapshot, self.clock.now_ms())
        instance.forwarder.cold.follow_state()

    def answer(self, instance, endpoint, request_id):
        head = super().answer(instance, endpoint, request_id)
        left_ms = self.cold_until_ms.get(endpoint.id, 0.0) - (
            self.clock.now_ms()
        )
        if not self.states_cold:
            return head
        fields = (*head.headers, (b"Cold", str(max(0.0, left_ms)).encode()))
        return connections.ResponseHead(head.status, fields)

    def cold_sends(self, endpoint_id, since_ms=float("-inf")):
        """Returns when and by whom requests were sent in the cold time."""
        until_ms = self.cold_until_ms[endpoint_id]
        return [
            (t, name)
            for t, e, name in self.sends
            if e == endpoint_id
            and max(since_ms, until_ms - COLD_MS) <= t <= until_ms
        ]

    def most_in_a_second(self, endpoint_id, since_ms=float("-inf")):
        times_ms = [t for t, _ in self.cold_sends(endpoint_id, since_ms)]
        return max(
            (sum(t <= x <= t + 1000.0 for x in times_ms) for t in times_ms),
            default=0,
        )

    def resume(self, instance):
        """Lets an instance run again that was paused."""
        self.stopped.discard(instance.name)
        self.network.receivers[instance.peers.ip] = instance.peers

    def others(self, instance):
        return [i for i in self.instances if i is not instance]

    def others_in_cell(self, instance):
        book = instance.peers.book
        others = self.others(instance)
        return [i for i in others if book.is_in_cell(i.peers.zone)]

    def cut_off(self, instance):
        others = [i.peers for i in self.others(instance)]
        self.network.hide(instance.peers, others)


def zones_of(instances):
    return "abcdef" if instances > 100 else "abc"


@pytest.mark.parametrize("instances", [8, 59, 300])
def test_all_instances_together_keep_the_rate_of_cold_endpoints(
    plain_codec, cold_config, instances
):
    fleet = ColdFleet(
        plain_codec, cold_config, instances, zones_of(instances), 2
    )
    fleet.run(7.0, 30.0)
    fleet.restart_endpoints(["e0", "e1"])
    exchanges = fleet.run(3.0, 150.0)
    for endpoint_id in ("e0", "e1"):
        assert fleet.most_in_a_second(endpoint_id) <= BOUND
        assert len(fleet.cold_sends(endpoint_id)) >= 0.8 * 0.6 * 3 * COLD_PER_S
    refused = [e for e in exchanges if e.status != 200]
    assert {e.status for e in refused} == {503}
    assert all(e.retry_after_ms for e in refused)
    # Refused callers do not return together.
    assert len({e.retry_after_ms for e in refused}) > len(refused) // 4


@pytest.mark.parametrize("instances", [8, 59])
def test_warm_endpoints_are_preferred_and_nobody_is_refused(
    plain_codec, cold_config, instances
):
    fleet = ColdFleet(plain_codec, cold_config, instances)
    fleet.restart_endpoints(["e0", "e1"])
    exchanges = fleet.run(3.0, 100.0)
    assert {e.status for e in exchanges} == {200}
    assert fleet.most_in_a_second("e0") <= BOUND
    cold = len(fleet.cold_sends("e0")) + len(fleet.cold_sends("e1"))
    assert cold < 0.25 * len(exchanges)


@pytest.mark.parametrize("instances", [8, 59])
def test_rate_is_kept_while_instances_learn_of_the_start_one_by_one(
    plain_codec, cold_config, instances
):
    """Those that do not list the new incarnation use the former one."""
    fleet = ColdFleet(plain_codec, cold_config, instances, endpoints=1)
    fleet.run(2.0, 60.0)
    fleet.restart_endpoints(["e0"], (5.0, 15.0, 0.0))
    listed_ms = fleet.clock.now_ms()
    fleet.run(3.0, 150.0)
    assert fleet.most_in_a_second("e0", listed_ms) <= BOUND


@pytest.mark.parametrize("instances", [8, 59])
def test_endpoint_that_becomes_cold_twice_is_announced_each_time(
    plain_codec, cold_config, instances
):
    fleet = ColdFleet(plain_codec, cold_config, instances, endpoints=1)
    fleet.states_cold = True
    fleet.run(1.0, 60.0)
    for _ in range(2):
        fleet.cold_until_ms["e0"] = fleet.clock.now_ms() + COLD_MS
        fleet.call("/free/")
        cold = [i.forwarder.cold for i in fleet.instances]
        now_ms = fleet.clock.now_ms()
        assert {c.is_cold(fleet.endpoints[0], now_ms) for c in cold} == {True}
        fleet.run(2.9, 150.0)
        assert fleet.most_in_a_second("e0") <= BOUND
        fleet.advance(200.0)
        assert fleet.call("/free/").status == 200
        fleet.run(1.0, 60.0)
        assert fleet.rate("e0", 1.0) >= 50.0


def test_entries_that_are_written_again_change_nothing(
    plain_codec, cold_config, monkeypatch
):
    """The store restarts, and all endpoints register again."""
    fleet = ColdFleet(plain_codec, cold_config, 30)
    asked = []
    monkeypatch.setattr(
        _permits.PermitExchange, "_ask", lambda *args, **_: asked.append(args)
    )
    fleet.run(1.0, 60.0)
    listed = fleet.endpoints
    fleet.revision += 1
    fleet.endpoints = []
    for instance in fleet.instances:
        fleet.list_endpoints(instance)
    fleet.revision += 1
    fleet.endpoints = [e._replace(written=(2, 5)) for e in listed]
    for instance in fleet.instances:
        fleet.list_endpoints(instance)
    assert {e.status for e in fleet.run(1.0, 60.0)} == {200}
    assert not asked


def test_service_without_cold_endpoints_causes_no_messages(plain_codec, config):
    fleet = ColdFleet(plain_codec, config, 30)
    fleet.states_cold = True
    fleet.run(1.0, 30.0)
    fleet.restart_endpoints(["e0", "e1"])
    sent = fleet.network.datagrams
    assert {e.status for e in fleet.run(0.4, 60.0)} == {200}
    assert fleet.network.datagrams == sent


def test_instance_that_is_cut_off_sends_nothing_to_a_cold_endpoint(
    plain_codec, cold_config
):
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=1)
    fleet.run(1.0, 30.0)
    # Of the cell whose instances grant the endpoint's permits.
    alone = fleet.others_in_cell(fleet.grantor("e0"))[2]
    fleet.cut_off(alone)
    fleet.advance(8000.0)
    fleet.restart_endpoints(["e0"])
    fleet.run(2.0, 20.0, instance=alone)
    fleet.run(0.9, 100.0)
    senders = {name for _, name in fleet.cold_sends("e0")}
    assert alone.name not in senders
    assert senders


def test_instance_that_is_cut_off_keeps_to_its_share(plain_codec, cold_config):
    fleet = ColdFleet(plain_codec, cold_config, 8, endpoints=1)
    fleet.run(1.0, 30.0)
    alone = fleet.instances[3]
    fleet.cut_off(alone)
    fleet.advance(45000.0)
    fleet.restart_endpoints(["e0"])
    fleet.run(2.9, 60.0, instance=alone)
    share = placement.cold_rate(COLD_PER_S, 1.5, 5.0, 8).share
    assert 1 <= fleet.most_in_a_second("e0") <= share


@pytest.mark.parametrize("instances", [8, 23])
def test_rate_is_kept_while_many_are_cut_off_from_each_other(
    plain_codec, cold_config, instances
):
    """Each would grant its own permits if it needed to hear nobody."""
    fleet = ColdFleet(plain_codec, cold_config, instances, endpoints=1)
    fleet.run(1.0, 30.0)
    for instance in fleet.instances[: instances * 2 // 5]:
        fleet.cut_off(instance)
    fleet.advance(9000.0)
    for _ in range(2):
        fleet.restart_endpoints(["e0"])
        fleet.run(3.0, 400.0)
        assert fleet.cold_sends("e0")
        assert fleet.most_in_a_second("e0") <= BOUND


def test_two_grantors_that_do_not_know_of_each_other_keep_the_rate(
    plain_codec, cold_config
):
    """The first one is hidden from half of the others for long."""
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=1)
    fleet.run(2.0, 30.0)
    grantor = fleet.grantor("e0")
    others = fleet.others_in_cell(grantor)
    fleet.network.hide(grantor.peers, [i.peers for i in others[::2]])
    fleet.advance(9000.0)
    grantors = {fleet.grantor("e0", seen_by=i).name for i in others}
    assert len(grantors) == 2
    for _ in range(3):
        fleet.restart_endpoints(["e0"])
        fleet.run(3.0, 150.0)
        assert fleet.most_in_a_second("e0") <= BOUND
        assert len(fleet.cold_sends("e0")) >= 8


def test_instance_that_may_not_be_the_only_grantor_grants_half(
    plain_codec, cold_config
):
    """The first one in order is registered, but not heard, for long."""
    fleet = ColdFleet(plain_codec, cold_config, 23, endpoints=1)
    fleet.run(2.0, 30.0)
    first = fleet.grantor("e0")
    second = fleet.others(first)[0]
    fleet.network.hide(first.peers, [second.peers])
    fleet.advance(9000.0)
    granted = {first.name: 0, second.name: 0}
    limit = _messages.EndpointLimit("e0", 0, None, 1e9, 1e9)
    query = _messages.PermitQuery("i", 1, "a", limit, cold_per_s=8.4)
    for _ in range(1000):
        fleet.advance(10.0)
        for instance in (first, second):
            reply = instance.forwarder.permits.grantor.decide(query)
            granted[instance.name] += reply.granted
    assert granted[first.name] >= 8.4 * 9.5
    assert granted[second.name] <= 4.2 * 10.0 + 1.0


def test_grantor_grants_half_until_all_agree_on_it(plain_codec, cold_config):
    """The former one has stopped, or a new one has just started."""
    fleet = ColdFleet(plain_codec, cold_config, 23, endpoints=1)
    fleet.run(7.0, 30.0)
    first = fleet.grantor("e0")
    first.peers.drain()
    second = fleet.grantor("e0")
    assert second is not first
    limit = _messages.EndpointLimit("e0", 0, None, 1e9, 1e9)
    query = _messages.PermitQuery("i", 1, "a", limit, cold_per_s=8.4)

    def granted_in_three_seconds():
        count = 0
        for _ in range(300):
            fleet.advance(10.0)
            grantor = second.forwarder.permits.grantor
            count += grantor.decide(query).granted
        return count

    assert granted_in_three_seconds() <= 4.2 * 3.0
    fleet.advance(1500.0)
    assert granted_in_three_seconds() >= 8.4 * 3.0 - 1.0


def test_permit_of_an_instance_that_was_paused_is_not_used(
    plain_codec, cold_config
):
    """The process is paused between the grant and the send."""
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=1)
    fleet.run(3.0, 30.0)
    fleet.restart_endpoints(["e0"])
    fleet.advance(1000.0)
    entry = fleet.others(fleet.grantor("e0"))[0]
    entry.forwarder.pool.acquire = lambda *args, **kwargs: fleet.advance(700.0)
    sent = len(fleet.sends)
    assert fleet.call("/free/", entry).status == 503
    assert len(fleet.sends) == sent


def test_instances_that_start_without_a_view_of_the_others_take_no_share(
    plain_codec, cold_config
):
    """A restored store lists no instance; each would take most of the bound."""
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=1)
    fleet.endpoints = [
        e._replace(cold_left_ms=COLD_MS, written=(1, 2))
        for e in fleet.endpoints
    ]
    fleet.addresses = {}
    fleet.cold_until_ms["e0"] = fleet.clock.now_ms() + COLD_MS
    for instance in list(fleet.instances):
        fleet.stop(instance)
    for instance in list(fleet.instances):
        fleet.start(instance)
    for instance in fleet.instances:
        for _ in range(3):
            fleet.call("/free/", instance)
    assert fleet.most_in_a_second("e0") <= BOUND


def test_memory_is_not_reserved_at_an_endpoint_that_has_become_cold(
    plain_codec, cold_config, monkeypatch
):
    """Reservations at many endpoints are requests without permits."""
    fleet = ColdFleet(plain_codec, cold_config, 30)
    forwarder = fleet.instances[0].forwarder
    called = []
    monkeypatch.setattr(
        forwarder.reserver,
        "_call",
        lambda endpoint, head, body: called.append(endpoint.id) or 200,
    )
    fleet.restart_endpoints(["e1"])
    reservation = placement.Reservation(fleet.endpoints[1], 1000)
    with pytest.raises(base.NotExecutedError):
        forwarder.reserver.reserve("a", (reservation,))
    assert not called


def test_request_tries_all_cold_endpoints_before_it_is_refused(
    plain_codec, cold_config
):
    """One permit is left, at the endpoint that is asked last."""
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=40)
    fleet.advance(5000.0)
    fleet.restart_endpoints([e.id for e in fleet.endpoints])
    instance = fleet.instances[0]
    asked = []

    def acquire(attempt_id, endpoint):
        asked.append(endpoint.id)
        now_ms = fleet.clock.now_ms()
        if len(asked) == len(fleet.endpoints):
            permits.record_granted(attempt_id, endpoint.id, now_ms)
            return True
        permits._available_ms[endpoint.id] = now_ms + 100.0
        return False

    permits = instance.forwarder.permits
    permits.acquire = acquire
    assert fleet.call("/free/", instance).status == 200


def test_restarted_instance_is_told_which_endpoints_are_cold(
    plain_codec, cold_config
):
    """Its own first state does not tell when they started."""
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=1)
    fleet.run(1.0, 30.0)
    fleet.restart_endpoints(["e0"])
    fleet.advance(500.0)
    number = 4
    fleet.stop(fleet.instances[number])
    fleet.start(fleet.instances[number])
    cold = fleet.instances[number].forwarder.cold
    assert cold.is_cold(fleet.endpoints[0], fleet.clock.now_ms())


def test_lower_one_of_limit_and_cold_rate_counts(plain_codec, cold_config):
    """The cold rate ends by time, the limit by an answer."""
    fleet = ColdFleet(plain_codec, cold_config, 59, endpoints=1)
    fleet.name_limit("e0", 2.0)
    fleet.run(6.0, 30.0)
    fleet.restart_endpoints(["e0"])
    fleet.run(3.0, 60.0)
    # The new incarnation has no limit until it names one again.
    assert fleet.most_in_a_second("e0") <= BOUND
    limits = [i.forwarder.limits for i in fleet.instances]
    named = {x.latest("e0").per_s for x in limits if x.latest("e0")}
    assert named <= {2.0}
    fleet.run(5.0, 60.0)
    assert fleet.rate("e0", 3.0) <= 1.5 * 2.0 + 1.0
    assert fleet.excess("e0") <= 0.0


def test_cold_rate_is_not_recorded_as_a_limit(plain_codec, cold_config):
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=1)
    fleet.restart_endpoints(["e0"])
    fleet.run(3.2, 60.0)
    assert not any(i.forwarder.limits.latest("e0") for i in fleet.instances)
    fleet.run(1.0, 60.0)
    assert fleet.rate("e0", 0.8) >= 40.0


def test_zone_that_is_open_again_has_cold_endpoints(plain_codec, cold_config):
    fleet = ColdFleet(plain_codec, cold_config, 30)
    fleet.run(1.0, 30.0)
    now_ms = fleet.clock.now_ms()
    for instance in fleet.instances:
        instance.forwarder.cold.record_zone_reopened("a", now_ms)
    fleet.cold_until_ms = {"e0": now_ms + COLD_MS}
    assert {e.status for e in fleet.run(3.0, 100.0)} == {200}
    assert fleet.most_in_a_second("e0") <= BOUND
    cold = fleet.instances[0].forwarder.cold
    assert cold.count(now_ms) == 2
    assert cold.count(now_ms + COLD_MS) == 0


def test_helper_that_has_become_cold_is_not_sent_a_part(
    plain_codec, cold_config
):
    fleet = ColdFleet(plain_codec, cold_config, 30)
    fleet.restart_endpoints(["e1"])
    permits = fleet.instances[0].forwarder.permits
    with pytest.raises(base.NotExecutedError, match="e1 has become cold"):
        permits.check_before_send("a", fleet.endpoints[0], fleet.endpoints[1:2])


def test_cold_endpoints_get_whole_prompts_only(plain_codec, cold_config):
    fleet = ColdFleet(plain_codec, cold_config, 8)
    fleet.restart_endpoints(["e0", "e1"])
    chooser = fleet.instances[0].forwarder.chooser
    prompt = placement.Prompt("a", 100_000, 100, 3000.0, 60_000.0, 500.0)
    service = cold_config.services["svc"]
    warm_ms = fleet.clock.now_ms() + COLD_MS

    def used(excluded, now_ms):
        chosen = chooser.place_in_cell(service, prompt, excluded, now_ms)
        return {a.endpoint for a in chosen.assignments}

    now_ms = fleet.clock.now_ms()
    assert used(set(), warm_ms) == {"e0", "e1", "e2", "e3"}
    assert used(set(), now_ms) == {"e2", "e3"}
    assert len(used({"e2", "e3"}, now_ms)) == 1
    assert len(used({"e3"}, now_ms)) == 1
    assert chooser.count_open_endpoints(now_ms) == {"svc": 2}
    assert chooser.count_open_endpoints(warm_ms) == {"svc": 4}


def test_queries_and_announcements_have_defaults_on_the_wire():
    """Instances of the former version send no rate."""
    limit = _messages.EndpointLimit("e", 0, None, 1.0, 1.0)
    query = _messages.PermitQuery("i", 1, "z", limit)
    assert _messages.decode(_messages.encode(query)).cold_per_s == 0.0
    cold = _messages.EndpointCold("i", "e", 3, 2.5)
    assert _messages.decode(_messages.encode(cold)) == cold


def test_cold_endpoint_is_logged_with_its_source(
    plain_codec, cold_config, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        observe.DecisionLog, "write", lambda self, line: lines.append(line)
    )
    fleet = ColdFleet(plain_codec, cold_config, 8, endpoints=1)
    fleet.restart_endpoints(["e0"])
    found = [x for x in lines if isinstance(x, observe.decisions.EndpointCold)]
    assert {(x.endpoint, x.source, x.left_ms) for x in found} == {
        ("e0", "incarnation", COLD_MS)
    }


@pytest.mark.parametrize("seed", range(6))
def test_rate_is_kept_through_random_failures(plain_codec, cold_config, seed):
    """Lost messages, cuts, restarts, pauses and views that differ."""
    rng = random.Random(seed)
    instances = rng.choice([8, 13, 14, 24, 40])
    fleet = ColdFleet(plain_codec, cold_config, instances, endpoints=2)
    fleet.rng = rng
    fleet.states_cold = rng.random() < 0.5
    fleet.run(2.0, 60.0)
    for _ in range(4):
        fleet.network.loss = rng.choice([0.0, 0.1, 0.3])
        fleet.network.hidden.clear()
        for _ in range(rng.randrange(3)):
            first = rng.choice(fleet.instances)
            count = rng.randrange(instances)
            hidden = rng.sample(fleet.others(first), count)
            fleet.network.hide(first.peers, [i.peers for i in hidden])
        fleet.advance(rng.uniform(0.0, 6000.0))
        stopped = rng.choice(fleet.instances)
        fleet.stop(stopped)
        fleet.restart_endpoints(["e0", "e1"])
        fleet.run(1.0, 150.0)
        if rng.random() < 0.5:
            fleet.start(stopped)
        else:
            fleet.resume(stopped)
        fleet.run(2.0, 150.0)
        for endpoint_id in ("e0", "e1"):
            assert fleet.most_in_a_second(endpoint_id) <= BOUND


def test_request_does_not_wait_for_many_silent_grantors(
    plain_codec, cold_config
):
    """Each silent grantor costs the time of a reply, 40 of them a second."""
    fleet = ColdFleet(plain_codec, cold_config, 30, endpoints=40)
    fleet.advance(5000.0)
    fleet.restart_endpoints([e.id for e in fleet.endpoints])
    instance = fleet.instances[0]
    asked = []

    def acquire(attempt_id, endpoint):
        asked.append(endpoint.id)
        fleet.advance(25.0)
        permits._available_ms[endpoint.id] = fleet.clock.now_ms() + 250.0
        return False

    permits = instance.forwarder.permits
    permits.acquire = acquire
    assert fleet.call("/free/", instance).status == 503
    assert len(asked) <= 5
