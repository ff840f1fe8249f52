"""WSGI server in front of clients that do not behave."""

import gc
import os
import resource

import eventlet
from eventlet.green import socket
import pytest

from hollycart_core import base
from hollycart_core import connections
from hollycart_core import http

POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_BODY_BYTES = 1 << 20


@pytest.fixture
def memory():
    budget = connections.MemoryBudget(1 << 20, 1 << 20, wait_ms=50.0)
    return connections.MemoryGate(budget, base.SystemClock())


@pytest.fixture
def server(memory):
    """Answers with the length of the body, or the code of the failure."""

    def app(environ, start_response):
        held = http.RequestMemory(memory)
        environ[http.MEMORY_KEY] = held
        try:
            body = http.read_body(environ, MAX_BODY_BYTES, 5000.0)
        except base.HollycartError as exc:
            text = exc.code.encode()
            return http.respond(start_response, exc.http_status, text)
        finally:
            held.close()
        return http.respond(start_response, 200, b"%d" % len(body))

    running = http.HttpServer(app, "127.0.0.1", 0, max_conns=4)
    running.start()
    yield running
    running.close()


@pytest.fixture
def connect(server):
    """Opens a connection and sends something on it."""
    socks = []

    def open_socket(sent):
        sock = socket.create_connection((server.host, server.port))
        socks.append(sock)
        sock.settimeout(10)
        sock.sendall(sent)
        return sock

    yield open_socket
    for sock in socks:
        sock.close()


@pytest.mark.parametrize(
    "framing",
    [
        b"0" * 100_000,
        b"1;a=" + b"x" * 100_000,
        b"0\r\nTrailer: " + b"x" * 99999,
    ],
    ids=["size", "extension", "trailer"],
)
def test_framing_without_end_is_refused(framing, connect):
    """Guards against a line that is gathered as long as it comes."""
    assert connect(CHUNKED + framing).recv(1000).split()[1] == b"400"


def test_body_in_small_chunks_is_received(connect):
    sock = connect(CHUNKED + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n")
    assert sock.recv(1000).endswith(b"20000")


def test_body_that_stops_short_gives_way_to_another(connect, memory):
    stopped = connect(POST + b"Content-Length: 900000\r\n\r\n" + b"x" * 899999)
    while memory.budget.held_bytes < 800_000:
        eventlet.sleep(0.01)
    sock = connect(POST + b"Content-Length: 400000\r\n\r\n" + b"x" * 400000)
    assert sock.recv(1000).endswith(b"400000")
    assert stopped.recv(1000).endswith(b"overloaded")
    assert not memory.budget.held_bytes


@pytest.mark.parametrize(
    "sent", [b"", b"POST / HT", POST + b"Content-Length: 9\r\n\r\n1"], ids=str
)
def test_caller_is_served_although_all_places_are_taken(sent, connect):
    for _ in range(12):
        connect(sent)
    sock = connect(POST + b"Content-Length: 1\r\n\r\nx")
    assert sock.recv(1000).endswith(b"1")


@pytest.fixture
def without_descriptors():
    """Takes all descriptors until it is called."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    taken = []

    def take():
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(soft, 400), hard))
        for _ in range(5):  # other tests may still close some
            gc.collect()
            eventlet.sleep(0.02)
            with pytest.raises(OSError, match="Too many open files"):
                while True:
                    taken.append(os.dup(0))
        return release

    def release():
        while taken:
            os.close(taken.pop())
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    yield take
    release()


def test_server_accepts_again_after_there_were_no_descriptors(
    server, without_descriptors
):
    """Guards against a process that runs and serves nobody."""
    sock = socket.socket()
    release = without_descriptors()
    sock.connect((server.host, server.port))
    eventlet.sleep(0.2)
    release()
    sock.settimeout(10)
    sock.sendall(POST + b"Content-Length: 1\r\n\r\nx")
    assert sock.recv(1000).endswith(b"1")
    sock.close()
