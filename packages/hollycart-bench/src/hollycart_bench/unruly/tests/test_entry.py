"""Entry processes in front of clients that do not behave."""

import eventlet
import msgspec
import pytest

from hollycart_bench import local
from hollycart_bench import unruly
from hollycart_core import base
from hollycart_core import http

MEMORY_BYTES = 160 << 20  # that the process is told to have
MAX_DESCRIPTORS = 400
MAX_BODY_BYTES = 4 << 20  # what the crowds know
_ATTEMPTS = 20
_TIMEOUT_MS = 10000.0
_PATH = "/v1/completions"


@pytest.fixture
def system():
    """Stand-ins of store, instance list and engines."""
    running = local.LocalSystem(
        0,
        2,
        settings={
            "memory_mb": str(MEMORY_BYTES >> 20),
            "max_conns": "100",
            "max_body_bytes": str(MAX_BODY_BYTES),
        },
    )
    running.start()
    yield running
    running.close()


@pytest.fixture
def started(system, tmp_path):
    """The process, its port for callers and that for instances."""
    process, *found = system.start_process("i0", tmp_path, MAX_DESCRIPTORS)
    yield process, *found
    process.kill()


@pytest.fixture
def watch(started):
    process, port, peer_port = started
    watched = unruly.ProcessWatch(process.pid, (port, peer_port))
    watched.start()
    yield watched
    watched.close()


def make_head(number):
    """Returns the first lines of the head of a client's request."""
    return (
        f"POST {_PATH} HTTP/1.1\r\nHost: h\r\nX-Client: {number}\r\n"
        f"Authorization: Bearer {local.TEAM_KEY}\r\n"
    ).encode()


@pytest.fixture
def ask(started):
    """Sends an ordinary request, as often as a caller may."""
    _, port, _ = started
    value = {"model": local.MODEL, "prompt": "hello", "max_tokens": 4}

    def send():
        for _ in range(_ATTEMPTS):
            client = http.HttpClient()  # connects anew
            client.start()
            try:
                response = client.send(
                    "POST",
                    f"http://{local.HOST}:{port}{_PATH}",
                    msgspec.json.encode(value),
                    {"Authorization": f"Bearer {local.TEAM_KEY}"},
                    _TIMEOUT_MS,
                )
            except base.HollycartError:
                eventlet.sleep(0.5)
                continue
            finally:
                client.close()
            if response.status == 200:
                return response.json()["usage"]["completion_tokens"] == 4
            eventlet.sleep(0.5)
        return False

    return send


@pytest.mark.parametrize("kind", unruly.KINDS)
def test_callers_are_served_beside_a_crowd(
    kind, started, watch, start_crowd, ask, check
):
    """Guards against a process that runs out of memory or descriptors."""
    process, port, _ = started
    crowd = start_crowd(f"{local.HOST}:{port}", kind, make_head)
    assert ask()
    crowd.close()
    assert ask()
    check(process, watch, MEMORY_BYTES, MAX_DESCRIPTORS)


@pytest.mark.parametrize("kind", ["large chunks", "endless head", "idle"])
def test_callers_are_served_beside_a_crowd_on_the_port_of_instances(
    kind, started, watch, start_crowd, ask, check
):
    process, _, peer_port = started
    crowd = start_crowd(f"{local.HOST}:{peer_port}", kind, make_head)
    assert ask()
    crowd.close()
    assert ask()
    check(process, watch, MEMORY_BYTES, MAX_DESCRIPTORS)
