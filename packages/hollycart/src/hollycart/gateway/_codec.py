"""Contents of the platform's HTTP messages, independent of their format."""

from typing import NamedTuple
from typing import Protocol

from hollycart_core import connections


class RequestMeta(NamedTuple):
    """Metadata of a caller's request.

    Attributes:
        request_id: Id that the caller gave to this attempt.
        host: Host name that the request is addressed to.
        path: Path without the query string.
        caller_timeout_ms: Time for which the caller waits, in ms; None if not
            given.
        api_key: API key of the caller; empty if not given.
        prompt_tokens: Declared length of the prompt, in tokens; 0 for requests
            without a prompt.
        output_tokens: Expected length of the answer, in tokens.
        last_event_id: Last event that the caller received of an interrupted
            stream; empty for a new one.
        max_output_tokens: Largest length of the answer, in tokens; 0 if not
            given.
        shared_segments: Ids of the segments of the prompt that other prompts
            may share, in order; without the last one, which belongs to this
            prompt.
        pins_version: Whether the caller asks for a version of the weights.
            Endpoints with another one reject the request.
    """

    request_id: str
    host: str
    path: str
    caller_timeout_ms: float | None
    api_key: str
    prompt_tokens: int
    output_tokens: int
    last_event_id: str
    max_output_tokens: int = 0
    shared_segments: tuple[str, ...] = ()
    pins_version: bool = False


class AttemptMeta(NamedTuple):
    """Metadata of an attempt, sent to the endpoint.

    Attributes:
        endpoint_id: Id of the endpoint, which differs for each of its starts.
        remaining_ms: Time until the deadline, in ms.
        team: Team that the request is billed to; empty without one.
        urgency: From 0, the most urgent, to 9; None for the default.
        helpers: Endpoints that prefill parts of the prompt, as `IP:PORT` or
            `IP:PORT/RESERVATION_ID`.
        last_event_id: Event after which the stream resumes; empty at its
            start.
    """

    endpoint_id: str
    remaining_ms: float
    team: str
    urgency: int | None
    helpers: tuple[str, ...]
    last_event_id: str


class ResponseMeta(NamedTuple):
    """Metadata of an endpoint's response.

    Attributes:
        request_id: Id of the request that the response belongs to.
        sealed: Whether the response carries the seal by which the endpoint
            confirms it.
        not_executed: Whether the endpoint states that the request was not
            executed.
        running: Number of requests in flight at the endpoint; None if not
            given.
        retry_after_ms: Time after which to retry, in ms; None if not given.
        faulty_endpoint: Id or address of the endpoint that caused a rejection.
        leaving: Whether the endpoint that responded states that it is leaving.
        limit_per_s: Requests a second that the endpoint accepts from all
            instances together; None if it names no limit.
        misdirected: Whether another endpoint than the one that was expected
            responded.
        cold_left_ms: Time for which the endpoint stays cold, in ms; None if
            the response does not state it.
    """

    request_id: str
    sealed: bool
    not_executed: bool
    running: int | None
    retry_after_ms: float | None
    faulty_endpoint: str = ""
    leaving: bool = False
    limit_per_s: float | None = None
    misdirected: bool = False
    cold_left_ms: float | None = None

    def belongs_to(self, request_id: str, is_new: bool) -> bool:
        """Returns whether this is the response to a request.

        The id tells. A response without one may be a copy of an earlier one.

        Args:
            request_id: Id of the request; empty if it had none.
            is_new: Whether its connection has carried no other response.

        Example:
            >>> response = ResponseMeta("", False, True, None, None)
            >>> response.belongs_to("a", True), response.belongs_to("a", False)
            (True, False)
        """
        if self.request_id:
            return self.request_id == request_id
        return is_new


class EndpointLoad(NamedTuple):
    """Load as an endpoint reports it.

    Attributes:
        requests: Number of requests that run or wait there.
        memory_tokens: KV cache in use, in tokens.
    """

    requests: int
    memory_tokens: int


class RequestCodec(Protocol):
    """Translates the heads of HTTP messages; each platform has its own."""

    def decode_request(self, head: connections.RequestHead) -> RequestMeta:
        """Returns the metadata of a caller's request.

        Raises:
            InvalidRequestError: If a required field is missing or malformed.
        """

    def encode_attempt(
        self, head: connections.RequestHead, attempt: AttemptMeta
    ) -> connections.RequestHead:
        """Returns the request head that is sent to an endpoint."""

    def encode_reservation(
        self, reservation_id: str, tokens: int, hold_ms: float
    ) -> tuple[connections.RequestHead, bytes]:
        """Returns head and body of a request that reserves memory.

        Args:
            reservation_id: Id of the reservation.
            tokens: Memory to reserve, in tokens.
            hold_ms: Time after which the reservation expires, in ms.
        """

    def encode_release(
        self, reservation_id: str
    ) -> tuple[connections.RequestHead, bytes]:
        """Returns head and body of a request that releases reserved memory."""

    def encode_load_query(self) -> connections.RequestHead:
        """Returns the head of a request for the load of an endpoint."""

    def encode_health_query(self, path: str) -> connections.RequestHead:
        """Returns the head of a request for the health of an endpoint.

        Args:
            path: Path that the service declares for it.
        """

    def decode_load(
        self, head: connections.ResponseHead, body: bytes
    ) -> EndpointLoad | None:
        """Returns the load in an endpoint's response; None if there is none."""

    def decode_response(self, head: connections.ResponseHead) -> ResponseMeta:
        """Returns the metadata of an endpoint's response."""

    def encode_failure(
        self,
        request_id: str,
        retry_after_ms: float | None,
    ) -> connections.Headers:
        """Returns the header fields of an error response of this instance."""
