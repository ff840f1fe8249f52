"""Free TCP ports of loopback."""

import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral port range of the operating system: an outgoing connection
# could take a port of that range between the check and the use of the port.
_FIRST_PORT = 10_000
_END_PORT = 32_000  # exclusive

_allocated_ports: set[int] = set()


def find_free_port() -> int:
    """Returns a TCP port that is free now and was not returned before.

    Example:
        >>> find_free_port() != find_free_port()
        True
    """
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(_FIRST_PORT, _END_PORT)
        if port not in _allocated_ports and _can_bind(port):
            _allocated_ports.add(port)
            return port


def _can_bind(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True
