"""Failures of attempts that the gateway handles differently."""

from hollycart_core import base

RETRY_AFTER_MS = 250.0  # retry hint for requests that were not executed


class EndpointLostError(base.EndpointFailedError):
    """An endpoint that an attempt depends on became unreachable."""

    code = "endpoint_lost"


class AttemptAbortedError(EndpointLostError):
    """An attempt was given up since its prompt crashes engines."""

    code = "attempt_aborted"


class TruncatedStreamError(base.EndpointFailedError):
    """A stream ended before it was complete, without an error."""

    code = "stream_truncated"


class HelperRejectedError(base.NotExecutedError):
    """An endpoint rejected a request because of one of its helpers.

    Args:
        detail: What happened, for a person.
        endpoint_id: The helper that caused the rejection.
    """

    code = "helper_rejected"

    def __init__(self, detail: str, endpoint_id: str) -> None:
        super().__init__(detail, RETRY_AFTER_MS)
        self.endpoint_id = endpoint_id


class EndpointReplacedError(base.NotExecutedError):
    """Another endpoint responded at the address of the one that was chosen."""

    code = "endpoint_replaced"


class MemoryUnavailableError(base.NotExecutedError):
    """KV-cache memory for a prompt is not available; none stays reserved."""

    code = "memory_unavailable"
