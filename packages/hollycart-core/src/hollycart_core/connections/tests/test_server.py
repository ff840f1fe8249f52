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


_SMALL = connections.ServerLimits(
    max_header_bytes=1000,
    max_body_bytes=1000,
    header_timeout_ms=3000.0,
    idle_timeout_ms=300.0,
)
_LARGE = connections.ServerLimits(
    max_header_bytes=400_000,
    max_body_bytes=400_000,
    header_timeout_ms=3000.0,
    idle_timeout_ms=10000.0,
)
_REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s"


@pytest.fixture
def call_after_change(start_server):
    """Sends a request on a connection that was idle when limits changed."""
    socks = []

    def call(before, after, request, idle_s=0.02):
        server = start_server(lambda exchange: exchange.respond(200, (), b""))
        server.limits = before
        host, port = server.address.rsplit(":", 1)
        sock = green_socket.create_connection((host, int(port)))
        socks.append(sock)
        sock.settimeout(5)
        sock.sendall(_REQUEST % (1, b"", b"x"))
        assert sock.recv(65536).split()[1] == b"200"
        eventlet.sleep(0.02)
        server.limits = after
        eventlet.sleep(idle_s)
        sock.sendall(request)
        received = sock.recv(65536)
        return received.split()[1] if received else b"closed"

    yield call
    for sock in socks:
        sock.close()


_BODY = _REQUEST % (200_000, b"", b"x" * 200_000)
_HEAD = _REQUEST % (1, b"X-Field: " + b"a" * 200_000 + b"\r\n", b"x")


@pytest.mark.parametrize("request_bytes", [_BODY, _HEAD], ids=["body", "head"])
def test_kept_connection_follows_larger_limits(
    call_after_change, request_bytes
):
    """Guards against proper requests refused by the limits of the past."""
    assert call_after_change(_SMALL, _LARGE, request_bytes) == b"200"


def test_kept_connection_stays_open_by_a_longer_idle_timeout(
    call_after_change,
):
    request = _REQUEST % (1, b"", b"x")
    assert call_after_change(_SMALL, _LARGE, request, idle_s=0.6) == b"200"


@pytest.mark.parametrize(
    ("request_bytes", "status"), [(_BODY, b"413"), (_HEAD, b"431")]
)
def test_kept_connection_follows_smaller_limits(
    call_after_change, request_bytes, status
):
    assert call_after_change(_LARGE, _SMALL, request_bytes) == status


@pytest.mark.parametrize(
    ("size", "chunk_bytes"), [(1 << 20, 48), (200_000, 12), (100_000, 1)]
)
def test_body_in_many_small_chunks_is_received(start_server, size, chunk_bytes):
    """Guards against proper bodies refused for the number of their pieces."""
    received = []

    def handler(exchange):
        received.append(exchange.body)
        exchange.respond(200, (), b"")

    server = start_server(handler)
    host, port = server.address.rsplit(":", 1)
    sock = green_socket.create_connection((host, int(port)))
    sock.settimeout(30)
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    count = size // chunk_bytes
    sock.sendall(
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    sock.sendall(chunk * count + b"0\r\n\r\n")
    assert sock.recv(65536).split()[1] == b"200"
    assert received == [b"x" * (chunk_bytes * count)]
    sock.close()


def test_largest_body_is_received_in_the_smallest_chunks(start_server):
    """Guards against a limit on framing that counts the body against it."""
    received = []

    def handler(exchange):
        received.append(len(exchange.body))
        exchange.respond(200, (), b"")

    server = start_server(handler)
    server.limits = connections.ServerLimits(max_body_bytes=50_000)
    host, port = server.address.rsplit(":", 1)
    sock = green_socket.create_connection((host, int(port)))
    sock.settimeout(30)
    sock.sendall(
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    sock.sendall(b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
    assert sock.recv(65536).split()[1] == b"200"
    assert received == [50_000]
    sock.close()
