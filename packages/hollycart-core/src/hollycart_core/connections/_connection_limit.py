"""Chooses which connection gives way to a new one."""

from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar

# A caller that has accepted nothing for this long gives way, although its
# response is not complete.
_MIN_STALL_MS = 1000.0


class Connection(Protocol):
    """What the choice depends on.

    Attributes:
        busy: Whether a request is being answered.
        active_ms: Instant at which something was received or a response
            ended, in ms.
        stalled_since_ms: Instant since which the caller does not accept its
            response, in ms; None if it does.
    """

    busy: bool
    active_ms: float

    @property
    def stalled_since_ms(self) -> float | None:
        """Instant since which the caller does not accept its response."""


C = TypeVar("C", bound=Connection)


def choose_victim(connections: Iterable[C], now_ms: float) -> C | None:
    """Returns the connection that is closed in favour of a new one.

    It answers the load of more clients than there are descriptors or memory
    for, most of which leave their connections open and send nothing, or only
    a part of a request. A request that is being answered is kept, unless its
    caller does not read.

    Args:
        connections: Connections that are open.
        now_ms: Current instant, in ms.

    Returns:
        The connection without a request in progress that was idle for longest;
        without one, that whose caller has accepted nothing for longest; None
        if all requests in progress are read.

    Example:
        >>> from types import SimpleNamespace as Fake
        >>> old = Fake(busy=False, active_ms=5.0, stalled_since_ms=None)
        >>> new = Fake(busy=False, active_ms=9.0, stalled_since_ms=None)
        >>> choose_victim([new, old], 10.0) is old
        True
    """
    waiting = None
    stalled = None
    stalled_ms = now_ms - _MIN_STALL_MS
    for conn in connections:
        if not conn.busy:
            if waiting is None or conn.active_ms < waiting.active_ms:
                waiting = conn
            continue
        since_ms = conn.stalled_since_ms
        if since_ms is not None and since_ms <= stalled_ms:
            stalled, stalled_ms = conn, since_ms
    return waiting or stalled
