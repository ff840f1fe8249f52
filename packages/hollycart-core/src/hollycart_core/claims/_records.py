"""Records and decisions of the claim protocol."""

import enum
from typing import NamedTuple
from typing import TypeAlias

from hollycart_core import base


class ClaimState(enum.Enum):
    """Progress of a claimed call."""

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
        state: Progress of the call.
        claimed_at_ms: Wall clock time of the claim, in ms.
        call_deadline_ms: Wall clock time after which the attempt does not send.
        status: HTTP status of the first outcome.
        body: Body of the first outcome.
        reason: Error code of an unknown outcome.
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
    """Asks for the right to send one non-idempotent call."""

    key: str
    digest: str
    attempt_id: str
    call_deadline_ms: float


class SettleRequest(NamedTuple):
    """Reports the outcome of a claimed call.

    Attributes:
        key: Key of the claim.
        attempt_id: The attempt that held the claim.
        state: DONE, NOT_RUN or UNKNOWN.
        status: HTTP status for DONE.
        body: Body for DONE.
        reason: Error code for the others.
    """

    key: str
    attempt_id: str
    state: ClaimState
    status: int = 0
    body: bytes = b""
    reason: str = ""


class Granted(NamedTuple):
    """The attempt holds the claim and may send the call."""

    record: ClaimRecord


class Settled(NamedTuple):
    """The key has an outcome; the attempt must not send."""

    record: ClaimRecord


class Pending(NamedTuple):
    """Another attempt holds the claim; the attempt must not send."""

    record: ClaimRecord


class KeyReused(NamedTuple):
    """The key was used before with a different request."""

    record: ClaimRecord


ClaimDecision: TypeAlias = Granted | Settled | Pending | KeyReused
