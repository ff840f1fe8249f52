"""What is received of requests counts, and is read only if there is room."""

import eventlet
import pytest

from hollycart_core import connections

FIELDS = b"a:b\r\n" * 10000  # 50 KB, several times as large once parsed
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def fill(memory):
    """Holds some bytes that cannot be shed."""

    def hold(size):
        account = memory.budget.open()
        memory.add(account, size)
        return account

    return hold


def respond(exchange):
    exchange.respond(200, (), b"%d" % len(exchange.body))


def test_head_of_many_fields_counts_before_it_is_parsed(
    start_server, connect, memory, eventually
):
    """Guards against heads that take far more memory than bytes."""
    server = start_server(respond)
    for _ in range(4):
        connect(server.address, POST + FIELDS)
    eventually(lambda: memory.budget.held_bytes > 700 << 10)
    assert memory.budget.held_bytes < 2 << 20


def test_head_exceeds_its_limit_by_one_read_at_most(start_server, connect):
    """Guards against heads that are much longer than what is announced."""
    server = start_server(respond)
    server.limits = connections.ServerLimits(max_header_bytes=1000)
    sock = connect(server.address, POST + b"X-Field: " + b"x" * 12000)
    assert sock.recv(1000).split()[1] == b"431"


def test_ordinary_head_needs_no_account(start_server, connect, memory):
    held = []

    def handle(exchange):
        held.append(memory.budget.held_bytes)
        exchange.respond(200, (), b"")

    connect(start_server(handle).address, GET).recv(1000)
    assert held == [0]


def test_nothing_is_read_while_there_is_no_room(
    start_server, connect, memory, fill, eventually
):
    server = start_server(respond)
    fill(memory.budget.total_bytes + 1)
    held_bytes = memory.budget.held_bytes
    sock = connect(server.address, POST + b"Content-Length: 9\r\n\r\n123456789")
    # The client is told so, as its request was not read.
    assert sock.recv(1000) == b""
    assert memory.budget.held_bytes == held_bytes


def test_caller_is_served_once_there_is_room(
    start_server, connect, memory, fill
):
    memory.budget.wait_ms = 2000.0
    server = start_server(respond)
    account = fill(memory.budget.total_bytes + 1)
    sock = connect(server.address, POST + b"Content-Length: 9\r\n\r\n123456789")
    eventlet.sleep(0.05)
    memory.close(account)
    assert sock.recv(1000).endswith(b"9")


def test_request_that_runs_is_not_given_up_for_what_follows_it(
    start_server, connect, memory, fill
):
    def handle(exchange):
        fill(memory.budget.total_bytes)
        eventlet.sleep(0.3)  # longer than an account waits
        exchange.respond(200, (), b"done")

    server = start_server(handle)
    sock = connect(server.address, GET)
    eventlet.sleep(0.05)
    sock.sendall(GET * 2000)
    assert sock.recv(1000).endswith(b"done")


def test_caller_that_leaves_is_noticed_without_room(
    start_server, connect, memory, fill, eventually
):
    gone = []

    def handle(exchange):
        fill(memory.budget.total_bytes + 1)
        try:
            eventlet.sleep(30)
        except connections.CallerGoneError:
            gone.append(1)
            raise

    sock = connect(start_server(handle).address, GET)
    eventlet.sleep(0.05)
    sock.close()
    eventually(lambda: gone)


def test_what_follows_a_request_counts(
    start_server, connect, memory, eventually
):
    def handle(exchange):
        eventlet.sleep(1)
        exchange.respond(200, (), b"")

    sock = connect(start_server(handle).address, GET)
    eventlet.sleep(0.05)
    sock.sendall(GET * 2500)
    eventually(lambda: memory.budget.held_bytes > 20000)


def test_body_announced_over_the_limit_is_refused_before_it_is_read(
    start_server, connect, memory
):
    server = start_server(respond)
    server.limits = connections.ServerLimits(max_body_bytes=100000)
    head = POST + b"Expect: 100-continue\r\nContent-Length: 100001\r\n\r\n"
    sock = connect(server.address, head)
    assert sock.recv(1000).split()[1] == b"413"
    assert not memory.budget.held_bytes


def test_refusal_arrives_although_the_body_is_sent(
    start_server, connect, receive_all
):
    """A connection that is closed with bytes unread is reset."""
    server = start_server(respond)
    server.limits = connections.ServerLimits(max_body_bytes=100000)
    head = POST + b"Content-Length: 600000\r\n\r\n"
    sock = connect(server.address, head)
    sender = eventlet.spawn(sock.sendall, bytes(600000))
    received, was_reset = receive_all(sock)
    sender.wait()
    assert received.split()[1] == b"413"
    assert not was_reset
