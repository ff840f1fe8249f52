"""What the platform's messages mean, without their words."""

from typing import NamedTuple
from typing import Protocol

from hollycart_core import connections


class RequestMeta(NamedTuple):
    """What a caller's request says about itself.

    Attributes:
        request_id: Id of the caller's attempt.
        host: Host that the request is for.
        path: Path without query.
        caller_timeout_ms: Time that the caller still waits, in ms; None if not
            said.
        api_key: Key of the caller; empty without one.
        prompt_tokens: Declared prompt length, 0 for other requests.
        output_tokens: Expected answer length, in tokens.
        last_event_id: Last event that the caller has of a broken stream.
    """

    request_id: str
    host: str
    path: str
    caller_timeout_ms: float | None
    api_key: str
    prompt_tokens: int
    output_tokens: int
    last_event_id: str


class AttemptMeta(NamedTuple):
    """What an endpoint is told about one attempt.

    Attributes:
        endpoint_id: The lifetime of the endpoint that is meant.
        remaining_ms: Time that is left, in ms.
        team: Team that the request is billed to; empty without one.
        urgency: From 0, the most urgent, to 9; None leaves the default.
        helpers: Endpoints that read parts, as `IP:PORT` or `IP:PORT/TICKET`.
        last_event_id: Event after which a stream goes on; empty at its begin.
    """

    endpoint_id: str
    remaining_ms: float
    team: str
    urgency: int | None
    helpers: tuple[str, ...]
    last_event_id: str


class AnswerMeta(NamedTuple):
    """What the head of an endpoint's answer says.

    Attributes:
        request_id: Id of the request that is answered.
        sealed: Whether the endpoint vouches for the answer.
        not_executed: Whether the endpoint says that the request has not run.
        running: Requests that run at the endpoint; None if not said.
        retry_after_ms: When to come back, in ms; None if not said.
        faulty_endpoint: Id or address of the endpoint that caused a rejection.
    """

    request_id: str
    sealed: bool
    not_executed: bool
    running: int | None
    retry_after_ms: float | None
    faulty_endpoint: str = ""


class RequestCodec(Protocol):
    """Translates heads of messages; one adapter for each platform."""

    def decode_request(self, head: connections.RequestHead) -> RequestMeta:
        """Returns what a caller's request says.

        Raises:
            InvalidRequestError: If a required field is missing or malformed.
        """

    def encode_attempt(
        self, head: connections.RequestHead, attempt: AttemptMeta
    ) -> connections.RequestHead:
        """Returns the head that an endpoint receives."""

    def encode_reservation(
        self, ticket: str, tokens: int, hold_ms: float
    ) -> tuple[connections.RequestHead, bytes]:
        """Returns the order that sets memory aside at an endpoint."""

    def encode_release(
        self, ticket: str
    ) -> tuple[connections.RequestHead, bytes]:
        """Returns the order that frees memory set aside."""

    def decode_answer(self, head: connections.ResponseHead) -> AnswerMeta:
        """Returns what an endpoint's answer says."""

    def encode_failure(
        self,
        request_id: str,
        retry_after_ms: float | None,
    ) -> connections.Headers:
        """Returns the fields of an answer that this instance makes itself."""
