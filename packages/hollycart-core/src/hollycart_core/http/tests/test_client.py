import socket
import struct
import types

import eventlet
from eventlet.green import socket as green_socket
import pytest

from hollycart_core import base
from hollycart_core import http


class EndlessResponse:
    """Always has another piece of its body."""

    status = 200
    headers: dict = {}

    def __init__(self):
        self.read = 0

    def read1(self, size):
        self.read += size
        assert self.read <= 1 << 28, "read without end"
        return b"x" * size

    def close(self):
        pass


@pytest.fixture
def client():
    """Returns a client whose server answers without end."""
    made = http.HttpClient()
    made._pool = types.SimpleNamespace(
        request=lambda *args, **kwargs: EndlessResponse(), clear=lambda: None
    )
    yield made
    made.close()


def test_body_without_end_fails_within_bounds_and_gives_way(client):
    turns = []

    def count():
        while True:
            turns.append(1)
            eventlet.sleep(0)

    thread = eventlet.spawn(count)
    with pytest.raises(base.EndpointFailedError):
        client.send("GET", "http://server/", timeout_ms=60000)
    thread.kill()
    assert len(turns) >= 10


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"


@pytest.fixture
def start_server():
    """Starts a server that answers before it has read the request."""
    listeners = []

    def start(answer, resets):
        listener = green_socket.socket()
        listeners.append(listener)
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)

        def serve():
            sock, _ = listener.accept()
            sock.recv(1000)
            sock.sendall(answer)
            eventlet.sleep(0.1)
            if resets:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            else:
                sock.shutdown(socket.SHUT_WR)
                while sock.recv(65536):
                    pass
            sock.close()

        eventlet.spawn(serve)
        return f"http://127.0.0.1:{listener.getsockname()[1]}/"

    yield start
    for listener in listeners:
        listener.close()


@pytest.fixture
def real_client():
    made = http.HttpClient()
    made.start()
    yield made
    made.close()


# What the kernel takes at once, and what is still written at the reset.
@pytest.mark.parametrize("size", [10, 1_000_000, 30_000_000])
def test_part_of_an_answer_before_a_reset_is_not_complete(
    size, start_server, real_client
):
    """Guards against a caller that gets it as a whole answer."""
    url = start_server(HEAD + b"part", resets=True)
    with pytest.raises(base.EndpointFailedError):
        real_client.send("POST", url, bytes(size))


@pytest.mark.parametrize("size", [10, 1_000_000, 30_000_000])
def test_answer_that_ends_with_its_connection_is_complete(
    size, start_server, real_client
):
    url = start_server(HEAD + b"whole", resets=False)
    assert real_client.send("POST", url, bytes(size)).body == b"whole"


def test_answer_with_the_status_000_is_a_failure(start_server, real_client):
    answer = b"HTTP/1.1 000 Bad\r\nContent-Length: 2\r\n\r\nab"
    url = start_server(answer, resets=False)
    with pytest.raises(base.EndpointFailedError):
        real_client.send("POST", url, b"x")
