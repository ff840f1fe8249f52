import socket

import eventlet
from eventlet import greenio
from eventlet.green import socket as green_socket
import pytest

from hollycart_core import connections
from hollycart_core.connections import _server_connection


@pytest.fixture
def start_server(clock):
    """Starts a server with the given handler; returns it."""
    servers = []

    def start(handler):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        server = connections.HttpExchangeServer(
            f"127.0.0.1:{port}", handler, clock
        )
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.close()


def receive_all(server, version):
    """Returns the received bytes, and whether the connection was reset."""
    host, _, port = server.address.rpartition(":")
    sock = green_socket.socket()
    sock.connect((host, int(port)))
    sock.sendall(b"GET /a HTTP/%s\r\nHost: h\r\n\r\n" % version)
    received = b""
    while True:
        try:
            # eventlet's recv reports a reset as an orderly close.
            data = sock.fd.recv(65536)
        except BlockingIOError:
            eventlet.sleep(0.005)
            continue
        except ConnectionResetError:
            return received, True
        if not data:
            return received, False
        received += data


def abort_in_the_middle(exchange):
    exchange.start(200, (), None)
    exchange.write(b"abc")
    eventlet.sleep(0.05)
    exchange.abort()


def test_aborted_response_to_http_1_0_does_not_look_complete(start_server):
    server = start_server(abort_in_the_middle)
    received, was_reset = receive_all(server, b"1.0")
    assert received.endswith(b"abc")
    assert was_reset


def test_aborted_chunked_response_lacks_its_last_chunk(start_server):
    server = start_server(abort_in_the_middle)
    received, was_reset = receive_all(server, b"1.1")
    assert b"abc" in received
    assert not received.endswith(b"0\r\n\r\n")
    assert not was_reset


def test_response_to_http_1_0_cut_by_closing_the_server_is_reset(start_server):
    handlers = []

    def handler(exchange):
        exchange.start(200, (), None)
        exchange.write(b"abc")
        handlers.append(eventlet.getcurrent())
        eventlet.sleep(30)

    server = start_server(handler)
    receiver = eventlet.spawn(receive_all, server, b"1.0")
    while not handlers:
        eventlet.sleep(0.005)
    server.close()
    assert receiver.wait()[1]


def test_complete_response_to_http_1_0_ends_orderly(start_server):
    def handler(exchange):
        exchange.start(200, (), None)
        exchange.write(b"abc")
        exchange.finish()

    received, was_reset = receive_all(start_server(handler), b"1.0")
    assert received.endswith(b"abc")
    assert not was_reset


def test_detached_connection_is_left_to_the_handler(start_server):
    def handler(exchange):
        sock = exchange.detach()
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nabc")
        sock.close()

    received, was_reset = receive_all(start_server(handler), b"1.1")
    assert received == b"HTTP/1.1 200 OK\r\n\r\nabc"
    assert not was_reset


def test_requests_that_arrived_before_the_stop_are_answered(
    start_server, clock
):
    """On connections not accepted yet, and on kept ones, nothing was read."""

    def handler(exchange):
        eventlet.sleep(0.01)
        exchange.respond(200, (), b"done")

    server = start_server(handler)
    host, _, port = server.address.rpartition(":")
    request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
    kept = green_socket.socket()
    kept.connect((host, int(port)))
    kept.sendall(request)
    assert b"done" in kept.recv(65536)
    socks = [kept]
    for _ in range(5):
        sock = socket.create_connection((host, int(port)))
        socks.append(sock)
    for sock in socks:
        (sock.fd if sock is kept else sock).send(request)
    server.drain()
    server.finish(2000.0)
    server.close()
    for sock in socks:
        sock.settimeout(5)
        received = sock.recv(65536)
        assert received.endswith(b"done")
        assert b"connection: close" in received.lower()
        sock.close()


def test_connection_whose_thread_starts_after_the_close_ends_silently(
    start_server,
):
    server = start_server(lambda exchange: exchange.respond(200, (), b""))
    ours, theirs = socket.socketpair()
    conn = _server_connection.ServerConnection(
        server, greenio.GreenSocket(ours)
    )
    conn.terminate()
    conn.run()
    theirs.close()
