"""Free TCP ports of loopback."""

import random
import socket

HOST = "127.0.0.1"
# Below the range that the system gives to outgoing connections, any of which
# could take a port between this look and its use.
_LOW = 10_000
_HIGH = 32_000

_given: set[int] = set()


def find_free_port() -> int:
    """Returns a TCP port that is free now and was not given before.

    Example:
        >>> find_free_port() != find_free_port()
        True
    """
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(_LOW, _HIGH)
        if port not in _given and _can_bind(port):
            _given.add(port)
            return port


def _can_bind(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True
