import eventlet
import pytest

from hollycart_bench import ports
from hollycart_bench import soak
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


def test_unreachable_target_resets_the_connection(proxy, target, clock):
    target.close()
    conn = connections.ClientConnection(proxy.address, clock)
    with pytest.raises(base.HollycartError):
        conn.start(1000.0)
        send_request(conn)
    conn.close()
