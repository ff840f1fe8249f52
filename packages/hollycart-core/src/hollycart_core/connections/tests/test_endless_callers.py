"""Callers that send without end, or a byte now and then."""

import itertools

import pytest

from hollycart_core import connections
from hollycart_core.connections import _server_connection

PIECE_BYTES = 65536
LIMITS = connections.ServerLimits(max_body_bytes=1 << 20)
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
MAX_READ_BYTES = 4 << 20
# The largest body takes six times its size in chunks of one byte.
MAX_CHUNKED_BYTES = 6 * LIMITS.max_body_bytes + (2 << 20)
FLOODS = {
    "header fields": (POST, b"X-Field: value\r\n", b"431"),
    "request line": (b"GET /", b"a", b"431"),
    "body in tiny chunks": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
        b"413",
    ),
    "body with a length": (
        POST + b"Content-Length: 99999999\r\n\r\n",
        b"x",
        b"413",
    ),
}


class FloodingSocket:
    """Caller's socket that always has bytes to read."""

    def __init__(self, head, unit, max_bytes=MAX_READ_BYTES):
        self.max_bytes = max_bytes
        self.head = head
        self.units = unit * (PIECE_BYTES // len(unit))
        self.sent = b""
        self.received = 0
        self._pieces = itertools.chain([head], itertools.repeat(self.units))
        self._unread = b""

    def recv(self, size):
        self._unread = self._unread or next(self._pieces)
        data, self._unread = self._unread[:size], self._unread[size:]
        self.received += len(data)
        assert self.received <= self.max_bytes, "read without end"
        return data

    @property
    def fd(self):
        return self

    def shutdown(self, how):
        pass

    def settimeout(self, timeout):
        pass

    def sendall(self, data):
        self.sent += data

    def close(self):
        pass


@pytest.fixture
def server(clock):
    return connections.HttpExchangeServer(
        "127.0.0.1:0", lambda exchange: None, clock, LIMITS
    )


def serve(server, sock):
    _server_connection.ServerConnection(server, sock).run()


@pytest.mark.parametrize("kind", FLOODS)
def test_request_without_end_is_refused_within_bounds(server, kind):
    head, unit, status = FLOODS[kind]
    chunked = kind == "body in tiny chunks"
    max_bytes = MAX_CHUNKED_BYTES if chunked else MAX_READ_BYTES
    sock = FloodingSocket(head, unit, max_bytes)
    serve(server, sock)
    assert sock.sent.split()[1] == status


def test_others_run_while_a_request_arrives_without_end(server, turns):
    head, unit, _ = FLOODS["body in tiny chunks"]
    serve(server, FloodingSocket(head, unit, MAX_CHUNKED_BYTES))
    assert len(turns) >= 10


def test_pipelined_requests_without_end_are_read_as_they_are_served(
    server, turns
):
    """The handler responds without waiting."""
    served = []
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    sock = FloodingSocket(request, request)

    def respond(exchange):
        exchange.respond(200, (), b"")
        served.append(1)
        if len(served) == 1000:
            raise connections.CallerGoneError("enough")

    server.handler = respond
    serve(server, sock)
    assert len(turns) >= 10
    assert sock.received <= len(request) * len(served) + 4 * PIECE_BYTES


def test_body_that_comes_a_byte_now_and_then_times_out(server, clock):
    class SlowSocket(FloodingSocket):
        def recv(self, size):
            if self.received:
                clock.sleep_ms(20)
            self.received += 1
            return self.head if self.received == 1 else b"x"

    server.limits = LIMITS._replace(body_timeout_ms=100.0)
    sock = SlowSocket(POST + b"Content-Length: 1000000\r\n\r\n", b"x")
    serve(server, sock)
    assert sock.sent.split()[1] == b"408"
    assert sock.received < 1000
