"""What a connection knows of the server that accepted it."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from hollycart_core import base
from hollycart_core.connections import _exchange
from hollycart_core.connections import _memory_gate


class ServerLimits(NamedTuple):
    """Limits on the requests of a caller.

    Attributes:
        max_header_bytes: Limit on the request head, in bytes. The head may
            exceed it by the size of one read, 8 KB.
        max_body_bytes: Largest request body, in bytes.
        header_timeout_ms: Time from the first byte of a request to its
            complete head, in ms.
        idle_timeout_ms: Longest wait for the next bytes of a request body, or
            for a request on an idle connection, in ms.
        body_timeout_ms: Time from the complete head of a request to the end of
            its body, in ms.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    body_timeout_ms: float = 60000.0


class Server(Protocol):
    """The server of a connection, as the connection uses it.

    Attributes:
        address: `IP:PORT` on which the server listens.
        handler: Responds to one exchange.
        clock: Source of time.
        limits: Limits on requests.
        memory: Bounds what is held for callers; None for no bound.
        draining: Whether responses carry `Connection: close`.
        closing: Whether the server no longer accepts connections.
        running: Number of requests in flight.
    """

    address: str
    handler: Callable[[_exchange.Exchange], None]
    clock: base.Clock
    limits: ServerLimits
    memory: _memory_gate.MemoryGate | None
    draining: bool
    closing: bool
    running: int
