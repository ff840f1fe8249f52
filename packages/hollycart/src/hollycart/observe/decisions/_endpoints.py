"""What an instance believes of endpoints."""

from hollycart.observe.decisions import _base


class EndpointUnreachable(_base.Decision, tag="endpoint_unreachable"):
    """An endpoint accepts no connections and gets no more requests."""

    endpoint: str


class EndpointReachable(_base.Decision, tag="endpoint_reachable"):
    """An endpoint accepts connections again."""

    endpoint: str


class EndpointReplaced(_base.Decision, tag="endpoint_replaced"):
    """Another endpoint responded at an endpoint's address.

    The endpoint gets no more requests until its entry is written again.

    Attributes:
        endpoint: Id of the endpoint that was expected there.
        era: Era of the store in which its entry was last written.
        revision: Revision at which it was.
        source: `response` if this instance got the response, else the instance
            that announced it.
    """

    endpoint: str
    era: int
    revision: int
    source: str


class EndpointLeaving(_base.Decision, tag="endpoint_leaving"):
    """An endpoint stated that it is leaving; it gets no more requests.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        source: `response` if it said so to this instance, else the instance
            that announced it.
        listed_leaving: Whether the state lists it as leaving as well.
        age_ms: Age of the state.
    """

    endpoint: str
    born_ms: int
    source: str
    listed_leaving: bool
    age_ms: float


class EndpointPaused(_base.Decision, tag="endpoint_paused"):
    """An endpoint asked this instance for a pause.

    Attributes:
        endpoint: Id of the endpoint.
        asked_ms: The time that it asked for.
        pause_ms: The time for which it gets no requests.
    """

    endpoint: str
    asked_ms: float
    pause_ms: float


class EndpointLimited(_base.Decision, tag="endpoint_limited"):
    """An endpoint named another limit on its rate of requests, or none.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        per_s: Requests a second that it accepts from all instances together;
            None if it has ended its limit.
        source: `response` if it said so to this instance, else the instance
            that announced it.
        age_ms: Time since the response was received, in ms.
    """

    endpoint: str
    born_ms: int
    per_s: float | None
    source: str
    age_ms: float


class PermitRefused(_base.Decision, tag="permit_refused"):
    """An attempt got no permit for an endpoint that limits its rate.

    Attributes:
        attempt: Id of the attempt.
        endpoint: Id of the endpoint.
        outcome: `denied`, `no_reply` if the grantor was silent, or `share` if
            this instance has used its own share for a cold endpoint.
        limit_per_s: Limit of the endpoint, in requests a second.
        limit_age_ms: Time since the endpoint last named it to an instance.
        wait_ms: Time for which the endpoint is not asked for again.
        query_ms: Duration of the query.
        cold: Whether the endpoint is cold. Its rate then counts if it is lower
            than the limit.
    """

    attempt: str
    endpoint: str
    outcome: str
    limit_per_s: float
    limit_age_ms: float
    wait_ms: float
    query_ms: float
    cold: bool = False


class LoadSurveyed(_base.Decision, tag="load_surveyed"):
    """Endpoints were asked for their load, since no instance knew of any.

    Attributes:
        endpoints: Number of endpoints that were asked.
        requests: Number of requests that they reported.
    """

    endpoints: int
    requests: int
