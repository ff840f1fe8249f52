"""The three outcomes of a non-idempotent call."""

from typing import NamedTuple
from typing import TypeAlias


class Done(NamedTuple):
    """The call was executed.

    Attributes:
        status: HTTP status of the service's answer.
        body: Body of the service's answer.
    """

    status: int
    body: bytes


class NotRun(NamedTuple):
    """The call was proven not to have been executed.

    Attributes:
        reason: Error code of the proof.
        retry_after_ms: When the caller may try again, in ms.
    """

    reason: str
    retry_after_ms: float


class Unknown(NamedTuple):
    """The call may have been executed.

    Attributes:
        reason: Error code of what was seen.
    """

    reason: str


Outcome: TypeAlias = Done | NotRun | Unknown
