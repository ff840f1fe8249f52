"""Messages between instances."""

from typing import NamedTuple

from hollycart_core import claims
from hollycart_core import membership
from hollycart_core import scheduling
from hollycart_core import table


class ExchangeMessage(NamedTuple):
    """Heartbeats of the sender and of the responsive instances in its view.

    The request and the reply have this same type.
    """

    sender: str
    digests: tuple[membership.MemberDigest, ...]


class AcquireMessage(NamedTuple):
    """Requests a permit from the owner of a pool.

    Attributes:
        model: Name of the pool.
        request: The request for the permit.
    """

    model: str
    request: scheduling.PermitRequest


class AcquireReply(NamedTuple):
    """A permit with the addresses of its endpoints, or a refusal.

    Attributes:
        permit: The permit; None for a refusal.
        addresses: `host:port` of each endpoint of the permit.
        code: Error code of a refusal.
        retry_after_ms: Time after which the caller may retry after a refusal,
            in ms.
    """

    permit: scheduling.Permit | None
    addresses: tuple[str, ...] = ()
    code: str = ""
    retry_after_ms: float = 0.0


class FirstToken(NamedTuple):
    """Reports that the prefill of a permit's prompt is complete.

    Attributes:
        permit_id: The permit.
        cached_tokens: Prompt tokens found in the prefix cache.
    """

    permit_id: str
    cached_tokens: int


class ReportMessage(NamedTuple):
    """Reports changes of the permits that one instance holds.

    Attributes:
        model: Name of the pool.
        first_tokens: Permits whose prefill is complete.
        released: Ids of permits that have ended and of requests that were
            abandoned.
        live_permits: All permits in use if the report renews them; empty in the
            reports between renewals.
    """

    model: str
    first_tokens: tuple[FirstToken, ...] = ()
    released: tuple[str, ...] = ()
    live_permits: tuple[scheduling.LivePermit, ...] = ()


class ConfirmMessage(NamedTuple):
    """Asks an instance which of these attempts it does not use."""

    attempt_ids: tuple[str, ...]


class ClaimMessage(NamedTuple):
    """A claim or the outcome of a claimed call, for the owner of the shard.

    Attributes:
        claim: The claim; None if the message carries an outcome.
        settle: The outcome; None if the message carries a claim.
    """

    claim: claims.ClaimRequest | None = None
    settle: claims.SettleRequest | None = None


class ClaimReply(NamedTuple):
    """The decision on a claim or an outcome.

    Attributes:
        decision: `granted`, `settled`, `pending`, `reused` or `stored`;
            an error code if nothing was stored.
        record: The stored record that the decision is based on.
        retry_after_ms: Time after which to retry after an error, in ms.
    """

    decision: str
    record: claims.ClaimRecord | None = None
    retry_after_ms: float = 0.0


class TableQuery(NamedTuple):
    """Requests the deltas after a revision of the table."""

    revision: int


class TableReply(NamedTuple):
    """The deltas after a revision, or the full table if they are not kept.

    Attributes:
        revision: Revision of the table that the reply leads to.
        deltas: The deltas, in order.
        limits: All limit rows of a full table.
        teams: All team rows of a full table.
        is_full_table: Whether the reply holds the full table.
    """

    revision: int
    deltas: tuple[table.Delta, ...] = ()
    limits: tuple[table.LimitRow, ...] = ()
    teams: tuple[table.TeamRow, ...] = ()
    is_full_table: bool = False


class Empty(NamedTuple):
    """A reply without content."""


class ConfirmReply(NamedTuple):
    """The attempts that are not in use at the called instance."""

    attempt_ids: tuple[str, ...]
