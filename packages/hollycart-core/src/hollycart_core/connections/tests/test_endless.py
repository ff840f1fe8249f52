"""Peers that send without end, faster than they are read."""

import itertools

import pytest

from hollycart_core import base
from hollycart_core import connections

HEAD = connections.RequestHead(b"POST", b"/a", ((b"Host", b"h"),))
PIECE_BYTES = 65536
MAX_BODY_BYTES = 4 << 20
# What a reader may receive of a message that it gives up, in bytes.
MAX_RECEIVED_BYTES = 8 << 20
SUCCESS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "large interim responses": (
        b"",
        b"HTTP/1.1 102 Processing\r\nX: " + b"x" * 9000 + b"\r\n\r\n",
    ),
    "header fields": (SUCCESS, b"X-Field: value\r\n"),
    "status line": (b"", b"HTTP/1.1 200 " + b"x" * 100),
    "blank lines": (b"", b"\r\n"),
}
BODIES = {
    "body without length": (SUCCESS + b"\r\n", b"x"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"extension"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: value\r\n"),
}


class EndlessSocket:
    """Always has bytes to read: first `head`, then `unit` without end."""

    def __init__(self, head, unit):
        self.fd = self
        self.received = 0
        repeated = unit * (PIECE_BYTES // len(unit))
        self._pieces = itertools.chain(
            [head] * bool(head), itertools.repeat(repeated)
        )

    def recv(self, size, flags=0):
        del flags
        data = next(self._pieces)
        assert len(data) <= size
        self.received += len(data)
        assert self.received <= MAX_RECEIVED_BYTES, "read without end"
        return data

    def settimeout(self, timeout):
        pass

    def sendall(self, data):
        pass

    def close(self):
        pass


@pytest.fixture
def exchange(clock):
    """Returns a connection on which a peer answers without end."""

    def run(head, unit):
        conn = connections.ClientConnection("peer", clock)
        conn._sock = sock = EndlessSocket(head, unit)
        conn.send(HEAD, b"x", 1000)
        return conn, sock

    return run


@pytest.mark.parametrize("kind", HEADS)
def test_head_without_end_fails_within_bounds(exchange, kind):
    conn, sock = exchange(*HEADS[kind])
    with pytest.raises(base.EndpointFailedError):
        conn.read_head(60000)
    assert not conn.is_open
    assert sock.received <= 1 << 20


@pytest.mark.parametrize("kind", BODIES)
def test_body_without_end_fails_within_bounds(exchange, kind):
    conn, _ = exchange(*BODIES[kind])
    conn.read_head(60000)
    with pytest.raises(base.EndpointFailedError):
        conn.read_body(60000, MAX_BODY_BYTES)
    assert not conn.is_open


@pytest.mark.parametrize("kind", BODIES)
def test_foreign_response_without_end_fails_within_bounds(exchange, kind):
    conn, _ = exchange(*BODIES[kind])
    conn.read_head(60000)
    with pytest.raises(base.EndpointFailedError):
        conn.skip_foreign_response(HEAD)
    assert not conn.is_open


@pytest.mark.parametrize("kind", ["body without length", "chunks of one byte"])
def test_reader_gives_way_while_data_is_always_ready(exchange, turns, kind):
    conn, _ = exchange(*BODIES[kind])
    conn.read_head(60000)
    with pytest.raises(base.EndpointFailedError):
        conn.read_body(60000, MAX_BODY_BYTES)
    assert len(turns) >= 10
