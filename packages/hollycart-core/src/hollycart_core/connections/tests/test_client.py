import pytest

from hollycart_core import base
from hollycart_core import connections

HEAD = connections.RequestHead(b"POST", b"/a", ((b"Host", b"h"),))


@pytest.fixture
def exchange(clock, scripted_endpoint):
    """Returns a connection on which a scripted endpoint got a request."""

    def run(pieces, end):
        address, _ = scripted_endpoint(pieces, end)
        conn = connections.ClientConnection(address, clock)
        conn.start(1000)
        conn.send(HEAD, b"x", 1000)
        return conn

    return run


def test_body_without_length_ends_with_the_connection(exchange):
    conn = exchange([b"HTTP/1.1 200 OK\r\n\r\n", b"abc"], "close")
    assert conn.read_head(1000).length is None
    assert conn.read_body(1000, 100) == b"abc"
    assert not conn.is_reusable(0.0)


def test_reset_of_body_without_length_fails(exchange):
    conn = exchange([b"HTTP/1.1 200 OK\r\n\r\n", b"abc"], "reset")
    with pytest.raises(base.EndpointFailedError):
        conn.read_head(1000)
        conn.read_body(1000, 100)


def test_truncated_body_with_length_fails(exchange):
    conn = exchange(
        [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"], "close"
    )
    conn.read_head(1000)
    with pytest.raises(base.EndpointFailedError):
        conn.read_body(1000, 100)


def test_bytes_after_a_response_prevent_reuse_of_the_connection(exchange):
    conn = exchange(
        [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200"], "keep"
    )
    conn.read_head(1000)
    assert conn.read_body(1000, 100) == b"a"
    assert not conn.is_reusable(conn.clock.now_ms())


def test_response_after_a_foreign_one_is_read(exchange):
    foreign = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na"
    own = b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nbc"
    conn = exchange([foreign, own], "keep")
    conn.read_head(1000)
    conn.skip_foreign_response(HEAD)
    head = conn.read_head(1000)
    assert connections.find_header(head.headers, b"x-id") == "2"
    assert conn.read_body(1000, 100) == b"bc"
    assert not conn.is_reusable(conn.clock.now_ms())


def test_read_timeout_raises_silent_endpoint_error(exchange):
    conn = exchange([], "keep")
    with pytest.raises(base.SilentEndpointError):
        conn.read_head(20)


def test_malformed_response_fails(exchange):
    conn = exchange([b"\x00\x01 nonsense\r\n\r\n"], "keep")
    with pytest.raises(base.EndpointFailedError):
        conn.read_head(1000)


def test_refused_connection_raises_endpoint_unreachable_error(clock):
    conn = connections.ClientConnection("127.0.0.1:1", clock)
    with pytest.raises(base.EndpointUnreachableError):
        conn.start(200)


@pytest.mark.parametrize("timeout", [b"\xb2", b"-1", b"9" * 400, b""])
def test_odd_keep_alive_timeout_is_no_error(exchange, timeout):
    """Guards against a head of an endpoint that ends a request with 500."""
    head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%s\r\n" % timeout
    conn = exchange([head + b"Content-Length: 1\r\n\r\na"], "keep")
    assert conn.read_head(1000).status == 200


UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"


# What the kernel takes at once, and what is still written at the reset.
@pytest.mark.parametrize("size", [10, 1_000_000, 30_000_000])
def test_part_of_a_response_before_a_reset_during_the_upload_fails(
    size, scripted_endpoint, clock
):
    """Guards against a caller that gets it as a whole response."""
    address, _ = scripted_endpoint([UNFRAMED, b"part"], "reset")
    conn = connections.ClientConnection(address, clock)
    head = connections.RequestHead(b"POST", b"/", ((b"Host", b"h"),))
    conn.start(1000)
    with pytest.raises(base.EndpointFailedError):
        conn.send(head, bytes(size), 2000)
        conn.read_head(2000)
        conn.read_body(2000, 100)
    conn.close()


@pytest.mark.parametrize("status", [b"000", b"099"])
def test_response_with_a_status_below_100_fails(
    status, scripted_endpoint, clock
):
    answer = b"HTTP/1.1 %s Bad\r\nContent-Length: 2\r\n\r\nab" % status
    address, _ = scripted_endpoint([answer], "keep")
    conn = connections.ClientConnection(address, clock)
    conn.start(1000)
    conn.send(
        connections.RequestHead(b"GET", b"/", ((b"Host", b"h"),)), b"", 99
    )
    with pytest.raises(base.EndpointFailedError):
        conn.read_head(2000)
    conn.close()
