"""What each answer of an endpoint means; docs/PLATFORM.md has the table."""

import functools
import itertools
from typing import NamedTuple

import eventlet
from eventlet.green import socket as green_socket
import pytest

from hollycart_core import base

STATUSES = (200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504)
POSITIONS = ("new", "kept", "retry", "resume")


class Answer(NamedTuple):
    """An answer as an endpoint sends it."""

    status: int
    has_id: bool
    sealed: bool
    not_run: bool

    def __str__(self):
        marks = zip(("id", "seal", "not-run"), self[1:], strict=True)
        return "-".join([str(self.status), *(m for m, has in marks if has)])


class Meaning(NamedTuple):
    """What becomes of a request, its endpoint and the connection.

    Attributes:
        caller: `relayed`, `tried again`, `cut` or `awaited`: the answer is
            skipped, and the one that follows on the connection is relayed.
        is_replaced: Whether the endpoint's entry counts as out of date.
        is_kept: Whether the connection is used again.
    """

    caller: str
    is_replaced: bool
    is_kept: bool


def find_meaning(answer, position):
    """Returns what an answer means; the rows of the table, in their order."""
    if position == "kept" and not answer.has_id:
        return Meaning("awaited", False, False)
    if answer.status == 421:
        return Meaning("tried again", True, True)
    if answer.not_run:
        return Meaning("tried again", False, True)
    failed = "cut" if position == "resume" else "tried again"
    if not answer.has_id:
        return Meaning(failed, False, False)
    if answer.status < 300 and not answer.sealed:
        return Meaning(failed, False, False)
    if position == "resume":
        # Only an answer like the one that began the stream is read.
        return Meaning(failed, False, answer.status == 200)
    if answer.status >= 500:
        return Meaning(failed, False, True)
    return Meaning("relayed", False, True)


ROWS = [
    pytest.param(answer, position, id=f"{position}-{answer}")
    for answer in map(
        Answer._make,
        itertools.product(STATUSES, *itertools.repeat((True, False), 3)),
    )
    for position in POSITIONS
]


class Engine:
    """Endpoint that writes bytes as a test has scripted them."""

    def __init__(self, name):
        self.name = name
        self.server = self  # as `System` expects it
        self.respond = None
        self._listener = green_socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(16)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._threads = [eventlet.spawn(self._accept)]

    def close(self):
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            sock, peer = self._listener.accept()
            self._threads.append(eventlet.spawn(self._serve, sock, peer[1]))

    def _serve(self, sock, port):
        file = sock.makefile("rb")
        while file.readline():
            fields = {}
            while (line := file.readline()).strip():
                name, _, value = line.strip().lower().partition(b": ")
                fields[name] = value
            file.read(int(fields.get(b"content-length", 0)))
            sock.sendall(self.respond(fields, port))
            if self.cuts:
                self.cuts = False
                break
        sock.close()

    cuts = False


def _encode(answer, body):
    fields = [b"Id: row"] * answer.has_id + [b"Seal: 1"] * answer.sealed
    if answer.not_run or answer.status == 421:
        fields.append(b"Not-Run: 1")
    if answer.status != 204:
        fields.append(b"Content-Length: %d" % len(body))
    else:
        body = b""
    lines = [b"HTTP/1.1 %d x" % answer.status, *fields, b"", body]
    return b"\r\n".join(lines)


_COMPLETE = Answer(200, True, True, False)
_REJECTED = Answer(503, True, True, True)
_EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


@pytest.fixture
def endpoints():
    engines = [Engine(f"e{number}") for number in range(3)]
    yield engines
    for engine in engines:
        engine.close()


@pytest.fixture
def play(system, endpoints):
    """Plays an answer; returns what became of the request."""

    def run(answer, position):
        before = 1 if position in ("retry", "resume") else 0
        ports = []  # of the connections of the request's attempts

        def respond(engine, fields, port):
            if fields[b"id"] == b"warm":
                return _encode(_COMPLETE, b"done").replace(b"row", b"warm")
            ports.append(port)
            attempt = len(ports) - 1
            if attempt < before and position == "retry":
                return _encode(_REJECTED, b"")
            if attempt < before:
                engine.cuts = True
                head = _encode(_COMPLETE, b"x" * 999).partition(b"x" * 9)[0]
                return head + _EVENTS
            if attempt > before:
                body = b"id: 3\ndata: 3\n\n" if position == "resume" else b"ok"
                return _encode(_COMPLETE, body)
            data = _encode(answer, b"row")
            if position == "kept" and not answer.has_id:
                data += _encode(_COMPLETE, b"own")
            return data

        for engine in endpoints:
            engine.respond = functools.partial(respond, engine)
        if position == "kept":
            for listed in system.listed_endpoints:
                system.apply_state(listed_endpoints=[listed])
                assert system.call("/again/", id="warm").body == b"done"
        system.apply_state()
        path = "/stream/" if position == "resume" else "/again/"
        caller = _call(system, path, answer)
        now_ms = system.clock.now_ms()
        accepts = system.forwarder.restrictions.accepts
        idle = [
            conn._sock.getsockname()[1]
            for conns in system.forwarder.pool._idle.values()
            for conn in conns
        ]
        return Meaning(
            caller,
            not all(accepts(e, now_ms) for e in system.listed_endpoints),
            ports[before] in idle,
        )

    return run


def _call(system, path, answer):
    """Returns what a caller sees, in the words of `Meaning`."""
    try:
        response = system.call(path, id="row", tokens=5000)
    except base.EndpointFailedError:
        return "cut"
    if response.body == b"own":
        return "awaited"
    if response.body in (b"ok", _EVENTS + b"id: 3\ndata: 3\n\n"):
        return "tried again"
    assert response.status == answer.status
    return "relayed"


@pytest.mark.parametrize(("answer", "position"), ROWS)
def test_meaning_of_an_answer(play, answer, position):
    """Guards against an answer taken for another request's or engine's."""
    assert play(answer, position) == find_meaning(answer, position)
