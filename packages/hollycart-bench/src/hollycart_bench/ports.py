"""Free TCP ports of loopback."""

import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral port range of the operating system: an outgoing connection
# could take a port of that range between the check and the use of the port.
_FIRST_PORT = 10_000
_END_PORT = 32_000  # exclusive

# A port is reserved by a UDP socket of the same number on another address,
# which the searches of other processes find taken.
_RESERVATION_HOST = "127.0.0.2"

_reservations: dict[int, socket.socket] = {}


def find_free_port() -> int:
    """Returns a TCP port that is free now and was not returned before.

    It is reserved until this process ends.

    Example:
        >>> find_free_port() != find_free_port()
        True
    """
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(_FIRST_PORT, _END_PORT)
        if port not in _reservations and _can_bind(port) and _reserve(port):
            return port


def _reserve(port: int) -> bool:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((_RESERVATION_HOST, port))
    except OSError:
        sock.close()
        return False
    _reservations[port] = sock
    return True


def _can_bind(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True
