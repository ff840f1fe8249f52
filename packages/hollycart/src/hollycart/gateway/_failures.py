"""Failures of attempts that the gateway handles differently."""

from hollycart_core import base

RETRY_AFTER_MS = 250.0  # retry hint for requests that were not executed
# The same while all zones of a service are evacuated: its end is learned within
# about this time.
EVACUATED_RETRY_AFTER_MS = 1000.0


class EndpointLostError(base.EndpointFailedError):
    """An endpoint that an attempt depends on became unreachable."""

    code = "endpoint_lost"


class AttemptAbortedError(EndpointLostError):
    """An attempt was given up since its prompt crashes engines."""

    code = "attempt_aborted"


class TruncatedStreamError(base.EndpointFailedError):
    """A stream ended before it was complete, without an error."""

    code = "stream_truncated"


class NotResumedError(base.EndpointFailedError):
    """An endpoint did not go on with a stream where it had broken off."""

    code = "not_resumed"


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


class EndpointEvacuatedError(base.NotExecutedError):
    """The zone of an endpoint is evacuated; nothing was sent to it."""

    code = "endpoint_evacuated"


class ZonesEvacuatedError(base.NoEndpointError):
    """All availability zones with endpoints of the service are evacuated."""

    code = "zones_evacuated"


class MemoryUnavailableError(base.NotExecutedError):
    """KV-cache memory for a prompt is not available; none stays reserved."""

    code = "memory_unavailable"
