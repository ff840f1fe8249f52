"""What an instance holds for callers and endpoints."""

from hollycart.observe.decisions import _base


class ResponseShed(_base.Decision, tag="response_shed"):
    """A response was given up, since memory for responses was exhausted.

    Its caller sees it truncated, or gets 502 if nothing was sent of it.

    Attributes:
        request: Id of the request.
        endpoint: Endpoint that responded; empty before its response head.
        account_bytes: Bytes that were held for the request and its response.
        held_bytes: Bytes that were held for all requests of the instance.
        held_ms: Time for which something of the response had been held.
        truncated: Whether the response had begun.
    """

    request: str
    endpoint: str
    account_bytes: int
    held_bytes: int
    held_ms: float
    truncated: bool
