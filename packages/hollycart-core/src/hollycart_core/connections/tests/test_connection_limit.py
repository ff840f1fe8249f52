"""More clients than there is room for."""

from typing import NamedTuple

import eventlet
import pytest

from hollycart_core.connections import _connection_limit

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Connection(NamedTuple):
    busy: bool
    active_ms: float
    stalled_since_ms: float | None = None


IDLE = Connection(False, 50.0)
IDLE_LONG = Connection(False, 10.0)
RUNNING = Connection(True, 1.0)
STALLED = Connection(True, 1.0, 3000.0)
STALLED_LONG = Connection(True, 1.0, 2000.0)
STALLED_SHORTLY = Connection(True, 1.0, 4900.0)


@pytest.mark.parametrize(
    ("open_connections", "victim"),
    [
        ([IDLE, IDLE_LONG, RUNNING, STALLED], IDLE_LONG),
        ([RUNNING, STALLED, STALLED_LONG], STALLED_LONG),
        ([RUNNING, STALLED_SHORTLY], None),
        ([], None),
    ],
)
def test_choice_of_the_connection_that_gives_way(open_connections, victim):
    found = _connection_limit.choose_victim(open_connections, 5000.0)
    assert found is victim


@pytest.mark.parametrize("sent", [b"", b"GET /a HT", GET], ids=str)
def test_caller_is_served_although_all_places_are_taken(
    sent, start_server, connect, eventually
):
    server = start_server(lambda exchange: exchange.respond(200, (), b""), 8)
    for _ in range(20):
        connect(server.address, sent)
    eventually(lambda: (server.evicted, server.connection_count) == (12, 8))
    assert connect(server.address, GET).recv(1000).split()[1] == b"200"


def test_request_in_flight_keeps_its_connection(
    start_server, connect, eventually
):
    """Guards against callers who lose their answers to a crowd."""

    def handle(exchange):
        eventlet.sleep(0.3)
        exchange.respond(200, (), b"done")

    server = start_server(handle, 4)
    socks = [connect(server.address, GET) for _ in range(4)]
    eventually(lambda: server.running == 4)
    assert connect(server.address, GET).recv(1000) == b""
    assert server.refused == 1
    assert all(sock.recv(1000).endswith(b"done") for sock in socks)


def test_caller_that_does_not_read_gives_way(
    start_server, connect, eventually, monkeypatch
):
    monkeypatch.setattr(_connection_limit, "_MIN_STALL_MS", 100.0)

    def handle(exchange):
        exchange.respond(200, (), bytes(500_000))
        exchange.flush()

    server = start_server(handle, 1)
    connect(server.address, GET)
    eventually(lambda: server.running == 1)
    eventlet.sleep(0.2)
    assert connect(server.address, GET).recv(100).split()[1] == b"200"
    assert server.evicted == 1
