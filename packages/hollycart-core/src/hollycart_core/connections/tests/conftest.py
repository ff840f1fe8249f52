import socket
import struct

import eventlet
from eventlet.green import socket as green_socket
import pytest

from hollycart_core import base


@pytest.fixture
def clock():
    return base.SystemClock()


@pytest.fixture
def scripted_endpoint():
    """Starts endpoints that send fixed bytes to each connection.

    After that an endpoint closes the connection (`close`), resets it (`reset`)
    or leaves it open (`keep`).
    """
    listeners = []
    threads = []

    def start(pieces, end="close"):
        listener = green_socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        listeners.append(listener)
        received = []

        def serve():
            while True:
                sock, _ = listener.accept()
                received.append(sock.recv(65536))
                for piece in pieces:
                    sock.sendall(piece)
                    eventlet.sleep(0)
                if end == "reset":
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                if end != "keep":
                    sock.close()
                else:
                    listeners.append(sock)

        threads.append(eventlet.spawn(serve))
        host, port = listener.getsockname()
        return f"{host}:{port}", received

    yield start
    for thread in threads:
        thread.kill()
    for listener in listeners:
        listener.close()


@pytest.fixture
def turns():
    """Counts the turns that another green thread gets."""
    counted = []

    def count():
        while True:
            counted.append(1)
            eventlet.sleep(0)

    thread = eventlet.spawn(count)
    yield counted
    thread.kill()
