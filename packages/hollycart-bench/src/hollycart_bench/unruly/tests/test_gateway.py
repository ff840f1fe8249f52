"""Gateway processes in front of clients that do not behave."""

import eventlet
import pytest

from hollycart_bench import unruly
from hollycart_bench.soak import _engine
from hollycart_bench.soak import _system
from hollycart_core import base
from hollycart_core import connections
import hollycart_standins

MEMORY_BYTES = 128 << 20  # that the process is told to have
MAX_DESCRIPTORS = 400  # likewise
_ATTEMPTS = 20
_MAX_ANSWER_BYTES = 1 << 20
_TIMEOUT_MS = 10000.0


@pytest.fixture
def system(tmp_path):
    """One instance, in a deployment without competing teams."""
    running = _system.SoakSystem(
        tmp_path, 1, 0, MEMORY_BYTES, MAX_DESCRIPTORS, fair_shares=False
    )
    try:
        running.start()
        yield running
    finally:
        running.close()


@pytest.fixture
def cfg(system):
    return system.entry_instances["n0"].cfg


@pytest.fixture
def process(system):
    return system.entry_instances["n0"].process


@pytest.fixture
def watch(cfg, process):
    """Watches the process, on all of its listeners."""
    addresses = (cfg.front_address, cfg.ready_address)
    ports = [int(a.rpartition(":")[2]) for a in addresses]
    watched = unruly.ProcessWatch(
        process.pid, (*ports, cfg.peer_port, cfg.metrics_port)
    )
    watched.start()
    yield watched
    watched.close()


@pytest.fixture
def make_head(system):
    """First lines of the head of a client's request."""

    def make(number):
        request_id = f"c{number:07x}"
        head = hollycart_standins.encode_request(
            request_id,
            f"{_engine.LARGE_PATH}{request_id}",
            system.keys["team-1"],
            60000.0,
        )
        fields = b"".join(b"%s: %s\r\n" % field for field in head.headers)
        return b"POST %s HTTP/1.1\r\n%s" % (head.target, fields)

    return make


@pytest.fixture
def ask(system, cfg):
    """Sends an ordinary request, as often as a caller may."""

    def send(request_id):
        clock = base.SystemClock()
        for number in range(_ATTEMPTS):
            attempt_id = f"{request_id}{number:07x}"
            head = hollycart_standins.encode_request(
                attempt_id,
                f"/again/{attempt_id}",
                system.keys["team-0"],
                _TIMEOUT_MS,
            )
            conn = connections.ClientConnection(cfg.front_address, clock)
            try:
                conn.start(_TIMEOUT_MS)
                conn.send(head, b"prompt", _TIMEOUT_MS)
                response = conn.read_head(_TIMEOUT_MS)
                body = conn.read_body(_TIMEOUT_MS, _MAX_ANSWER_BYTES)
                if response.status == 200:
                    return body == _engine.response_body(attempt_id)
            except base.HollycartError:
                pass
            finally:
                conn.close()
            eventlet.sleep(0.5)
        return False

    return send


@pytest.mark.parametrize("kind", unruly.KINDS)
def test_callers_are_served_beside_a_crowd(
    kind, process, watch, cfg, start_crowd, make_head, ask, check
):
    """Guards against a process that runs out of memory or descriptors."""
    crowd = start_crowd(cfg.front_address, kind, make_head)
    assert ask("a")
    crowd.close()
    assert ask("b")
    check(process, watch, MEMORY_BYTES, MAX_DESCRIPTORS)


LISTENERS = {
    "readiness": lambda cfg: cfg.ready_address,
    "peers": lambda cfg: f"{cfg.ip}:{cfg.peer_port}",
    "metrics": lambda cfg: f"{cfg.ip}:{cfg.metrics_port}",
}


@pytest.mark.parametrize("kind", ["large chunks", "many fields", "idle"])
@pytest.mark.parametrize("listener", LISTENERS)
def test_callers_are_served_beside_a_crowd_on_another_listener(
    listener,
    kind,
    system,
    process,
    watch,
    cfg,
    start_crowd,
    make_head,
    ask,
    check,
):
    crowd = start_crowd(LISTENERS[listener](cfg), kind, make_head)
    assert ask("a")
    crowd.close()
    system.wait_ready("n0")
    assert ask("b")
    check(process, watch, MEMORY_BYTES, MAX_DESCRIPTORS)
