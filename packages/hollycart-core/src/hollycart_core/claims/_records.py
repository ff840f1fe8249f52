"""Records and decisions of the claim protocol."""

import enum
from typing import NamedTuple
from typing import TypeAlias

from hollycart_core import base


class ClaimState(enum.Enum):
    """State of a claimed call."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimRecord(NamedTuple):
    """The stored state of one idempotency key.

    Attributes:
        key: Team, service and idempotency key of the caller.
        digest: Digest of the request, to reject a reused key.
        attempt_id: The attempt that holds the claim.
        state: State of the call.
        claimed_at_ms: Wall clock time of the claim, in ms.
        call_deadline_ms: Wall clock time, in ms, after which the attempt does
            not send the call.
        status: HTTP status of the response; set for DONE.
        body: Body of the response; set for DONE.
        reason: Error code; set for NOT_RUN and UNKNOWN.
    """

    key: str
    digest: str
    attempt_id: str
    state: ClaimState
    claimed_at_ms: float
    call_deadline_ms: float
    status: int = 0
    body: bytes = b""
    reason: str = ""

    def outcome(self) -> base.Outcome | None:
        """Returns the outcome, or None while the call is in progress."""
        if self.state is ClaimState.DONE:
            return base.Done(self.status, self.body)
        if self.state is ClaimState.UNKNOWN:
            return base.Unknown(self.reason)
        if self.state is ClaimState.NOT_RUN:
            return base.NotRun(self.reason, 0.0)
        return None


class ClaimRequest(NamedTuple):
    """A request for the right to send one non-idempotent call.

    Attributes:
        key: Team, service and idempotency key of the caller.
        digest: Digest of the request, to reject a reused key.
        attempt_id: The attempt that wants to send the call.
        call_deadline_ms: Wall clock time, in ms, after which the attempt does
            not send the call.
    """

    key: str
    digest: str
    attempt_id: str
    call_deadline_ms: float


class SettleRequest(NamedTuple):
    """The outcome of a claimed call.

    Attributes:
        key: Key of the claim.
        attempt_id: The attempt that holds the claim.
        state: DONE, NOT_RUN or UNKNOWN.
        status: HTTP status of the response; set for DONE.
        body: Body of the response; set for DONE.
        reason: Error code; set for NOT_RUN and UNKNOWN.
    """

    key: str
    attempt_id: str
    state: ClaimState
    status: int = 0
    body: bytes = b""
    reason: str = ""


class Granted(NamedTuple):
    """Decision that the attempt holds the claim and may send the call."""

    record: ClaimRecord


class Settled(NamedTuple):
    """Decision that the key has an outcome; the attempt must not send."""

    record: ClaimRecord


class Pending(NamedTuple):
    """Decision that another attempt holds the claim.

    The requesting attempt must not send.
    """

    record: ClaimRecord


class KeyReused(NamedTuple):
    """Decision that the key belongs to a different request.

    The requesting attempt must not send.
    """

    record: ClaimRecord


ClaimDecision: TypeAlias = Granted | Settled | Pending | KeyReused
