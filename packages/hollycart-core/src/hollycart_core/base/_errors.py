"""The typed failures of the project."""

from typing import ClassVar

import msgspec

# What decoding foreign bytes may raise; text that is not UTF-8 raises apart.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError)


class HollycartError(Exception):
    """Base class of all failures.

    Args:
        detail: What happened, for a person.
        retry_after_ms: When the caller may try again, in ms; None where a
            repetition would fail in the same way.

    Attributes:
        attempt_id: The attempt that the failure is about, if any.

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
    """One or more settings are out of range."""

    code = "invalid_settings"


class UnauthorizedError(HollycartError):
    """The bearer key is missing or unknown."""

    code = "invalid_api_key"
    http_status = 401


class NotFoundError(HollycartError):
    """The path, model, service or row does not exist."""

    code = "not_found"
    http_status = 404


class MethodNotAllowedError(HollycartError):
    """The path exists but not for this method."""

    code = "method_not_allowed"
    http_status = 405


class BodyTimeoutError(HollycartError):
    """The caller sent its body too slowly."""

    code = "body_timeout"
    http_status = 408


class KeyReusedError(HollycartError):
    """The idempotency key was used before with a different request."""

    code = "idempotency_key_reused"
    http_status = 422


class PayloadTooLargeError(HollycartError):
    """The body or prompt is over its limit."""

    code = "payload_too_large"
    http_status = 413


class RateLimitedError(HollycartError):
    """The team is over a limit of its row."""

    code = "rate_limited"
    http_status = 429


class OverloadedError(HollycartError):
    """The request could not meet its deadline and was not started."""

    code = "overloaded"
    http_status = 503


class NotRunError(HollycartError):
    """A non-idempotent call was proven not to have been sent."""

    code = "not_run"
    http_status = 503


class OutcomeUnknownError(HollycartError):
    """A non-idempotent call may have been executed."""

    code = "outcome_unknown"
    http_status = 502


class EndpointFailedError(HollycartError):
    """An endpoint broke the connection or answered with an error."""

    code = "endpoint_failed"
    http_status = 502


class EndpointUnreachableError(EndpointFailedError):
    """No byte of the request reached the endpoint."""

    code = "endpoint_unreachable"


class SilentEndpointError(EndpointFailedError):
    """An endpoint sent nothing in the time that was granted."""

    code = "endpoint_silent"
    http_status = 504


class NotExecutedError(HollycartError):
    """An endpoint rejected a request and says that it has not run."""

    code = "endpoint_rejected"
    http_status = 503


class NoEndpointError(HollycartError):
    """No endpoint of the service may receive a request."""

    code = "no_endpoint"
    http_status = 503


class StoppingError(HollycartError):
    """The instance stops before the request could be complete."""

    code = "stopping"
    http_status = 503


class StaleConfigError(HollycartError):
    """The configuration is not proven to be recent enough to act on."""

    code = "stale_config"
    http_status = 503


class DeadlineExceededError(HollycartError):
    """The deadline passed before the answer was complete."""

    code = "deadline_exceeded"
    http_status = 504


class KvUnavailableError(HollycartError):
    """The key-value service refused the call; it took no effect."""

    code = "kv_unavailable"
    http_status = 503


class KvAnswerLostError(HollycartError):
    """The key-value service may or may not have executed the write."""

    code = "kv_answer_lost"
    http_status = 503


class VersionConflictError(HollycartError):
    """A row was changed after the editor had read it."""

    code = "version_conflict"
    http_status = 409


class InvalidTableError(HollycartError):
    """One or more cells of a table file are invalid."""

    code = "invalid_table"
    http_status = 400


class StoreFullError(HollycartError):
    """A bounded store reached its size; nothing was written."""

    code = "store_full"
    http_status = 503


class LeaseLostError(HollycartError):
    """The lease lapsed or has too little time left to act under it."""

    code = "lease_lost"
    http_status = 503


class PeerUnreachableError(HollycartError):
    """Another instance did not answer; the call may have been executed."""

    code = "peer_unreachable"
    http_status = 503


class InvariantError(HollycartError):
    """An invariant of the program was violated."""

    code = "invariant_violated"
