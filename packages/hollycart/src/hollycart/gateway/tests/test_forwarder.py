import types

import eventlet
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _crash_messages
from hollycart.gateway import _messages
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing


def seal(fields):
    return ((b"Id", fields[b"id"].encode()), (b"Seal", b"1"))


def request_count(endpoints):
    """Returns the number of requests, without queries for the load."""
    return sum(path != "/load" for e in endpoints for path, _, _ in e.requests)


def script(endpoints, *handlers):
    """Sets the handlers of successive requests, whichever endpoint gets them.

    The last handler serves all further requests. Queries for the load are
    answered without a handler.
    """
    remaining = list(handlers)

    def handler(exchange, fields):
        if exchange.head.target == b"/load":
            exchange.respond(200, (), b"[0, 0]")
            return
        (remaining.pop(0) if len(remaining) > 1 else remaining[0])(
            exchange, fields
        )

    for endpoint in endpoints:
        endpoint.handler = handler


def test_request_reaches_an_endpoint_unchanged(system, endpoints, answers):
    system.apply_state()
    script(endpoints, answers.complete)
    response = system.call("/once/a?b=%20c", wait=900)
    assert (response.status, response.body) == (200, b"done")
    target, fields, body = (endpoints[0].requests + endpoints[1].requests)[0]
    assert target == "/once/a?b=%20c"
    assert body == b"body 0"
    assert fields[b"team"] == "team-a"
    assert 0 < int(fields[b"left"]) <= 900


def test_missing_config_unknown_route_and_unknown_key_are_rejected(
    system, endpoints, answers
):
    script(endpoints, answers.complete)
    assert system.call("/once/").status == 503
    system.apply_state()
    assert system.call("/nowhere/").status == 404
    assert system.call("/once/", key="other").status == 401
    assert system.call("/free/", key="").status == 200


def test_api_keys_need_a_recently_confirmed_state(system, endpoints, answers):
    system.apply_state(confirmed=False)
    script(endpoints, answers.complete)
    response = system.call("/once/")
    assert response.status == 503
    assert connections.find_header(response.headers, b"retry-after")
    assert system.call("/free/", key="").status == 200
    assert request_count(endpoints) == 1


def test_rejected_request_is_sent_to_another_endpoint(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.reject, answers.complete)
    assert system.call("/once/").status == 200
    assert request_count(endpoints) == 2


def test_request_rejected_everywhere_gets_a_retry_hint(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.reject)
    response = system.call("/once/")
    assert response.status == 503
    assert connections.find_header(response.headers, b"retry-after")


def test_non_idempotent_request_is_sent_once(system, endpoints, answers):
    system.apply_state()
    script(endpoints, answers.close, answers.complete)
    assert system.call("/once/").status == 502
    assert request_count(endpoints) == 1


def test_idempotent_request_is_retried(system, endpoints, answers):
    system.apply_state()
    script(endpoints, answers.close, answers.complete)
    assert system.call("/again/").status == 200


def test_rejection_after_a_possible_execution_is_a_failure(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.close, answers.reject)
    assert system.call("/again/").status == 502


def test_error_response_of_an_endpoint_is_relayed(system, endpoints, answers):
    system.apply_state()
    script(endpoints, answers.fail)
    response = system.call("/once/")
    assert (response.status, response.body) == (500, b"oops")
    assert connections.find_header(response.headers, b"seal")


def test_success_without_seal_is_a_failure(system, endpoints, answers):
    system.apply_state()
    script(endpoints, answers.unsealed)
    assert system.call("/once/").status == 502


def test_stream_is_resumed_after_its_last_complete_event(
    system, endpoints, answers
):
    system.apply_state()
    script(
        endpoints,
        answers.events(1, 3, cut=b"id: 4\nda", end=False),
        answers.events(1, 6),
    )
    response = system.call("/stream/", tokens=5000)
    events = response.body.decode().strip().split("\n\n")
    assert events == [f"id: {i}\ndata: {i}" for i in range(1, 7)]


@pytest.mark.parametrize("framing", ["length", "chunked", "connection"])
def test_log_tells_how_the_end_of_a_response_was_declared(
    system, endpoints, answers, framing
):
    system.apply_state()
    event = b"id: 1\ndata: 1\n\n"
    handler = {
        "length": answers.complete,
        "chunked": answers.events(1, 1),
        "connection": answers.unframed(event),
    }[framing]
    script(endpoints, handler)
    path = "/once/" if framing == "length" else "/stream/"
    assert system.call(path, tokens=100).status == 200
    (line,) = [
        d
        for d in system.log.decisions
        if isinstance(d, observe.decisions.Answered)
    ]
    assert (line.framing, line.trailing_bytes) == (framing, 0)


def test_stream_that_may_not_be_resumed_is_aborted(system, endpoints, answers):
    system.apply_state()
    script(endpoints, answers.events(1, 3, end=False), answers.events(1, 6))
    conn = system.open("/fragile/", tokens=5000)
    conn.read_head(1000)
    with pytest.raises(base.EndpointFailedError):
        conn.read_body(1000, 1 << 20)
    assert request_count(endpoints) == 1


def test_stream_closed_inside_an_event_is_resumed_not_relayed_as_complete(
    system, endpoints, answers
):
    system.apply_state()
    cut = b"id: 1\ndata: 1\n\nid: 2\nda"
    script(endpoints, answers.unframed(cut), answers.events(1, 3))
    response = system.call("/stream/", tokens=5000)
    events = response.body.decode().strip().split("\n\n")
    assert events == [f"id: {i}\ndata: {i}" for i in range(1, 4)]


def test_stream_closed_inside_an_event_looks_truncated_to_its_caller(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.unframed(b"id: 1\ndata: 1\n\nid: 2\nda"))
    conn = system.open("/fragile/", tokens=5000)
    conn.read_head(1000)
    with pytest.raises(base.EndpointFailedError):
        conn.read_body(1000, 1 << 20)


def closing_and_gone(endpoint, body):
    """Returns a handler whose endpoint ends with its response."""

    def handler(exchange, fields):
        sock = exchange.detach()
        head = b"".join(b"%s: %s\r\n" % field for field in seal(fields))
        sock.sendall(b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (head, body))
        endpoint.server._listener.close()
        sock.close()

    return handler


def test_stream_closed_between_events_by_a_crash_is_resumed(
    system, endpoints, answers
):
    system.apply_state()
    cut = b"id: 1\ndata: 1\n\n"
    whole = answers.events(1, 3)
    for endpoint, other in (endpoints, endpoints[::-1]):

        def handler(exchange, fields, endpoint=endpoint, other=other):
            other.handler = whole
            closing_and_gone(endpoint, cut)(exchange, fields)

        endpoint.handler = handler
    response = system.call("/stream/", tokens=5000)
    events = response.body.decode().strip().split("\n\n")
    assert events == [f"id: {i}\ndata: {i}" for i in range(1, 4)]


def test_plain_answer_closed_by_a_crash_is_not_a_success(system, endpoints):
    system.apply_state()
    for endpoint in endpoints:
        endpoint.handler = closing_and_gone(endpoint, b"ha")
    assert system.call("/once/").status == 502


@pytest.mark.parametrize("path", ["/once/", "/stream/"])
def test_answer_without_length_of_a_running_endpoint_is_complete(
    system, endpoints, answers, path
):
    system.apply_state()
    body = b"id: 1\ndata: 1\n\n"
    script(endpoints, answers.unframed(body))
    response = system.call(path, tokens=100 if path == "/stream/" else 0)
    assert (response.status, response.body) == (200, body)


def test_silence_of_an_endpoint_does_not_discard_its_answer(
    system, endpoints, answers
):
    """The close has arrived, so the endpoint had not crashed."""
    system.apply_state()
    body = b"id: 1\ndata: 1\n\n"

    def handler(exchange, fields):
        if exchange.head.target == b"/load":
            eventlet.sleep(1.0)
        else:
            answers.unframed(body)(exchange, fields)

    script(endpoints, handler)
    assert system.call("/stream/", tokens=100).body == body


def test_reset_stream_without_length_or_chunks_is_resumed(
    system, endpoints, answers
):
    system.apply_state()
    script(
        endpoints,
        answers.unframed(b"id: 1\ndata: 1\n\n", end="reset"),
        answers.events(1, 3),
    )
    response = system.call("/stream/", tokens=5000)
    events = response.body.decode().strip().split("\n\n")
    assert events == [f"id: {i}\ndata: {i}" for i in range(1, 4)]


def test_reconnecting_caller_gets_the_rest_of_the_stream(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.events(1, 4))
    response = system.call("/stream/", tokens=5000, after=2)
    assert response.body.startswith(b"id: 3\n")


def test_last_attempt_does_not_time_out_before_the_deadline(
    system, endpoints, answers
):
    """A stream pauses while its endpoint prefills another, long prompt.

    A timeout of the last attempt would turn such a gap into a failure.
    """
    system.apply_state()

    def pausing(exchange, fields):
        exchange.start(200, seal(fields), None)
        exchange.write(b"id: 1\ndata: 1\n\n")
        eventlet.sleep(2.6)
        exchange.write(b"id: 2\ndata: 2\n\n")
        exchange.finish()

    script(endpoints, answers.close, pausing)
    response = system.call("/stream/", tokens=5000, timeout_ms=8000, wait=8000)
    assert response.body.endswith(b"id: 2\ndata: 2\n\n")
    assert request_count(endpoints) == 2


def test_leaving_endpoint_gets_no_requests(system, endpoints, answers):
    script(endpoints, answers.complete)
    system.apply_state(
        listed_endpoints=[
            system.listed_endpoints[0]._replace(leaving=True),
            system.listed_endpoints[1],
        ]
    )
    for _ in range(4):
        assert system.call("/once/").status == 200
    assert not endpoints[0].requests


def test_removed_endpoint_gets_no_requests(system, endpoints, answers):
    script(endpoints, answers.complete)
    system.apply_state()
    system.apply_state(listed_endpoints=[system.listed_endpoints[1]])
    for _ in range(4):
        assert system.call("/once/").status == 200
    assert not endpoints[0].requests


def test_removed_key_is_rejected(system, endpoints, answers):
    script(endpoints, answers.complete)
    system.apply_state()
    changed_config = routing.RoutingConfig(
        2,
        system.config.routes,
        system.config.services.values(),
        [routing.Team("team-a", ("key-b",))],
    )
    system.apply_state(config=changed_config)
    assert system.call("/once/").status == 401
    assert not request_count(endpoints)


@pytest.mark.parametrize(
    "teams",
    [[], [routing.Team("team-a", ())]],
    ids=["no team", "a team without keys"],
)
def test_configuration_without_valid_keys_admits_no_key(
    system, endpoints, answers, teams
):
    """Guards against routes that open when the last team or key is removed."""
    script(endpoints, answers.complete)
    system.apply_state()
    assert system.call("/once/").status == 200
    system.apply_state(
        config=routing.RoutingConfig(
            2, system.config.routes, system.config.services.values(), teams
        )
    )
    before = request_count(endpoints)
    assert system.call("/once/").status == 401
    assert system.call("/once/", key="").status == 401
    assert request_count(endpoints) == before
    assert system.call("/free/").status == 200


def test_configuration_without_teams_needs_no_key(system, endpoints, answers):
    script(endpoints, answers.complete)
    system.apply_state(
        config=routing.RoutingConfig(
            2, system.config.routes, system.config.services.values()
        )
    )
    assert system.call("/once/", key="").status == 200


def test_request_of_a_disconnected_caller_is_cancelled_at_its_endpoint(
    system, endpoints, answers, eventually
):
    system.apply_state()
    script(endpoints, answers.hang)
    conn = system.open("/stream/", tokens=5000)
    eventually(lambda: request_count(endpoints) == 1)
    conn.close()
    eventually(
        lambda: (
            endpoints[0].abandoned_ids + endpoints[1].abandoned_ids == ["r1"]
        )
    )
    eventually(lambda: not list(system.peers.view.of_instance("me")))


def test_idempotent_request_is_retried_after_a_timeout(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.hang, answers.complete)
    assert system.call("/again/").status == 200


def test_unresponsive_endpoint_runs_into_the_deadline(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.hang)
    assert system.call("/once/", wait=150).status == 504


def test_unreachable_endpoints_leave_the_request_not_executed(
    system, endpoints, answers
):
    system.apply_state()
    for endpoint in endpoints:
        endpoint.server.close()
    response = system.call("/once/")
    assert response.status == 503


def test_prompt_larger_than_one_endpoint_reserves_memory_at_helpers(
    system, endpoints, answers, eventually
):
    system.apply_state()
    calls = []

    def handler(exchange, fields):
        if exchange.head.target in (b"/reserve", b"/release"):
            calls.append(exchange.head.target)
            exchange.respond(200, (), b"{}")
        else:
            answers.events(1, 2)(exchange, fields)

    for endpoint in endpoints:
        endpoint.handler = handler
    assert system.call("/stream/", tokens=600000, wait=15000).status == 200
    sent = [
        f
        for t, f, _ in endpoints[0].requests + endpoints[1].requests
        if "/s" in t
    ]
    first, second = sent[0][b"helpers"].split(",")
    assert first.partition("/")[2] == second.partition("/")[2] != ""
    eventually(lambda: calls.count(b"/release") == 2)
    assert calls.count(b"/reserve") == 2


def test_prompt_avoids_all_failed_helpers_after_one_rejection(
    system, endpoints, answers, free_port
):
    """Ten engines crash at once; the engines at fault are named one by one."""
    dead = [
        placement.Endpoint(f"d{i}", f"127.0.0.1:{free_port()}", "svc", "z", 8)
        for i in range(10)
    ]
    system.apply_state(listed_endpoints=[*system.listed_endpoints, *dead])

    def handler(exchange, fields):
        for helper in fields[b"helpers"].split(","):
            if helper in [e.address for e in dead]:
                headers = ((b"Not-Run", b"1"), (b"Faulty", helper.encode()))
                exchange.respond(503, headers, b"")
                return
        answers.events(1, 2)(exchange, fields)

    for endpoint in endpoints:
        endpoint.handler = handler
    response = system.call("/stream/", tokens=100000, wait=15000)
    assert response.status == 200


def test_prompt_that_cannot_be_prefilled_in_time_is_rejected_at_once(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.events(1, 2))
    response = system.call("/stream/", tokens=600000, wait=3000)
    assert response.status == 503
    assert connections.find_header(response.headers, b"retry-after")
    assert not endpoints[0].requests + endpoints[1].requests


def test_long_expected_answer_alone_does_not_reject_a_request(
    system, endpoints, answers
):
    """Estimates of answer lengths are often far off.

    With time reserved for the full estimate, a request with 1.5 s left was
    rejected.
    """
    system.apply_state()
    script(endpoints, answers.events(1, 2))
    response = system.call("/stream/", tokens=2000, output=2000, wait=1500)
    assert response.status == 200


def test_prompt_without_memory_is_not_sent(system, endpoints, answers):
    system.apply_state()

    def handler(exchange, fields):
        exchange.respond(409, (), b"{}")

    for endpoint in endpoints:
        endpoint.handler = handler
    assert system.call("/stream/", tokens=600000).status == 503
    assert not [t for t, _, _ in endpoints[0].requests if t == "/stream/"]


def test_draining_instance_admits_only_requests_that_can_end(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.events(1, 2))
    admission = system.forwarder.admission
    admission.start_draining(8000.0)
    assert system.call("/stream/", tokens=5000).status == 200
    admission._draining_since_ms -= 3000
    late = system.call("/stream/", tokens=5000)
    assert late.status == 503
    assert connections.find_header(late.headers, b"retry-after")
    script(endpoints, answers.complete)
    assert system.call("/once/").status == 200
    admission._draining_since_ms -= 3000
    assert system.call("/once/").status == 503
    assert request_count(endpoints) == 2


def test_responses_close_the_connection_while_draining(
    system, endpoints, answers
):
    system.apply_state()
    script(endpoints, answers.complete)
    system.front_server.drain()
    response = system.call("/once/")
    assert response.status == 200
    assert connections.find_header(response.headers, b"connection") == "close"


def test_late_second_copy_of_an_answer_does_not_reach_the_next_caller(
    system, endpoints, answers
):
    """The copy arrives when the connection already carries the next request."""
    bodies = []

    def handler(exchange, fields):
        if bodies:
            copy = b"HTTP/1.1 200 OK\r\nId: r1\r\nSeal: 1\r\n"
            exchange._connection._sock.sendall(
                copy + b"Content-Length: 5\r\n\r\nfirst"
            )
        bodies.append(b"second" if bodies else b"first")
        exchange.respond(200, seal(fields), bodies[-1])

    system.apply_state(listed_endpoints=system.listed_endpoints[:1])
    endpoints[0].handler = handler
    assert system.call("/again/").body == b"first"
    second = system.call("/again/", id="r2")
    assert second.body == b"second"
    assert connections.find_header(second.headers, b"id") == "r2"


def test_late_copy_without_an_id_is_not_passed_on(system, endpoints, answers):
    calls = []

    def handler(exchange, fields):
        calls.append(fields[b"id"])
        if len(calls) > 1:
            copy = (
                b"HTTP/1.1 200 OK\r\nSeal: 1\r\nContent-Length: 5\r\n\r\nfirst"
            )
            exchange._connection._sock.sendall(copy)
        exchange.respond(200, seal(fields), b"own " + calls[-1].encode())

    system.apply_state(listed_endpoints=system.listed_endpoints[:1])
    endpoints[0].handler = handler
    assert system.call("/again/").body == b"own r1"
    assert system.call("/again/", id="r2").body == b"own r2"


def test_request_whose_deadline_passed_before_the_send_is_not_sent(
    system, endpoints, answers
):
    """The process was paused while it connected."""
    system.apply_state()
    for endpoint in endpoints:
        endpoint.handler = answers.complete
    acquire = system.forwarder.pool.acquire

    def late(*args, **kwargs):
        eventlet.sleep(0.3)
        return acquire(*args, **kwargs)

    system.forwarder.pool.acquire = late
    assert system.call("/once/", wait=200).status == 504
    assert not any(e.requests for e in endpoints)


@pytest.mark.parametrize("phase", ["head", "event"])
def test_slow_but_sound_stream_is_not_cut_if_it_could_not_be_retried(
    system, endpoints, phase
):
    """The retry budget is empty; the gap is longer than the time limit."""

    def handler(exchange, fields):
        if phase == "head":
            eventlet.sleep(1.8)
        exchange.start(200, seal(fields), None)
        exchange.write(b"id: 1\ndata: 1\n\n")
        if phase == "event":
            eventlet.sleep(2.3)
        exchange.write(b"id: 2\ndata: 2\n\n")
        exchange.finish()

    system.apply_state()
    system.forwarder.budget.slack = system.forwarder.budget.ratio = 0.0
    script(endpoints, handler)
    response = system.call("/stream/", tokens=100, timeout_ms=9000)
    assert response.status == 200
    assert response.body.endswith(b"id: 2\ndata: 2\n\n")
    assert request_count(endpoints) == 1


def _list_again(system, names):
    """Lists the endpoints as if they had started again."""
    system.listed_endpoints = [
        e._replace(id=name)
        for e, name in zip(system.listed_endpoints, names, strict=True)
    ]
    system.apply_state()


def test_prompt_is_refused_after_engines_behind_proxies_crashed_on_it(
    system, endpoints, answers, eventually
):
    """A proxy accepts connections for an engine that has crashed."""

    def crash(exchange, fields):
        if exchange.head.target != b"/load":
            eventlet.sleep(0.05)  # the prefill
        exchange.abort()

    for endpoint in endpoints:
        endpoint.handler = answers.events(1, 2)
    system.apply_state()
    assert system.call("/stream/", tokens=3000, segments="f").status == 200
    for endpoint in endpoints:
        endpoint.handler = crash
    guard = system.forwarder.guard
    fields = {"tokens": 3000, "segments": "f,p"}
    assert system.call("/stream/", **fields).status == 502
    _list_again(system, ("e2", "e3"))
    assert system.call("/stream/", **fields).status == 502
    eventually(guard.count_quarantined)
    sent = sum(len(e.requests) for e in endpoints)
    response = system.call("/stream/", **fields)
    assert response.status == 503
    assert connections.find_header(response.headers, b"retry-after")
    assert sum(len(e.requests) for e in endpoints) == sent
    other = {"tokens": 3000, "segments": "f"}
    assert system.call("/stream/", **other).status == 502


def test_broken_answers_of_engines_that_respond_are_no_crashes(
    system, endpoints
):
    def break_off(exchange, fields):
        if exchange.head.target == b"/load":
            exchange.respond(200, (), b"[0, 0]")
            return
        eventlet.sleep(0.05)  # the prefill
        exchange.abort()

    for endpoint in endpoints:
        endpoint.handler = break_off
    system.apply_state()
    for start in range(4):
        _list_again(system, (f"a{start}", f"b{start}"))
        system.call("/stream/", tokens=3000, segments="f,p")
    quarantine = system.forwarder.guard.quarantine
    assert not quarantine.entries
    assert not quarantine.unexplained()


def test_refused_connections_leave_the_retry_budget_to_others(
    system, endpoints, answers
):
    endpoints[0].server.close()
    endpoints[1].handler = answers.complete
    system.apply_state()
    system.forwarder.budget.slack = system.forwarder.budget.ratio = 0.0
    assert system.call("/once/x").status == 200
    system.health.mark_reachable("e0")
    assert system.call("/again/x").status == 200


@pytest.mark.parametrize(
    ("path", "fields"),
    [("/once/x", {}), ("/again/x", {}), ("/stream/x", {"Tokens": 1000})],
)
def test_entry_of_a_replaced_endpoint_is_used_once_until_it_is_written(
    system, endpoints, answers, path, fields
):
    """Its address belongs to another endpoint by then."""
    endpoints[0].handler = answers.misdirected
    endpoints[1].handler = answers.complete
    if fields:
        endpoints[1].handler = answers.events(1, 2)
    system.apply_state()
    for _ in range(12):
        assert system.call(path, **fields).status == 200
    assert len(endpoints[0].requests) <= 1
    system.forwarder.notices.record_replaced(system.listed_endpoints[0])
    system.listed_endpoints[0] = system.listed_endpoints[0]._replace(
        written=(0, 1)
    )
    system.apply_state()
    endpoints[0].handler = endpoints[1].handler
    endpoints[1].handler = answers.misdirected
    assert system.call(path, **fields).status == 200


def test_other_instances_are_told_of_a_replaced_endpoint(
    system, endpoints, answers, monkeypatch
):
    sent = []
    monkeypatch.setattr(system.peers, "_send", lambda m, ips: sent.append(m))
    endpoints[0].handler = answers.misdirected
    endpoints[1].handler = answers.complete
    system.apply_state()
    assert system.call("/again/x").status == 200
    told = [m for m in sent if isinstance(m, _messages.EndpointReplaced)]
    assert [m.endpoint for m in told] == ["e0"]
    system.forwarder._handle_replaced_announced(
        _messages.EndpointReplaced("i2", "e1", 0, (0, 0)), "127.0.0.2"
    )
    assert system.call("/again/x").status == 503
    assert len(endpoints[1].requests) == 1


@pytest.mark.parametrize("path", ["/again/x", "/once/x"])
def test_request_is_refused_after_plain_engines_behind_proxies_crashed_on_it(
    system, endpoints, answers, eventually, path
):
    """They state their health at a path of their service."""
    system.config.services["svc"] = routing.Service("svc", 100, None, "/health")

    def crash(exchange, fields):
        if fields.get(b"crash") or exchange.head.target == b"/health":
            exchange.abort()
        else:
            answers.complete(exchange, fields)

    for endpoint in endpoints:
        endpoint.handler = crash
    system.apply_state()
    assert system.call("/once/y").status == 200
    call = {"crash": 1, "body": b"same"}
    for number in range(3):
        assert system.call(path, **call).status in (502, 503)
        _list_again(system, (f"e{number}", f"f{number}"))
        eventlet.sleep(0.2)
    eventually(system.forwarder.guard.count_quarantined)
    sent = request_count(endpoints)
    response = system.call(path, **call)
    assert response.status == 503
    assert connections.find_header(response.headers, b"retry-after")
    assert request_count(endpoints) == sent
    assert system.call(path).status == 200


def test_instance_that_objects_to_a_verdict_says_so_at_once(
    system, monkeypatch
):
    sent = []
    monkeypatch.setattr(system.peers, "_send", lambda m, ips: sent.append(m))
    system.apply_state()
    guard = system.forwarder.guard
    guard.record_success("svc", ("p",), system.clock.now_ms())
    verdict = _crash_messages.CrashEvidence(
        "i2",
        entries=[
            _crash_messages.Entry(
                "svc", "p", ["p"], 1, False, 20000.0, 0, 20000.0, 500.0, ""
            )
        ],
    )
    guard.exchange._handle(verdict, "127.0.0.2")
    assert not guard.count_quarantined()
    told = [e for m in sent for e in getattr(m, "entries", [])]
    assert [(e.trait, e.released) for e in told] == [("p", True)] * len(told)
    lines = [
        d.released
        for d in system.log.decisions
        if isinstance(d, observe.decisions.Quarantined)
    ]
    assert lines == [True]


def test_body_that_arrives_after_the_deadline_is_not_given_up(system):
    """Only waiting for memory ends at the deadline.

    A body whose head came late has a time of its own, which its read bounds.
    """
    request = types.SimpleNamespace(
        exchange=types.SimpleNamespace(hold=lambda size: None),
        deadline_ms=system.clock.now_ms() - 1.0,
    )
    system.forwarder._attempt_relay._hold(request, 1)


@pytest.mark.parametrize(("zones", "status"), [(0, 503), (1, 200)])
def test_request_is_served_although_all_endpoints_of_a_zone_refuse(
    system, endpoints, answers, free_port, zones, status
):
    """Guards against refusals while a zone that may be lost is down."""
    system.forwarder.apply_policy(gateway.PolicySettings(tolerated_zones=zones))
    for endpoint in endpoints:
        endpoint.handler = answers.complete
    lost = [
        placement.Endpoint(f"a{i}", f"127.0.0.1:{free_port()}", "svc", "z", 8)
        for i in range(8)
    ]
    system.apply_state(listed_endpoints=lost + system.listed_endpoints)
    assert system.call("/once/").status == status


_COPIES = {
    "without an id": b"HTTP/1.1 503 \r\nNot-Run: 1\r\nPause: 9\r\n",
    "with the former id": b"HTTP/1.1 503 \r\nId: r1\r\nNot-Run: 1\r\n",
    "misdirected": b"HTTP/1.1 421 \r\nNot-Run: 1\r\n",
    "a success": b"HTTP/1.1 200 \r\nSeal: 1\r\n",
}


@pytest.mark.parametrize("path", ["/again/", "/stream/"])
@pytest.mark.parametrize("copy", _COPIES.values(), ids=_COPIES)
def test_refusal_written_again_is_not_the_answer_to_the_next_request(
    system, endpoints, path, copy
):
    """Guards against a copy on a kept connection that is taken for an answer.

    The request was said not to have run, or ran at a second endpoint.
    """

    def handler(exchange, fields):
        if len(endpoints[0].requests) == 1:
            exchange.respond(503, (*seal(fields), (b"Not-Run", b"1")), b"")
            return
        exchange._connection._sock.sendall(copy + b"Content-Length: 0\r\n\r\n")
        eventlet.sleep(0.05)
        exchange.respond(200, seal(fields), b"id: 1\ndata: 1\n\n")

    system.apply_state(listed_endpoints=system.listed_endpoints[:1])
    endpoints[0].handler = handler
    assert system.call(path, tokens=5000).status == 503
    second = system.call(path, id="r2", tokens=5000)
    assert second.status == 200
    assert len(endpoints[0].requests) == 2


@pytest.mark.parametrize("path", ["/once/", "/again/"])
def test_refusal_without_an_id_counts_on_a_new_connection(
    system, endpoints, answers, path
):
    script(endpoints, answers.reject)
    system.apply_state()
    response = system.call(path)
    assert response.status == 503
    assert connections.find_header(response.headers, b"retry-after")


def test_retry_uses_a_new_connection(system, endpoints, answers):
    """Guards against a copy of the refusal of an earlier attempt.

    Both attempts have the id of the request, which cannot tell them apart.
    """
    script(endpoints, answers.complete)
    for listed in system.listed_endpoints:
        system.apply_state(listed_endpoints=[listed])
        assert system.call("/again/", id="r0").status == 200
    system.apply_state()
    before = [len(e.requests) for e in endpoints]
    accepted = [0, 0]

    def reject_once(exchange, fields):
        if sum(len(e.requests) for e in endpoints) == sum(before) + 1:
            exchange.respond(503, (*seal(fields), (b"Not-Run", b"1")), b"")
            return
        number = [e.requests[-1][1] is fields for e in endpoints].index(True)
        accepted[number] = exchange._connection
        exchange.respond(200, seal(fields), b"done")

    connections_before = {
        id(c) for e in endpoints for c in e.server._connections
    }
    script(endpoints, reject_once)
    assert system.call("/again/", id="r9").status == 200
    (second,) = [c for c in accepted if c]
    assert id(second) not in connections_before


@pytest.mark.parametrize("path", ["/once/", "/fragile/"])
def test_answer_without_an_id_and_then_silence_fails_at_once(
    system, endpoints, path
):
    """Guards against a caller that waits until its deadline for nothing."""

    def handler(exchange, fields):
        exchange.start(200, ((b"Seal", b"1"),), 5)
        eventlet.sleep(30)

    system.apply_state()
    script(endpoints, handler)
    assert system.call(path, tokens=5000, wait=30000).status == 502


def test_resume_answered_without_an_id_and_then_silence_ends_at_once(
    system, endpoints, answers
):
    """Guards against a caller that waits until its deadline for nothing."""

    def handler(exchange, fields):
        if not fields[b"resume"]:
            answers.events(1, 2, end=False)(exchange, fields)
            return
        exchange.start(200, ((b"Seal", b"1"),), 5)
        eventlet.sleep(30)

    system.apply_state()
    script(endpoints, handler)
    with pytest.raises(base.EndpointFailedError, match="incomplete chunked"):
        system.call("/stream/", tokens=5000, wait=30000)


def _raw(status, body, headers=b"", framed=True):
    """Returns a handler that writes a sealed answer to a resumed stream."""

    def handler(exchange, fields):
        length = b"Content-Length: %d\r\n" % len(body) if framed else b""
        head = b"HTTP/1.1 %d \r\nId: r1\r\nSeal: 1\r\n" % status
        sock = exchange._connection._sock
        sock.sendall(head + headers + length + b"\r\n" + body)
        exchange.abort()

    return handler


_EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
_NOT_RESUMED = {
    "failure": _raw(500, b"engine failed\n\n"),
    "failure without a length": _raw(500, b"engine failed\n\n", framed=False),
    "refusal": _raw(503, b"full\n\n", b"Not-Run: 1\r\n"),
    "unknown": _raw(404, b"no such session\n\n"),
    "moved": _raw(302, b"", b"Location: /x\r\n"),
    "no content": _raw(204, b"", framed=False),
    "reset content": _raw(205, b""),
    "part": _raw(206, b"id: 3\ndata: 3\n\n"),
    "error as a success": _raw(
        200, b'{"e": 1}\n\n', b"Content-Type: application/json\r\n"
    ),
    "from the first event": _raw(200, _EVENTS + b"id: 3\ndata: 3\n\n"),
    "the last event again": _raw(200, b"id: 2\ndata: 2\n\n"),
    "event without an id": _raw(200, b"data: engine failed\n\n"),
}


@pytest.mark.parametrize("second", _NOT_RESUMED.values(), ids=_NOT_RESUMED)
def test_answer_that_does_not_resume_stays_out_of_the_stream(
    system, endpoints, answers, second
):
    """Guards against an error's text, or events twice, within a stream."""

    def handler(exchange, fields):
        if exchange.head.target == b"/load":
            exchange.respond(200, (), b"[0, 0]")
        elif fields[b"resume"]:
            second(exchange, fields)
        else:
            answers.events(1, 2, end=False)(exchange, fields)

    system.apply_state()
    script(endpoints, handler)
    conn = system.open("/stream/", tokens=5000)
    assert conn.read_head(3000).status == 200
    received = b""
    with pytest.raises(base.EndpointFailedError):
        while (data := conn.read_data(3000)) is not None:
            received += data
    assert received == _EVENTS


def test_stream_resumed_with_the_same_content_type_is_complete(
    system, endpoints, answers
):
    def handler(exchange, fields):
        start = int(fields[b"resume"] or 0)
        kind = b"text/event-stream" + (b"; charset=utf-8" if start else b"")
        exchange.start(200, (*seal(fields), (b"Content-Type", kind)), None)
        exchange.write(b"id: %d\ndata: x\n\n" % (start + 1))
        exchange.finish() if start else exchange.abort()

    system.apply_state()
    script(endpoints, handler)
    body = system.call("/stream/", tokens=5000).body
    assert body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"


def test_caller_that_resumes_gets_no_event_twice(system, endpoints, answers):
    """Guards against an engine that ignores where a caller goes on."""
    calls = []

    def handler(exchange, fields):
        calls.append(fields[b"resume"])
        first = 1 if len(calls) == 1 else 3
        exchange.respond(
            200, seal(fields), _EVENTS if first == 1 else b"id: 3\ndata: 3\n\n"
        )

    system.apply_state()
    script(endpoints, handler)
    response = system.call("/stream/", tokens=5000, after=2)
    assert response.body == b"id: 3\ndata: 3\n\n"
    assert calls == ["2", "2"]


def test_rejected_version_says_nothing_of_the_endpoint(
    system, endpoints, answers, eventually
):
    """Guards against a pinned version that takes endpoints out of use.

    Streams that run at an endpoint when it rejects the version go on.
    """
    released = []

    def handler(exchange, fields):
        if b"version" in fields:
            exchange.respond(421, (*seal(fields), (b"Not-Run", b"1")), b"")
            return
        exchange.start(200, seal(fields), None)
        exchange.write(b"id: 1\ndata: 1\n\n")
        while not released:
            eventlet.sleep(0.01)
        exchange.write(b"id: 2\ndata: 2\n\n")
        exchange.finish()

    system.apply_state()
    script(endpoints, handler)
    running = [
        system.open("/fragile/", id=f"s{i}", tokens=5000) for i in range(2)
    ]
    for conn in running:
        assert conn.read_head(3000).status == 200
    for number in range(4):
        pinned = system.call(
            "/stream/", id=f"p{number}", tokens=5000, version=1
        )
        assert pinned.status == 503
    released.append(True)
    for conn in running:
        assert conn.read_body(3000, 1000).endswith(b"id: 2\ndata: 2\n\n")
    for number in range(4):
        sound = system.call("/stream/", id=f"r{number}", tokens=5000)
        assert sound.status == 200
    now_ms = system.clock.now_ms()
    assert all(
        system.forwarder.restrictions.accepts(e, now_ms)
        for e in system.listed_endpoints
    )


def test_rejection_does_not_abort_the_next_attempt_of_its_request(
    system, endpoints, answers
):
    """Guards against an abort that meets the request which caused it."""
    script(endpoints, answers.misdirected, answers.events(1, 2))
    system.apply_state()
    assert system.call("/stream/", tokens=5000).status == 200
    repeated = [
        d.reason
        for d in system.log.decisions
        if isinstance(d, observe.decisions.Repeated)
    ]
    assert repeated == ["endpoint_replaced"]


def test_caller_that_leaves_during_a_reservation_stops_its_request(
    system, endpoints, answers, eventually
):
    """Guards against a reservation that takes the departure for a failure."""
    released = []

    def handler(exchange, fields):
        if exchange.head.target == b"/reserve" and not released:
            while not released:
                eventlet.sleep(0.01)
        if exchange.head.target in (b"/reserve", b"/release"):
            exchange.respond(200, (), b"{}")
        else:
            answers.events(1, 2)(exchange, fields)

    system.apply_state()
    script(endpoints, handler)
    conn = system.open("/stream/", tokens=600000, wait=15000)
    eventually(lambda: any(e.requests for e in endpoints))
    conn.close()
    eventually(
        lambda: any(
            isinstance(d, observe.decisions.CallerLeft)
            for d in system.log.decisions
        )
    )
    released.append(True)
    eventually(lambda: system.front_server.running == 0)
    eventlet.sleep(0.3)
    targets = [t for e in endpoints for t, _, _ in e.requests]
    assert "/stream/" not in targets
    assert not list(system.peers.view.of_instance("me"))
