"""Failures of attempts that the gateway tells apart."""

from hollycart_core import base

RETRY_AFTER_MS = 250.0  # a request that was not run may come back after this


class EndpointLostError(base.EndpointFailedError):
    """An endpoint that an attempt depends on was found to be gone."""

    code = "endpoint_lost"


class HelperRejectedError(base.NotExecutedError):
    """A request was rejected because of an endpoint that should help.

    Args:
        detail: What happened, for a person.
        endpoint_id: The endpoint at fault.
    """

    code = "helper_rejected"

    def __init__(self, detail: str, endpoint_id: str) -> None:
        super().__init__(detail, RETRY_AFTER_MS)
        self.endpoint_id = endpoint_id


class MemoryUnavailableError(base.NotExecutedError):
    """Memory that was predicted to be free is not; nothing is set aside."""

    code = "memory_unavailable"
