"""Endpoints that send without end, beside ones that are sound."""

import eventlet
import pytest

from hollycart_core import connections
from hollycart_core import routing

UNITS_IN_PIECE = 200
KINDS = ["interim", "body", "foreign", "event"]


@pytest.fixture
def endless():
    """Returns handlers that send a message without end."""

    def make(kind):
        def handler(exchange, fields):
            if exchange.head.target == b"/load":
                exchange.respond(200, (), b"[0, 0]")
                return
            own = b"HTTP/1.1 200 OK\r\nId: %s\r\nSeal: 1\r\n" % (
                fields[b"id"].encode()
            )
            head, unit = {
                "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
                "body": (own + b"\r\n", b"x" * 100),
                "foreign": (b"HTTP/1.1 200 OK\r\nId: old\r\n\r\n", b"x" * 100),
                "event": (
                    own + b"Transfer-Encoding: chunked\r\n\r\n",
                    b"1\r\nx\r\n",
                ),
            }[kind]
            sock = exchange._connection._sock
            try:
                sock.sendall(head)
                while True:
                    sock.sendall(unit * UNITS_IN_PIECE)
                    eventlet.sleep(0)
            except OSError:
                exchange.abort()

        return handler

    return make


@pytest.fixture
def patient(system, config):
    """Applies a state in which no time limit decides the outcome."""
    routes = [r._replace(timeout_ms=60000) for r in config.routes]
    system.apply_state(
        config=routing.RoutingConfig(
            1, routes, list(config.services.values()), config.teams
        )
    )
    call = system.call

    def wait(path, **fields):
        return call(path, timeout_ms=60000, wait=60000, **fields)

    system.call = wait
    return system


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("path", ["/again/", "/stream/"])
def test_request_is_served_elsewhere_if_an_endpoint_sends_without_end(
    patient, endpoints, answers, endless, kind, path
):
    endpoints[0].handler = endless(kind)
    endpoints[1].handler = (
        answers.complete if path == "/again/" else answers.events(1, 3)
    )
    tokens = 100 if path == "/stream/" else 0
    for _ in range(3):
        assert patient.call(path, tokens=tokens).status == 200


@pytest.mark.parametrize("kind", KINDS)
def test_non_idempotent_request_fails_at_once_at_an_endless_endpoint(
    patient, endpoints, answers, endless, kind
):
    """It may have run, so it is not sent again; a timeout would give 504."""
    endpoints[0].handler = endpoints[1].handler = endless(kind)
    response = patient.call("/once/")
    assert response.status == 502
    sent = [path for e in endpoints for path, _, _ in e.requests]
    assert [path for path in sent if path != "/load"] == ["/once/"]
    assert sent.count("/load") <= 1


@pytest.mark.parametrize("kind", KINDS)
def test_others_are_served_while_an_endpoint_sends_without_end(
    patient, endpoints, answers, endless, kind
):
    endpoints[0].handler = endless(kind)
    endpoints[1].handler = answers.complete
    stuck = [eventlet.spawn(patient.call, "/again/") for _ in range(3)]
    for _ in range(5):
        assert patient.call("/again/").status == 200
    assert [thread.wait().status for thread in stuck] == [200] * 3


def test_stream_that_stalls_with_a_byte_now_and_then_is_resumed(
    system, endpoints, answers
):
    def stall(exchange, fields):
        exchange.start(
            200, ((b"Id", fields[b"id"].encode()), (b"Seal", b"1")), None
        )
        exchange.write(b"id: 1\ndata: 1\n\n")
        while True:
            exchange.write(b"x")
            eventlet.sleep(0.05)

    system.apply_state()
    first, second = endpoints
    first.handler = stall
    second.handler = answers.events(1, 3)
    # Both are tried first by some request; each ends with all events.
    for _ in range(2):
        response = system.call("/stream/", tokens=100, timeout_ms=14000)
        assert response.status == 200
        assert response.body.endswith(b"id: 3\ndata: 3\n\n")


def test_rejection_counts_although_its_body_never_ends(
    system, endpoints, answers
):
    def reject(exchange, fields):
        sock = exchange._connection._sock
        try:
            sock.sendall(b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n")
            while True:
                sock.sendall(b"x" * 1000)
                eventlet.sleep(0)
        except OSError:
            exchange.abort()

    system.apply_state()
    endpoints[0].handler = reject
    endpoints[1].handler = answers.complete
    assert [system.call("/once/").status for _ in range(3)] == [200] * 3
    for endpoint in endpoints:
        endpoint.handler = reject
    response = system.call("/once/")
    assert response.status == 503
    assert connections.find_header(response.headers, b"retry-after")
