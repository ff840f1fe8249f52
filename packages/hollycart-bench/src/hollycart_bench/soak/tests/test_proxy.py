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
    made = soak.Proxy(f"{ports.HOST}:{ports.find_free_port()}", target.address)
    made.start()
    yield made
    made.close()


@pytest.fixture
def conn(proxy, clock):
    made = connections.ClientConnection(proxy.address, clock)
    made.start(1000.0)
    yield made
    made.close()


def ask(conn, timeout_ms=2000.0):
    conn.send(HEAD, b"", 1000.0)
    head = conn.read_head(timeout_ms)
    return head.status, conn.read_body(1000.0, 100)


def test_bytes_pass(conn):
    assert ask(conn) == (200, b"answer")


def test_nothing_passes_a_cut_and_all_does_afterwards(conn, proxy, clock):
    proxy.cut = True
    conn.send(HEAD, b"", 1000.0)
    with pytest.raises(base.SilentEndpointError):
        conn.read_head(200.0)
    proxy.cut = False
    later = connections.ClientConnection(proxy.address, clock)
    later.start(1000.0)
    assert ask(later) == (200, b"answer")
    later.close()


def test_reset_ends_connections(conn, proxy):
    assert ask(conn) == (200, b"answer")
    proxy.reset()
    eventlet.sleep(0.05)
    with pytest.raises(base.HollycartError):
        ask(conn)


def test_target_that_is_gone_resets(proxy, target, clock):
    target.close()
    conn = connections.ClientConnection(proxy.address, clock)
    with pytest.raises(base.HollycartError):
        conn.start(1000.0)
        ask(conn)
    conn.close()
