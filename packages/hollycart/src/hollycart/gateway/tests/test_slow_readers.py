"""Callers and engines that read slowly, in front of a bounded memory."""

import socket

import eventlet
from eventlet.green import socket as green_socket
import pytest

from hollycart import gateway
from hollycart import observe
from hollycart.gateway import _memory
from hollycart_core import connections

ANSWER = bytes(range(256)) * 4000  # 1 MB, more than the kernel holds here
EVENT = b"id: %d\ndata: " + b"x" * 8000 + b"\n\n"
CUT_OFF_S = 1.0


def seal(fields):
    return ((b"Id", fields[b"id"].encode()), (b"Seal", b"1"))


@pytest.fixture(autouse=True)
def small_memory(system):
    """Room for about three answers."""
    policy = gateway.PolicySettings(memory_bytes=200 << 20)
    system.memory = _memory.make_gate(policy, system.clock)
    system.front_server.memory = system.memory
    budget = system.memory.budget
    budget.total_bytes, budget.account_bytes = 4 << 20, 3 << 20
    budget.wait_ms = 100.0


@pytest.fixture
def start_request(system):
    """Sends a request and reads nothing, as across a network."""
    socks = []

    def start(path, version=b"1.1"):
        host, _, port = system.front_server.address.rpartition(":")
        sock = green_socket.socket()
        socks.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        sock.connect((host, int(port)))
        sock.sendall(
            b"POST %s HTTP/%s\r\nHost: h\r\nId: s%d\r\nKey: key-a\r\n"
            b"Connection: close\r\nContent-Length: 1\r\n\r\n."
            % (path, version, len(socks))
        )
        return sock

    yield start
    for sock in socks:
        sock.close()


def receive(sock):
    """Returns what arrives until the end of the connection."""
    received = bytearray()
    while True:
        try:
            data = sock.fd.recv(65536)
        except BlockingIOError:
            eventlet.sleep(0.002)
            continue
        except ConnectionResetError:
            return bytes(received)
        if not data:
            return bytes(received)
        received += data


def answer(exchange, fields):
    exchange.respond(200, seal(fields), ANSWER)


def stream(count, pause_s=0.0):
    """Returns an engine that cuts off a response which stays unread."""

    def handler(exchange, fields):
        exchange._connection._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
        )
        exchange.start(200, seal(fields), None)
        for number in range(int(fields[b"resume"] or 0) + 1, count + 1):
            written = False
            with eventlet.Timeout(CUT_OFF_S, False):
                exchange.write(EVENT % number)
                written = True
            if not written:
                exchange.abort()
                return
            eventlet.sleep(pause_s)
        exchange.finish()

    return handler


def serve(system, endpoints, handler):
    for endpoint in endpoints:
        endpoint.handler = handler
    system.apply_state()


def logged(system, kind):
    return [d for d in system.log.decisions if isinstance(d, kind)]


@pytest.mark.parametrize("path", [b"/again/", b"/stream/"])
def test_response_that_is_complete_holds_nothing_at_its_engine(
    path, system, endpoints, start_request, eventually
):
    """Else slow callers fill the engines' slots in the view of all."""
    handler = answer if path == b"/again/" else stream(60)
    serve(system, endpoints, handler)
    sock = start_request(path)
    eventually(lambda: system.memory.buffered_responses)
    eventually(lambda: not sum(system.forwarder.chooser.in_flight.values()))
    assert system.front_server.running == 1
    assert system.peers.view.is_empty()
    assert not logged(system, observe.decisions.Answered)
    received = receive(sock)
    assert received.endswith(ANSWER if path == b"/again/" else b"0\r\n\r\n")
    eventually(lambda: logged(system, observe.decisions.Answered))


def test_stream_to_a_slow_caller_is_read_before_its_engine_cuts_it_off(
    system, endpoints, start_request, eventually
):
    serve(system, endpoints, stream(100))
    sock = start_request(b"/stream/")
    eventually(lambda: system.memory.budget.held_bytes > 600000)
    eventlet.sleep(1.5 * CUT_OFF_S)
    received = receive(sock)
    assert [received.count(b"id: %d\n" % n) for n in (1, 50, 100)] == [1] * 3
    assert received.endswith(b"0\r\n\r\n")
    assert sum(len(e.requests) for e in endpoints) == 1


@pytest.mark.parametrize("path", [b"/again/", b"/stream/"])
def test_response_is_shed_for_another_and_not_run_again(
    path, system, endpoints, start_request, eventually
):
    """Its caller sees it truncated and nothing states that it did not run."""
    handler = answer if path == b"/again/" else stream(120)
    serve(system, endpoints, handler)
    socks = [start_request(path) for _ in range(6)]
    eventually(lambda: logged(system, observe.decisions.ResponseShed))
    shed = {d.request for d in logged(system, observe.decisions.ResponseShed)}
    failed = logged(system, observe.decisions.Failed)
    assert {f.request for f in failed} == shed
    assert all(f.status in (0, 502) for f in failed)
    ids = [f[b"id"] for e in endpoints for _, f, _ in e.requests]
    assert sorted(ids) == [f"s{n}" for n in range(1, 7)]
    whole = [
        r
        for r in map(receive, socks)
        if r.endswith((ANSWER, b"0\r\n\r\n")) and b" 200 " in r[:20]
    ]
    shed = {d.request for d in logged(system, observe.decisions.ResponseShed)}
    assert len(whole) == 6 - len(shed)


def test_prompt_callers_are_answered_beside_slow_ones(
    system, endpoints, start_request, eventually
):
    serve(system, endpoints, answer)
    for _ in range(4):
        start_request(b"/again/")
    eventually(lambda: system.memory.buffered_responses >= 2)
    eventlet.sleep(0.2)
    for _ in range(5):
        assert system.call("/again/").body == ANSWER


def test_engine_stops_when_its_caller_leaves_behind_a_buffer(
    system, endpoints, start_request, eventually
):
    serve(system, endpoints, stream(1000, pause_s=0.01))
    sock = start_request(b"/stream/")
    eventually(lambda: system.memory.buffered_responses)
    sock.close()
    eventually(lambda: sum((e.abandoned_ids for e in endpoints), []) == ["s1"])
    eventually(lambda: not system.memory.budget.held_bytes)
    assert logged(system, observe.decisions.CallerLeft)


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_events_before_a_failure_are_delivered(
    version, system, endpoints, start_request, eventually
):
    """The stream cannot be resumed; the end is truncated."""

    def handler(exchange, fields):
        exchange.start(200, seal(fields), None)
        for number in range(1, 60):
            exchange.write(EVENT % number)
        exchange.abort()

    serve(system, endpoints, handler)
    sock = start_request(b"/fragile/", version)
    eventually(lambda: logged(system, observe.decisions.Failed))
    received = receive(sock)
    assert not received.endswith(b"0\r\n\r\n")
    if version == b"1.1":
        assert received.count(b"\ndata:") == 59


def test_request_body_beyond_the_memory_is_refused_as_not_run(
    system, endpoints
):
    serve(system, endpoints, answer)
    system.memory.budget.total_bytes = 1 << 20
    conn = system.open("/once/", body=bytes(2 << 20))
    head = conn.read_head(3000)
    conn.close()
    assert head.status == 503
    assert connections.find_header(head.headers, b"retry-after")
    assert not any(e.requests for e in endpoints)
    assert logged(system, observe.decisions.Failed)[0].reason == "overloaded"


def test_engine_that_reads_a_body_slowly_is_given_up_in_time(
    system, endpoints, config
):
    """Another one gets the request, whose body is held once."""
    listener = green_socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen(8)
    read = []

    def read_slowly():
        sock, _ = listener.accept()
        while True:
            read.append(sock.recv(2000))
            eventlet.sleep(0.05)

    reader = eventlet.spawn(read_slowly)
    endpoints[1].handler = answer
    slow = system.listed_endpoints[0]._replace(
        address=f"127.0.0.1:{listener.getsockname()[1]}"
    )
    system.apply_state(listed_endpoints=[slow, system.listed_endpoints[1]])
    system.health.record_timeout(endpoints[1].name, system.clock.now_ms())
    system.health.record_timeout(endpoints[1].name, system.clock.now_ms())
    held = []
    conn = system.open("/again/", body=bytes(2 << 20))
    while not read:
        eventlet.sleep(0.01)
    held.append(system.memory.budget.held_bytes)
    assert conn.read_head(4000).status == 200
    conn.close()
    reader.kill()
    listener.close()
    assert held[0] == 2 << 20
