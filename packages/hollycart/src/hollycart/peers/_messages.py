"""Messages between instances."""

from typing import NamedTuple

from hollycart_core import claims
from hollycart_core import membership
from hollycart_core import scheduling
from hollycart_core import table


class ExchangeMessage(NamedTuple):
    """Heartbeats known to one instance; asked and answered alike."""

    sender: str
    digests: tuple[membership.MemberDigest, ...]


class AcquireMessage(NamedTuple):
    """Asks the owner of a pool for a permit."""

    model: str
    request: scheduling.PermitRequest


class AcquireReply(NamedTuple):
    """A permit with the addresses of its endpoints, or a refusal."""

    permit: scheduling.Permit | None
    addresses: tuple[str, ...] = ()
    code: str = ""
    retry_after_ms: float = 0.0


class FirstToken(NamedTuple):
    """The prompt of a permit has been processed."""

    permit_id: str
    cached_tokens: int


class ReportMessage(NamedTuple):
    """What has become of permits of one instance.

    Attributes:
        model: Names the pool.
        first_tokens: Prompts processed.
        released: Ended permits and abandoned requests.
        live_permits: Permits in use; all of them at intervals, otherwise none.
    """

    model: str
    first_tokens: tuple[FirstToken, ...] = ()
    released: tuple[str, ...] = ()
    live_permits: tuple[scheduling.LivePermit, ...] = ()


class ConfirmMessage(NamedTuple):
    """Asks an instance which of its attempts are not in use."""

    attempt_ids: tuple[str, ...]


class ClaimMessage(NamedTuple):
    """A claim or an outcome for the owner of a claim shard."""

    claim: claims.ClaimRequest | None = None
    settle: claims.SettleRequest | None = None


class ClaimReply(NamedTuple):
    """The decision on a claim.

    Attributes:
        decision: `granted`, `settled`, `pending`, `reused` or `stored`;
            an error code if nothing was stored.
        record: The record that decided.
        retry_after_ms: When to come back after an error, in ms.
    """

    decision: str
    record: claims.ClaimRecord | None = None
    retry_after_ms: float = 0.0


class TableQuery(NamedTuple):
    """Asks for the steps after a revision of the table."""

    revision: int


class TableReply(NamedTuple):
    """The steps after a revision, or the whole table if they are not kept."""

    revision: int
    deltas: tuple[table.Delta, ...] = ()
    limits: tuple[table.LimitRow, ...] = ()
    teams: tuple[table.TeamRow, ...] = ()
    is_full_table: bool = False


class Empty(NamedTuple):
    """An answer without content."""


class ConfirmReply(NamedTuple):
    """Identifiers of attempts."""

    attempt_ids: tuple[str, ...]
