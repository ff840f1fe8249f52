import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _history
from hollycart.gateway import _messages
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement
from hollycart_core import routing

PATHS = ["/once/", "/again/"]


def call_counts(endpoints):
    return [len(e.requests) for e in endpoints]


def decisions(system, kind):
    return [d for d in system.log.decisions if isinstance(d, kind)]


@pytest.mark.parametrize("path", PATHS)
def test_endpoint_that_says_it_is_leaving_gets_no_more_requests(
    system, endpoints, answers, path
):
    """The store still lists it as ready."""
    system.apply_state()
    endpoints[0].handler = answers.leave
    endpoints[1].handler = answers.complete
    for _ in range(4):
        assert system.call(path).status == 200
        system.apply_state()
    assert len(endpoints[0].requests) == 1
    (line,) = decisions(system, observe.decisions.EndpointLeaving)
    assert (line.endpoint, line.source) == ("e0", "response")


def test_leaving_is_announced_and_lasts_until_a_new_incarnation(
    system, endpoints, answers
):
    system.apply_state()
    for endpoint in endpoints:
        endpoint.handler = answers.complete
    for number, endpoint in enumerate(system.listed_endpoints):
        message = _messages.EndpointLeaving("peer", endpoint.id, 0)
        system.peers._handle(message, f"127.0.0.{number}")
    assert system.call("/again/").status == 503
    assert call_counts(endpoints) == [0, 0]
    born_again = [e._replace(born_ms=7) for e in system.listed_endpoints]
    system.apply_state(listed_endpoints=born_again)
    assert system.call("/again/").status == 200


def test_response_without_execution_announces_leaving_too(
    system, endpoints, answers
):
    def reject(exchange, fields):
        headers = ((b"Not-Run", b"1"), (b"Leaving", b"1"))
        exchange.respond(503, headers, b"")

    system.apply_state()
    endpoints[0].handler = reject
    endpoints[1].handler = answers.complete
    assert [system.call("/once/").status for _ in range(3)] == [200] * 3
    assert len(endpoints[0].requests) <= 1


def test_paused_endpoint_gets_no_requests_until_the_pause_ends(
    system, endpoints, answers, eventually
):
    system.apply_state()
    endpoints[0].handler = answers.pause(2.0)
    endpoints[1].handler = answers.complete
    for _ in range(6):
        assert system.call("/again/").status == 200
    assert len(endpoints[0].requests) == 1
    paused = system.listed_endpoints[0]
    eventually(
        lambda: system.forwarder.restrictions.accepts(
            paused, system.clock.now_ms()
        )
    )
    endpoints[0].handler = answers.complete
    endpoints[1].handler = answers.pause(30)
    assert [system.call("/again/").status for _ in range(3)] == [200] * 3


@pytest.mark.parametrize("path", [*PATHS, "/stream/"])
def test_request_is_refused_at_once_if_all_endpoints_asked_for_a_pause(
    system, endpoints, answers, path
):
    system.apply_state()
    endpoints[0].handler = answers.pause(20)
    endpoints[1].handler = answers.pause(8.5)
    for _ in range(4):
        started_ms = system.clock.now_ms()
        response = system.call(path, tokens=100 if path == "/stream/" else 0)
        elapsed_ms = system.clock.now_ms() - started_ms
        retry_after = connections.find_header(response.headers, b"retry-after")
        assert response.status == 503
    assert 8.0 < float(retry_after) <= 8.5
    assert elapsed_ms < 1000.0
    assert call_counts(endpoints) == [1, 1]


@pytest.mark.parametrize("seconds", [0, -3, "nan", "inf"])
def test_meaningless_pause_is_ignored_or_bounded(
    system, endpoints, answers, seconds
):
    system.apply_state()
    endpoints[0].handler = answers.pause(seconds)
    endpoints[1].handler = answers.pause(seconds)
    system.call("/again/")
    endpoint = system.listed_endpoints[0]
    left_ms = system.forwarder.restrictions.pause_left_ms(
        endpoint, system.clock.now_ms()
    )
    assert left_ms <= 600_000.0
    assert (left_ms > 0.0) == (seconds == "inf")


def test_paused_endpoint_is_not_queried_for_the_end_of_its_answer(
    system, endpoints, answers
):
    """The answer was in flight when the endpoint asked for a pause."""
    system.apply_state()
    for endpoint, listed in zip(
        endpoints, system.listed_endpoints, strict=True
    ):

        def handler(exchange, fields, listed=listed):
            system.forwarder.restrictions.record_pause(
                listed, 5000.0, system.clock.now_ms()
            )
            answers.unframed(b"id: 1\ndata: 1\n\n")(exchange, fields)

        endpoint.handler = handler
    assert system.call("/stream/", tokens=100).status == 200
    assert sum(call_counts(endpoints)) == 1


def test_helper_that_leaves_or_pauses_is_not_sent_a_part(system, endpoints):
    """It asked for no more requests while the prompt waited to be sent."""
    system.apply_state()
    primary, helper = system.listed_endpoints
    system.forwarder.restrictions.record_leaving(helper.id, 0)
    request = type("Request", (), {"team": None})()
    with pytest.raises(base.NotExecutedError, match="e1 is leaving"):
        system.forwarder.admission.check_before_send(request, (primary, helper))


def _apply_listed(instance, revision, *endpoints):
    snapshot = gateway.Snapshot(
        revision, 1, routing.RoutingConfig(1, [], []), endpoints, {}, revision
    )
    raw = _history.RawState(kv.RangeResult(revision, ()), revision)
    now_ms = instance.clock.now_ms()
    instance.platform_state.apply(raw, snapshot, now_ms)
    instance._apply_change()


@pytest.mark.parametrize("vanishes", [False, True])
def test_endpoint_listed_as_leaving_stays_so_for_its_incarnation(
    instance, vanishes
):
    """Guards against an entry that is overwritten while its engine drains."""
    ready = placement.Endpoint("e", "127.0.0.1:1", "s", "z", 8, born_ms=5)
    accepts = instance.forwarder.restrictions.accepts
    _apply_listed(instance, 1, ready)
    assert accepts(ready, instance.clock.now_ms())
    _apply_listed(instance, 2, ready._replace(leaving=True))
    if vanishes:
        _apply_listed(instance, 3)
    _apply_listed(instance, 4, ready)
    assert not accepts(ready, instance.clock.now_ms())
    reborn = ready._replace(born_ms=6)
    _apply_listed(instance, 5, reborn)
    assert accepts(reborn, instance.clock.now_ms())
