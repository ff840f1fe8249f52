"""Callers that read slowly, or send slowly, in front of a bounded memory."""

import socket

import eventlet
import pytest

from hollycart_core import connections
from hollycart_core.connections import _server_connection

BODY = bytes(range(256)) * 2000  # 512 KB, more than the kernel holds here
PARTS = [BODY[i : i + 65536] for i in range(0, len(BODY), 65536)]
GET = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
GET_1_0 = b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n"


def respond(exchange):
    exchange.hold(len(BODY))
    exchange.respond_parts(200, (), PARTS)


def write_chunks(exchange):
    exchange.start(200, (), None)
    for part in PARTS:
        exchange.write(part)
    exchange.finish()


FRAMINGS = {
    "length": (respond, GET),
    "chunked": (write_chunks, GET),
    "connection": (write_chunks, GET_1_0),
}


def content(received):
    """Returns the body of a complete response; None if it is truncated."""
    head, _, body = received.partition(b"\r\n\r\n")
    if not head:
        return None
    if b"content-length" in head.lower():
        return body if len(body) == len(BODY) else None
    if b"chunked" not in head.lower():
        return body
    parts = []
    while True:
        size, _, body = body.partition(b"\r\n")
        if not size or len(body) < int(size, 16) + 2:
            return None
        if not int(size, 16):
            return b"".join(parts)
        parts.append(body[: int(size, 16)])
        body = body[int(size, 16) + 2 :]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_handler_goes_on_before_the_caller_reads(
    framing, start_server, memory, connect, receive_all, eventually
):
    """Else a response occupies its engine until its caller has read it."""
    handler, request = FRAMINGS[framing]
    returned = []

    def handle(exchange):
        handler(exchange)
        returned.append(memory.budget.held_bytes)

    sock = connect(start_server(handle).address, request)
    eventually(lambda: returned)
    assert returned[0] > len(BODY) // 2
    received, was_reset = receive_all(sock)
    assert content(received) == BODY
    assert not was_reset
    eventually(lambda: not memory.budget.held_bytes)
    assert not memory.buffered_responses


def test_prompt_caller_needs_no_buffer(start_server, memory, connect):
    """Neither a copy nor a thread."""
    held = []

    def handle(exchange):
        exchange.respond(200, (), b"abc")
        held.append((memory.budget.held_bytes, memory.buffered_responses))

    sock = connect(start_server(handle).address, GET)
    assert sock.recv(1000).endswith(b"abc")
    assert held == [(0, 0)]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_shed_response_does_not_look_complete(
    framing, start_server, memory, connect, receive_all, eventually
):
    handler, request = FRAMINGS[framing]
    errors = []

    def handle(exchange):
        try:
            handler(exchange)
            exchange.flush()
        except connections.ResponseShedError as exc:
            errors.append(exc)
            raise

    server = start_server(handle)
    socks = [connect(server.address, request) for _ in range(4)]
    eventually(lambda: len(errors) >= 2)
    assert memory.budget.held_bytes <= memory.budget.total_bytes
    outcomes = [receive_all(sock) for sock in socks]
    whole = [content(r) for r, was_reset in outcomes if not was_reset]
    whole = [body for body in whole if body is not None]
    assert whole == [BODY] * (4 - len(errors))


def test_quick_caller_is_served_beside_slow_ones(
    start_server, connect, receive_all, eventually, memory
):
    server = start_server(respond)
    for _ in range(4):
        connect(server.address, GET)
    for _ in range(4):
        # There is no room beside a response that is not read.
        eventually(lambda: memory.buffered_responses == server.running)
        eventually(lambda: memory.budget.held_bytes > len(BODY) // 2)
        eventlet.sleep(0.1)
        received, _ = receive_all(connect(server.address, GET))
        assert content(received) == BODY
        connect(server.address, GET)


def test_caller_that_leaves_is_noticed_while_its_response_is_buffered(
    start_server, memory, connect, eventually
):
    gone = []

    def handle(exchange):
        exchange.start(200, (), None)
        exchange.write(BODY)
        try:
            eventlet.sleep(30)  # the engine still runs
        except connections.CallerGoneError:
            gone.append(1)
            raise

    sock = connect(start_server(handle).address, GET)
    eventually(lambda: memory.buffered_responses)
    sock.close()
    eventually(lambda: gone)
    eventually(lambda: not memory.budget.held_bytes)
    assert not memory.buffered_responses


def test_caller_that_reads_nothing_is_disconnected(
    start_server, memory, connect, eventually, monkeypatch
):
    monkeypatch.setattr(_server_connection, "_WRITE_TIMEOUT_MS", 100.0)
    server = start_server(write_chunks)
    connect(server.address, GET)
    eventually(lambda: memory.buffered_responses)
    eventually(lambda: not server.running)
    assert not memory.budget.held_bytes


def test_caller_that_reads_slowly_is_not_disconnected(
    start_server, memory, connect, eventually, monkeypatch
):
    """The kernel reports room only once a third of its buffer is free."""
    monkeypatch.setattr(_server_connection, "_WRITE_TIMEOUT_MS", 200.0)
    server = start_server(respond)
    sock = connect(server.address, GET)
    eventually(lambda: memory.buffered_responses)
    for _ in range(60):
        sock.recv(1400)
        eventlet.sleep(0.02)
    assert server.running == 1


def test_stop_delivers_what_is_buffered(start_server, connect, receive_all):
    server = start_server(respond)
    sock = connect(server.address, GET)
    while not server.running:
        eventlet.sleep(0.005)
    receiver = eventlet.spawn(receive_all, sock)
    server.drain()
    server.finish(5000.0)
    server.close()
    assert content(receiver.wait()[0]) == BODY


@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_that_the_stop_cuts_does_not_look_complete(
    framing, start_server, memory, connect, receive_all, eventually
):
    handler, request = FRAMINGS[framing]
    server = start_server(handler)
    sock = connect(server.address, request)
    eventually(lambda: memory.buffered_responses)
    server.close()
    received, was_reset = receive_all(sock)
    assert was_reset or content(received) is None


def post(size):
    return b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size


def answer_or_refuse(exchange):
    if exchange.refusal is not None:
        exchange.respond(exchange.refusal.http_status, (), b"")
        return
    exchange.respond(200, (), b"%d" % len(exchange.body))


def test_body_that_is_never_completed_gives_way_to_another(
    start_server, connect, eventually, memory
):
    server = start_server(answer_or_refuse)
    for _ in range(2):
        connect(server.address, post(600000) + bytes(500000))
    eventually(lambda: memory.budget.held_bytes > 900000)
    sock = connect(server.address, post(300000) + bytes(300000))
    assert sock.recv(65536).endswith(b"300000")


def test_refused_body_is_answered_although_the_rest_arrives(
    start_server, connect, receive_all
):
    """A connection closed at once is reset, and the answer lost."""
    server = start_server(answer_or_refuse)
    sock = connect(server.address, post(2000000))
    sender = eventlet.spawn(sock.sendall, bytes(2000000))
    received, was_reset = receive_all(sock)
    sender.wait()
    assert received.split()[1] == b"503"
    assert b"connection: close" in received.lower()
    assert not was_reset


def test_body_of_a_running_request_counts_until_it_is_given_up(
    start_server, connect, memory
):
    sizes = []

    def handle(exchange):
        sizes.append(memory.budget.held_bytes)
        exchange.release_body()
        sizes.append(memory.budget.held_bytes)
        exchange.respond(200, (), b"")

    sock = connect(start_server(handle).address, post(3) + b"abc")
    sock.recv(1000)
    assert sizes == [3, 0]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_nothing_is_sent_after_a_part_was_discarded(
    framing, start_server, connect, receive_all
):
    """The handler goes on before it is interrupted; no bytes may be missing.

    A green thread that is due already runs before the one that interrupts it.
    """
    _, request = FRAMINGS[framing]
    refused = []

    def write_on(exchange):
        length = None if framing != "length" else len(BODY)
        exchange.start(200, (), length)
        for part in PARTS[:4]:
            exchange.write(part)
        exchange._connection.memory._shed()
        try:
            for part in PARTS[4:]:
                exchange.write(part)
            exchange.finish()
        except connections.ResponseShedError:
            refused.append(True)
            raise

    server = start_server(write_on)
    received, reset = receive_all(connect(server.address, request))
    assert refused
    assert reset or content(received) is None
    body = received.partition(b"\r\n\r\n")[2]
    assert framing == "chunked" or BODY.startswith(body)


def test_next_request_of_a_slow_caller_has_the_usual_timeout(
    start_server, connect, eventually
):
    """Else a caller that vanishes is noticed after two minutes, not 20 s."""
    timeouts_ms = []

    def answer(exchange):
        sock = exchange._connection._sock
        timeouts_ms.append(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        )
        respond(exchange)

    server = start_server(answer)
    request = GET.replace(b"Connection: close\r\n", b"")
    sock = connect(server.address, request)
    eventlet.sleep(0.1)  # the caller does not read at first
    received = b""
    while not received or content(received) is None:
        received += sock.recv(65536)
    sock.sendall(request)
    eventually(lambda: len(timeouts_ms) == 2)
    assert timeouts_ms[0] == timeouts_ms[1]
