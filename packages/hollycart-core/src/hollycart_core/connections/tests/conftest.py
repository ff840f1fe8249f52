import socket
import struct

import eventlet
from eventlet.green import socket as green_socket
import pytest

from hollycart_core import base
from hollycart_core import connections


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


@pytest.fixture
def memory(clock):
    """Room for 1 MB, of which one account may hold 700 KB."""
    budget = connections.MemoryBudget(1 << 20, 700 << 10, wait_ms=50.0)
    return connections.MemoryGate(budget, clock)


@pytest.fixture
def start_server(clock, memory):
    """Starts a server with bounded memory; returns it."""
    servers = []

    def start(handler, max_connections=0):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        server = connections.HttpExchangeServer(
            f"127.0.0.1:{port}",
            handler,
            clock,
            memory=memory,
            max_connections=max_connections,
        )
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.close()


@pytest.fixture
def connect():
    """Opens sockets whose kernel buffers hold a few kB, as across a network."""
    socks = []

    def open_socket(address, sent):
        host, _, port = address.rpartition(":")
        sock = green_socket.socket()
        socks.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        sock.connect((host, int(port)))
        sock.sendall(sent)
        return sock

    yield open_socket
    for sock in socks:
        sock.close()


@pytest.fixture
def receive_all():
    """Reads until the end of a connection.

    Returns the bytes and whether it was reset, which eventlet's `recv` hides.
    """

    def receive(sock):
        received = bytearray()
        while True:
            try:
                data = sock.fd.recv(65536)
            except BlockingIOError:
                eventlet.sleep(0.002)
                continue
            except ConnectionResetError:
                return bytes(received), True
            if not data:
                return bytes(received), False
            received += data

    return receive


@pytest.fixture
def eventually():
    """Waits until a condition holds, for at most 5 s."""

    def wait(condition):
        for _ in range(1000):
            if condition():
                return
            eventlet.sleep(0.005)
        raise AssertionError("condition does not hold")

    return wait
