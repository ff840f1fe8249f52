"""What an instance knows of cold endpoints."""

from hollycart.observe.decisions import _base


class EndpointCold(_base.Decision, tag="endpoint_cold"):
    """An endpoint is cold for another time than was known.

    Attributes:
        endpoint: Id of the endpoint.
        born_ms: Start of its incarnation, Unix time in ms; 0 if unknown.
        zone: Its availability zone.
        source: `response` if it said so to this instance, `entry` if its entry
            does, `incarnation` if a new one was seen, `reopened` if the
            evacuation of its zone has ended, else the instance that announced
            it.
        left_ms: Time for which it stays cold; 0 if it has become warm earlier
            than expected.
    """

    endpoint: str
    born_ms: int
    zone: str
    source: str
    left_ms: float
