"""The three outcomes of a non-idempotent call."""

from typing import NamedTuple
from typing import TypeAlias


class Done(NamedTuple):
    """The call was executed.

    Attributes:
        status: HTTP status of the service's response.
        body: Body of the service's response.
    """

    status: int
    body: bytes


class NotRun(NamedTuple):
    """The call was certainly not executed.

    Attributes:
        reason: Code of the error that prevented the execution.
        retry_after_ms: Time after which the caller may retry, in ms.
    """

    reason: str
    retry_after_ms: float


class Unknown(NamedTuple):
    """The call may have been executed.

    Attributes:
        reason: Code of the error after which the outcome is unknown.
    """

    reason: str


Outcome: TypeAlias = Done | NotRun | Unknown
