import eventlet
import pytest

from hollycart_bench import ports
from hollycart_bench import soak
from hollycart_bench.soak import _proxy
from hollycart_core import base
from hollycart_core import connections

HEAD = connections.RequestHead(b"GET", b"/", ((b"Host", b"h"),))


@pytest.fixture
def clock():
    return base.SystemClock()


@pytest.fixture
def target(clock):
    server = connections.HttpExchangeServer(
        f"{ports.HOST}:{ports.find_free_port()}",
        lambda exchange: exchange.respond(200, (), b"answer"),
        clock,
    )
    server.start()
    yield server
    server.close()


@pytest.fixture
def proxy(target):
    made = soak.FaultProxy(
        f"{ports.HOST}:{ports.find_free_port()}", target.address
    )
    made.start()
    yield made
    made.close()


@pytest.fixture
def conn(proxy, clock):
    made = connections.ClientConnection(proxy.address, clock)
    made.start(1000.0)
    yield made
    made.close()


def send_request(conn, timeout_ms=2000.0):
    conn.send(HEAD, b"", 1000.0)
    head = conn.read_head(timeout_ms)
    return head.status, conn.read_body(1000.0, 100)


def test_requests_and_responses_are_forwarded(conn):
    assert send_request(conn) == (200, b"answer")


def test_blackhole_forwards_nothing_until_it_ends(conn, proxy, clock):
    proxy.blackholed = True
    conn.send(HEAD, b"", 1000.0)
    with pytest.raises(base.SilentEndpointError):
        conn.read_head(200.0)
    proxy.blackholed = False
    later = connections.ClientConnection(proxy.address, clock)
    later.start(1000.0)
    assert send_request(later) == (200, b"answer")
    later.close()


def test_reset_closes_open_connections(conn, proxy):
    assert send_request(conn) == (200, b"answer")
    proxy.reset()
    eventlet.sleep(0.05)
    with pytest.raises(base.HollycartError):
        send_request(conn)


@pytest.fixture
def unframed_stream(clock):
    """Address of a server that sends a part of a response without a length.

    `ends` collects functions that end the connections by a reset.
    """
    ends = []

    def handler(exchange):
        sock = exchange.detach()
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nid: 1\n\n")
        ends.append(lambda: _proxy._reset(sock))
        eventlet.sleep(30)

    server = connections.HttpExchangeServer(
        f"{ports.HOST}:{ports.find_free_port()}", handler, clock
    )
    server.start()
    proxy = soak.FaultProxy(
        f"{ports.HOST}:{ports.find_free_port()}", server.address
    )
    proxy.start()
    yield proxy, ends
    proxy.close()
    server.close()


@pytest.mark.parametrize("by", ["proxy", "target"])
def test_reset_does_not_look_like_the_end_of_a_response(
    unframed_stream, clock, by
):
    proxy, ends = unframed_stream
    conn = connections.ClientConnection(proxy.address, clock)
    conn.start(1000.0)
    conn.send(HEAD, b"", 1000.0)
    conn.read_head(1000.0)
    assert conn.read_data(1000.0)
    proxy.reset() if by == "proxy" else ends[0]()
    with pytest.raises(base.EndpointFailedError):
        conn.read_data(1000.0)
    conn.close()


def test_unreachable_target_resets_the_connection(proxy, target, clock):
    target.close()
    conn = connections.ClientConnection(proxy.address, clock)
    with pytest.raises(base.HollycartError):
        conn.start(1000.0)
        send_request(conn)
    conn.close()
