"""Rates of requests that endpoints have named as their limits."""

from typing import NamedTuple

from hollycart_core.placement import _types

# An endpoint may vanish from the directory and be listed again, so records are
# kept until newer ones need the room.
_MAX_RECORDS = 4096


class RateStatement(NamedTuple):
    """What one response of an endpoint says about its limit.

    The endpoint made the statement between the two instants. Only statements
    whose times do not overlap have a known order.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        per_s: Requests a second that the endpoint accepts from all instances
            together; None if the response names no limit.
        sent_ms: Instant at which the request was sent.
        received_ms: Instant at which the response was received.
    """

    endpoint: str
    born_ms: int
    per_s: float | None
    sent_ms: float
    received_ms: float


class EndpointRateLimits:
    """Remembers the limits that endpoints named in their responses.

    Responses may overtake each other. A response without a limit ends one only
    if its request was sent after the limit was last named; of two limits whose
    order is not known, the lower one is in force.

    Example:
        >>> endpoint = _types.Endpoint("e", "1:1", "s", "z", 8)
        >>> limits = EndpointRateLimits()
        >>> limits.record(RateStatement("e", 0, 2.5, 0.0, 10.0))
        True
        >>> limits.record(RateStatement("e", 0, None, 5.0, 15.0))
        False
        >>> limits.find(endpoint).per_s
        2.5
        >>> limits.record(RateStatement("e", 0, None, 20.0, 30.0))
        True
        >>> limits.find(endpoint)
    """

    def __init__(self) -> None:
        self._statements: dict[str, RateStatement] = {}

    def record(self, statement: RateStatement) -> bool:
        """Records a statement.

        Args:
            statement: The statement, with the times of the own clock.

        Returns:
            Whether the limit that is in force changed.
        """
        known = self._statements.get(statement.endpoint)
        if known is None or known.born_ms < statement.born_ms:
            if statement.per_s is None:
                # A new incarnation is without limits until it names one.
                dropped = self._statements.pop(statement.endpoint, None)
                return dropped is not None and dropped.per_s is not None
            self._store(statement)
            return True
        if known.born_ms > statement.born_ms:
            return False
        if known.sent_ms >= statement.received_ms:
            return False
        if statement.sent_ms < known.received_ms and known.per_s is not None:
            statement = _merge(known, statement)
        self._store(statement)
        return statement.per_s != known.per_s

    def find(self, endpoint: _types.Endpoint) -> RateStatement | None:
        """Returns the statement that limits a listed endpoint, if one does."""
        known = self._statements.get(endpoint.id)
        if known is None or known.born_ms < endpoint.born_ms:
            return None
        return known if known.per_s is not None else None

    def latest(self, endpoint_id: str) -> RateStatement | None:
        """Returns the latest statement of an endpoint, also one without."""
        return self._statements.get(endpoint_id)

    def _store(self, statement: RateStatement) -> None:
        self._statements.pop(statement.endpoint, None)
        self._statements[statement.endpoint] = statement
        if len(self._statements) > _MAX_RECORDS:
            del self._statements[next(iter(self._statements))]


def _merge(known: RateStatement, other: RateStatement) -> RateStatement:
    """Returns the stricter of two statements whose order is not known."""
    rates = [s.per_s for s in (known, other) if s.per_s is not None]
    named_ms = [s.received_ms for s in (known, other) if s.per_s is not None]
    return known._replace(
        per_s=min(rates),
        sent_ms=max(known.sent_ms, other.sent_ms),
        received_ms=max(named_ms),
    )
