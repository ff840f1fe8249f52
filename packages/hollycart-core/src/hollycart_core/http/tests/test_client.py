import types

import eventlet
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
