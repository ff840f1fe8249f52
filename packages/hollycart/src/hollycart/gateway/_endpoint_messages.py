"""Datagrams on what endpoints said, and on permits for those with a limit.

As in `_messages`, the order of the fields and the tags are the wire format.
"""

import msgspec

from hollycart_core import placement


class EndpointSuspected(msgspec.Struct, tag="s", array_like=True):
    """Announces that the sender could not connect to an endpoint."""

    sender: str
    endpoint: str


class EndpointLeaving(msgspec.Struct, tag="e", array_like=True):
    """Announces that an endpoint told the sender that it is leaving.

    Attributes:
        sender: Name of the instance.
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
    """

    sender: str
    endpoint: str
    born_ms: int


class EndpointReplaced(msgspec.Struct, tag="o", array_like=True):
    """Announces that another endpoint responded at an endpoint's address.

    Attributes:
        sender: Name of the instance.
        endpoint: Id of the endpoint that was expected there.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        written: Era and revision of the entry that is out of date.
    """

    sender: str
    endpoint: str
    born_ms: int
    written: tuple[int, int]


class EndpointLimit(msgspec.Struct, array_like=True):
    """What an endpoint said about the limit on its rate of requests.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        per_s: Requests a second from all instances together; None for no limit.
        sent_age_ms: Time since the request was sent that the endpoint responded
            to, in ms, at the sending of this message.
        received_age_ms: Time since the response was received, in ms.
    """

    endpoint: str
    born_ms: int
    per_s: float | None
    sent_age_ms: float
    received_age_ms: float


class EndpointCold(msgspec.Struct, tag="d", array_like=True):
    """Announces that an endpoint told the sender that it is cold.

    Attributes:
        sender: Name of the instance.
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        left_ms: Time for which it stays cold, in ms, at the sending.
        forward: Whether the receiver, of another cell, announces it there.
    """

    sender: str
    endpoint: str
    born_ms: int
    left_ms: float
    forward: bool = False


class EndpointLimited(msgspec.Struct, tag="m", array_like=True):
    """Announces that an endpoint named another limit to the sender, or none."""

    sender: str
    limit: EndpointLimit


class PermitQuery(msgspec.Struct, tag="w", array_like=True):
    """Asks for a permit to send one request to an endpoint.

    Attributes:
        sender: Name of the instance that needs the permit.
        query_id: Number of the query, unique at the sender.
        zone: Availability zone of the endpoint.
        limit: Limit of the endpoint, as the sender knows it.
        refused: Whether the request was refused, and the sender asks when its
            caller should return.
        asker_ip: IP address of the sender if the query was forwarded.
        forwards: Number of instances that have forwarded the query.
        cold_per_s: Requests a second that the grantor grants by the view of
            the sender since the endpoint is cold; 0 if it is not.
    """

    sender: str
    query_id: int
    zone: str
    limit: EndpointLimit
    refused: bool = False
    asker_ip: str = ""
    forwards: int = 0
    cold_per_s: float = 0.0


class PermitReply(msgspec.Struct, tag="x", array_like=True):
    """Replies to a `PermitQuery`.

    Attributes:
        sender: Name of the instance that grants the endpoint's permits.
        query_id: Number of the query.
        limit: Limit of the endpoint, as the sender knows it.
        granted: Whether the request may be sent.
        wait_ms: Time until the next permit can be granted, or until the caller
            should return, in ms.
    """

    sender: str
    query_id: int
    limit: EndpointLimit
    granted: bool
    wait_ms: float


def pack_limit(
    statement: placement.RateStatement, now_ms: float
) -> EndpointLimit:
    """Converts a statement for sending.

    Args:
        statement: The statement.
        now_ms: Instant of the sending; the times are sent relative to it.
    """
    return EndpointLimit(
        statement.endpoint,
        statement.born_ms,
        statement.per_s,
        now_ms - statement.sent_ms,
        now_ms - statement.received_ms,
    )


def unpack_limit(
    limit: EndpointLimit, now_ms: float
) -> placement.RateStatement:
    """Converts a received statement to the clock of this instance.

    Example:
        >>> statement = placement.RateStatement("e", 1, 2.5, 3.0, 4.0)
        >>> unpack_limit(pack_limit(statement, 9.0), 9.0) == statement
        True
    """
    return placement.RateStatement(
        limit.endpoint,
        limit.born_ms,
        limit.per_s,
        now_ms - limit.sent_age_ms,
        now_ms - limit.received_age_ms,
    )
