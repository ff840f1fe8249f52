import pytest

from hollycart_core import base
from hollycart_core import connections

HEAD = connections.RequestHead(b"GET", b"/a", ((b"Host", b"h"),))
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"


class SteppedClock(base.SystemClock):
    """System clock that a test moves forward."""

    def __init__(self):
        super().__init__()
        self.offset_ms = 0.0

    def now_ms(self):
        return super().now_ms() + self.offset_ms


@pytest.fixture
def stepped_clock():
    return SteppedClock()


@pytest.fixture
def use(stepped_clock, scripted_endpoint):
    """Makes a call on a pooled connection to a new address."""

    def call(pool, end="keep", keep_alive=b"4"):
        answer = _ANSWER + b"Keep-Alive: timeout=%s\r\n\r\na" % keep_alive
        address, _ = scripted_endpoint([answer], end)
        conn = pool.acquire(address, 1000)
        conn.send(HEAD, b"", 1000)
        conn.read_head(1000)
        conn.read_body(1000, 10)
        pool.release_connection(conn)
        return conn

    return call


def test_idle_connections_to_addresses_of_the_past_are_closed(
    stepped_clock, use
):
    """Guards against descriptors that pile up while endpoints come and go."""
    pool = connections.ConnectionPool(stepped_clock)
    conns = [use(pool) for _ in range(5)]
    assert pool.count_idle() == 5
    stepped_clock.offset_ms += 3000.0
    last = use(pool)
    assert pool.count_idle() == 1
    assert [c.is_open for c in (*conns, last)] == [False] * 5 + [True]
    pool.close()


def test_idle_connections_that_may_be_reused_are_kept(stepped_clock, use):
    pool = connections.ConnectionPool(stepped_clock)
    kept = use(pool, keep_alive=b"60")
    stepped_clock.offset_ms += 3000.0
    use(pool)
    assert kept.is_open
    assert pool.count_idle() == 2
    pool.close()
