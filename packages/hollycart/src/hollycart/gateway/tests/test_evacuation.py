"""Requests while the availability zones of endpoints are evacuated."""

import types

import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _failures
from hollycart.gateway import _history
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing

_LAST_RESORT = placement.ZoneAccess.LAST_RESORT
_CLOSED = placement.ZoneAccess.CLOSED


@pytest.fixture
def two_zones(system, endpoints, answers):
    """The first endpoint is in zone `y`, the second in the instance's own."""
    listed = system.listed_endpoints
    listed[0] = listed[0]._replace(zone="y")
    system.peers.set_cells((frozenset("yz"),))

    def handler(exchange, fields):
        path = exchange.head.target
        answer = answers.complete
        if path.startswith(b"/stream/"):
            answer = answers.events(1, 2)
        answer(exchange, fields)

    for endpoint in endpoints:
        endpoint.handler = handler
    system.apply_state()
    return system


@pytest.fixture
def jump(two_zones, monkeypatch):
    """Advances the clock of the instance by a time in ms."""
    clock, offset_ms = two_zones.clock, 0.0
    now_ms = clock.now_ms
    monkeypatch.setattr(clock, "now_ms", lambda: now_ms() + offset_ms)

    def advance(duration_ms):
        nonlocal offset_ms
        offset_ms += duration_ms

    return advance


@pytest.fixture
def during_connect(two_zones, monkeypatch):
    """Calls a function while the next attempt connects to its endpoint."""
    pool = two_zones.forwarder.pool
    acquire = pool.acquire

    def install(action):
        def run_once(*args, **kwargs):
            monkeypatch.setattr(pool, "acquire", acquire)
            action()
            return acquire(*args, **kwargs)

        monkeypatch.setattr(pool, "acquire", run_once)

    return install


def set_bound(system, evacuate_ms):
    system.platform_state.evacuations.evacuate_ms = evacuate_ms


def lines(system, kind):
    return [d for d in system.log.decisions if isinstance(d, kind)]


def failures(system):
    return [d.reason for d in lines(system, observe.decisions.Failed)]


@pytest.mark.parametrize("path", ["/once/", "/again/", "/free/", "/stream/"])
def test_request_avoids_an_evacuated_zone(two_zones, endpoints, path):
    two_zones.apply_state(evacuated="z")
    tokens = 2000 if path == "/stream/" else 0
    for _ in range(3):
        assert two_zones.call(path, tokens=tokens).status == 200
    assert not endpoints[1].requests
    counters = two_zones.forwarder.metrics.counters
    assert counters["evacuation_diverted.z"] == 3


@pytest.mark.parametrize("evacuate_ms", [0.0, 5000.0])
def test_request_is_refused_at_once_if_all_zones_are_evacuated(
    two_zones, endpoints, jump, evacuate_ms
):
    set_bound(two_zones, evacuate_ms)
    two_zones.apply_state(evacuated="yz")
    jump(3000.0)
    for path, tokens in (("/once/", 0), ("/stream/", 2000)):
        response = two_zones.call(path, tokens=tokens)
        assert response.status == 503
        retry_after = connections.find_header(response.headers, b"retry-after")
        assert float(retry_after) == 1.0
    assert failures(two_zones) == ["zones_evacuated"] * 2
    assert not endpoints[0].requests + endpoints[1].requests


@pytest.mark.parametrize(("path", "tokens"), [("/again/", 0), ("/stream/", 9)])
def test_zone_is_a_last_resort_before_the_bound(
    two_zones, endpoints, path, tokens
):
    set_bound(two_zones, 30000.0)
    two_zones.apply_state(evacuated="z")
    assert two_zones.call(path, tokens=tokens).status == 200
    assert not endpoints[1].requests
    two_zones.apply_state(evacuated="yz")
    assert two_zones.call(path, tokens=tokens).status == 200


def test_prompt_that_would_be_late_elsewhere_runs_in_the_zone_before_the_bound(
    two_zones, endpoints
):
    """A quarter of the engines goes; urgent prompts must not wait for it."""
    set_bound(two_zones, 30000.0)
    busy = placement.Assignment(
        "x.0", "e0", True, False, 9000.0, 0.0, 0.0, 0.0, 200.0, 9, 9, 1.0
    )
    now_ms = two_zones.clock.now_ms()
    two_zones.peers.view.add(
        "other",
        (
            busy._replace(
                ready_ms=now_ms + 9000, first_event_at_ms=now_ms + 9e3
            ),
        ),
    )
    two_zones.apply_state(evacuated="z")
    response = two_zones.call("/stream/", tokens=2000, wait=14000)
    assert response.status == 200
    assert len(endpoints[1].requests) == 1
    counters = two_zones.forwarder.metrics.counters
    assert counters["evacuation_last_resort.z"] == 1


def test_waiting_request_that_was_placed_just_before_the_bound_is_not_sent(
    two_zones, endpoints, jump, during_connect
):
    set_bound(two_zones, 4000.0)
    two_zones.apply_state(evacuated="yz")
    during_connect(lambda: jump(2500.0))
    response = two_zones.call("/stream/", tokens=2000, wait=12000)
    assert response.status == 503
    assert failures(two_zones) == ["zones_evacuated"]
    assert not endpoints[0].requests + endpoints[1].requests


def test_request_whose_zone_is_evacuated_while_it_connects_goes_elsewhere(
    two_zones, endpoints, during_connect
):
    """It was not sent, so that it does not count as a retry."""
    budget = two_zones.forwarder.budget
    before = budget.left("svc", two_zones.clock.now_ms(), 1)
    during_connect(lambda: two_zones.apply_state(evacuated="z"))
    assert two_zones.call("/once/").status == 200
    assert len(endpoints[0].requests) == 1
    assert not endpoints[1].requests
    assert budget.left("svc", two_zones.clock.now_ms(), 1) >= before


def test_retry_does_not_reach_a_zone_evacuated_meanwhile(
    two_zones, endpoints, answers
):
    def evacuate_and_close(exchange, fields):
        two_zones.apply_state(evacuated="y")
        answers.close(exchange, fields)

    endpoints[1].handler = evacuate_and_close
    assert two_zones.call("/again/").status == 502
    assert not endpoints[0].requests


def test_resumed_stream_does_not_reach_a_zone_evacuated_meanwhile(
    two_zones, endpoints, answers
):
    def break_off(exchange, fields):
        two_zones.apply_state(evacuated="y")
        answers.events(1, 2, end=False)(exchange, fields)

    endpoints[1].handler = break_off
    conn = two_zones.open("/stream/", tokens=2000)
    conn.read_head(3000)
    with pytest.raises(base.EndpointFailedError):
        conn.read_body(3000, 1 << 20)
    conn.close()
    assert not endpoints[0].requests


def test_memory_is_not_reserved_in_a_zone_evacuated_meanwhile(
    two_zones, endpoints, eventually
):
    """A prompt that needs two engines reserves at one after the other."""

    def reserve(exchange, fields):
        two_zones.apply_state(evacuated="z")
        exchange.respond(200, (), b"{}")

    endpoints[0].handler = reserve
    response = two_zones.call("/stream/", tokens=600000, wait=15000)
    assert response.status == 503
    assert not endpoints[1].requests
    eventually(lambda: [r[0] for r in endpoints[0].requests][-1] == "/release")


def test_helper_in_a_zone_evacuated_meanwhile_is_not_used(
    two_zones, endpoints, during_connect
):
    zones = {e.address: e.zone for e in two_zones.listed_endpoints}
    chosen = []
    place = two_zones.forwarder._attempt_placer.place

    def record(*args):
        chosen.append(place(*args))
        return chosen[-1]

    two_zones.forwarder._attempt_placer.place = record
    during_connect(
        lambda: two_zones.apply_state(evacuated=chosen[0].helpers[0].zone)
    )
    response = two_zones.call("/stream/", tokens=60000, wait=15000)
    assert response.status == 200
    assert chosen[0].helpers and not chosen[1].helpers
    (request,) = endpoints[0].requests + endpoints[1].requests
    closed = chosen[0].helpers[0].zone
    listed = [a for a in request[1][b"helpers"].split(",") if a]
    assert closed not in [zones[a] for a in listed]


def test_last_check_names_the_zone(two_zones):
    two_zones.apply_state(evacuated="y")
    request = types.SimpleNamespace(team=None)
    with pytest.raises(_failures.EndpointEvacuatedError, match="zone y"):
        two_zones.forwarder.admission.check_before_send(
            request, two_zones.listed_endpoints[::-1]
        )


def test_zone_is_used_again_after_the_evacuation(two_zones, endpoints):
    two_zones.apply_state(evacuated="z")
    two_zones.forwarder.evacuation.refresh()
    two_zones.apply_state()
    two_zones.forwarder.evacuation.refresh()
    assert two_zones.call("/once/").status == 200
    assert len(endpoints[1].requests) == 1
    (evacuated,) = lines(two_zones, observe.decisions.ZoneEvacuated)
    assert (evacuated.zone, evacuated.endpoints) == ("z", 1)
    (reopened,) = lines(two_zones, observe.decisions.ZoneReopened)
    assert (reopened.zone, reopened.lapsed) == ("z", False)


def test_evacuation_that_a_restored_store_lacks_ends_without_a_new_state(
    two_zones, endpoints, jump, eventually
):
    two_zones.apply_state(evacuated="z")
    two_zones.apply_state(era=1)
    assert two_zones.call("/once/").status == 200
    assert not endpoints[1].requests
    eventually(
        lambda: lines(two_zones, observe.decisions.ZoneEvacuationMissing)
    )
    jump(10000.0)
    eventually(lambda: lines(two_zones, observe.decisions.ZoneReopened))
    (reopened,) = lines(two_zones, observe.decisions.ZoneReopened)
    assert reopened.lapsed
    two_zones.apply_state(era=1)
    assert two_zones.call("/once/").status == 200
    assert endpoints[1].requests


def test_zone_without_endpoints_has_no_effect(two_zones, endpoints):
    two_zones.apply_state(evacuated="q")
    two_zones.forwarder.evacuation.refresh()
    assert two_zones.call("/once/").status == 200
    (evacuated,) = lines(two_zones, observe.decisions.ZoneEvacuated)
    assert (evacuated.endpoints, evacuated.instances) == (0, 0)


def _apply(instance, revision, **evacuated):
    snapshot = gateway.Snapshot(
        revision,
        1,
        routing.RoutingConfig(1, [], []),
        (),
        {},
        revision,
        evacuated=evacuated,
    )
    raw = _history.RawState(kv.RangeResult(revision, ()), revision)
    now_ms = instance.clock.now_ms()
    instance.platform_state.apply(raw, snapshot, now_ms)
    instance.platform_state.freshness.confirm(now_ms)
    instance._apply_change()


def test_instance_follows_a_state_in_which_only_evacuations_change(instance):
    _apply(instance, 1)
    _apply(instance, 2, y=kv.Position(0, 2))
    access = instance.platform_state.evacuations.access
    assert access("y", instance.clock.now_ms()) is _LAST_RESORT
    assert instance.gauges()["zones_evacuated"] == 1.0
    assert instance.log.counts["zone_evacuated"] == 1
    _apply(instance, 3)
    assert instance.gauges()["zones_evacuated"] == 0.0
    assert instance.log.counts["zone_reopened"] == 1


def test_changed_bound_is_in_force_at_once(instance):
    _apply(instance, 1)
    _apply(instance, 2, y=kv.Position(0, 2))
    cfg = instance.cfg
    instance.reload(cfg._replace(policy=gateway.PolicySettings()))
    access = instance.platform_state.evacuations.access
    assert access("y", instance.clock.now_ms()) is _CLOSED


def test_endpoints_are_cold_when_the_evacuation_of_their_zone_ends(two_zones):
    """Guards against a burst at engines that became cold in the meantime."""
    service = two_zones.config.services["svc"]
    two_zones.config.services["svc"] = service._replace(
        cold_start_ms=3000.0, cold_per_s=14.0
    )
    forwarder = two_zones.forwarder
    two_zones.apply_state(evacuated={"y": (0, 7)})
    forwarder.evacuation.refresh()
    two_zones.apply_state(evacuated={})
    forwarder.evacuation.refresh()
    now_ms = two_zones.clock.now_ms()
    cold = [
        forwarder.cold.is_cold(e, now_ms) for e in two_zones.listed_endpoints
    ]
    assert cold == [True, False]
