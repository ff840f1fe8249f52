"""Error types with their HTTP status and error code."""

from typing import ClassVar


class HollycartError(Exception):
    """Base class of all errors.

    Args:
        detail: Human-readable description of what happened.
        retry_after_ms: Time in ms after which the caller may retry; None if a
            retry would fail in the same way.

    Attributes:
        attempt_id: The attempt that failed; empty if the error concerns none.

    Example:
        >>> OverloadedError("queue full", retry_after_ms=1500).http_status
        503
    """

    code: ClassVar[str] = "internal_error"
    http_status: ClassVar[int] = 500

    def __init__(
        self, detail: str = "", retry_after_ms: float | None = None
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.attempt_id = ""


class InvalidRequestError(HollycartError):
    """The request is malformed."""

    code = "invalid_request"
    http_status = 400


class InvalidSettingsError(HollycartError):
    """One or more settings are missing, malformed or out of range."""

    code = "invalid_settings"


class UnauthorizedError(HollycartError):
    """The API key is missing, unknown or not allowed to make the request."""

    code = "invalid_api_key"
    http_status = 401


class NotFoundError(HollycartError):
    """The path, model, service or row does not exist."""

    code = "not_found"
    http_status = 404


class MethodNotAllowedError(HollycartError):
    """The path does not support the HTTP method."""

    code = "method_not_allowed"
    http_status = 405


class BodyTimeoutError(HollycartError):
    """The request body did not arrive in time."""

    code = "body_timeout"
    http_status = 408


class KeyReusedError(HollycartError):
    """The idempotency key was already used for a different request."""

    code = "idempotency_key_reused"
    http_status = 422


class PayloadTooLargeError(HollycartError):
    """The request body or the prompt exceeds its size limit."""

    code = "payload_too_large"
    http_status = 413


class RateLimitedError(HollycartError):
    """The team exceeds a rate limit in its row of the table."""

    code = "rate_limited"
    http_status = 429


class OverloadedError(HollycartError):
    """The request would miss its deadline and was rejected unexecuted."""

    code = "overloaded"
    http_status = 503


class NotRunError(HollycartError):
    """A non-idempotent call was certainly not executed."""

    code = "not_run"
    http_status = 503


class OutcomeUnknownError(HollycartError):
    """A non-idempotent call may have been executed."""

    code = "outcome_unknown"
    http_status = 502


class EndpointFailedError(HollycartError):
    """An endpoint broke the connection or responded with an error."""

    code = "endpoint_failed"
    http_status = 502


class EndpointUnreachableError(EndpointFailedError):
    """No byte of the request was sent to the endpoint."""

    code = "endpoint_unreachable"


class SilentEndpointError(EndpointFailedError):
    """An endpoint sent no data before the read timeout."""

    code = "endpoint_silent"
    http_status = 504


class NotExecutedError(HollycartError):
    """An endpoint rejected a request and states that it did not execute it."""

    code = "endpoint_rejected"
    http_status = 503


class NoEndpointError(HollycartError):
    """No endpoint of the service is available for the request."""

    code = "no_endpoint"
    http_status = 503


class QuarantinedError(HollycartError):
    """The request has a trait on which engines crash; it was not executed."""

    code = "quarantined"
    http_status = 503


class StoppingError(HollycartError):
    """The instance is stopping and cannot complete the request."""

    code = "stopping"
    http_status = 503


class StaleConfigError(HollycartError):
    """The configuration was not confirmed recently enough to act on."""

    code = "stale_config"
    http_status = 503


class DeadlineExceededError(HollycartError):
    """The deadline passed before the response was complete."""

    code = "deadline_exceeded"
    http_status = 504


class KvUnavailableError(HollycartError):
    """The key-value service rejected the call or could not be reached.

    The call had no effect.
    """

    code = "kv_unavailable"
    http_status = 503


class KvAnswerLostError(HollycartError):
    """The response to a write was lost; the write may have been executed."""

    code = "kv_answer_lost"
    http_status = 503


class VersionConflictError(HollycartError):
    """The row was changed after the editor read it."""

    code = "version_conflict"
    http_status = 409


class InvalidTableError(HollycartError):
    """One or more cells of a table file are invalid."""

    code = "invalid_table"
    http_status = 400


class StoreFullError(HollycartError):
    """A bounded store is full; nothing was written."""

    code = "store_full"
    http_status = 503


class LeaseLostError(HollycartError):
    """The lease expired or has too little time left to act under it."""

    code = "lease_lost"
    http_status = 503


class PeerUnreachableError(HollycartError):
    """Another instance did not respond; it may have executed the call."""

    code = "peer_unreachable"
    http_status = 503


class InvariantError(HollycartError):
    """An invariant checked at run time does not hold."""

    code = "invariant_violated"
