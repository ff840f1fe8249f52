"""Datagrams on the state that instances hold, and how fresh it is.

As in `_messages`, the order of the fields and the tags are the wire format.
"""

import msgspec

from hollycart_core import kv


class FreshnessQuery(msgspec.Struct, tag="a", array_like=True):
    """Asks how recently the state was confirmed.

    Attributes:
        sender: Name of the instance.
        sent_ms: Instant of the sending, on the clock of the sender.
    """

    sender: str
    sent_ms: float


class FreshnessReply(msgspec.Struct, tag="v", array_like=True):
    """Replies to a `FreshnessQuery`.

    Attributes:
        sender: Name of the instance.
        query_sent_ms: `sent_ms` of the query, on the clock of its sender.
        age_ms: Time since the state was last confirmed, in ms, at the sending
            of the reply.
        revision: Store revision of the sender's state.
        config_revision: Store revision of the sender's configuration.
        digest: Digest of the sender's state.
        peers_digest: Digest of the instances that the sender knows to be
            registered.
        era: Era of the store to which the revisions belong.
    """

    sender: str
    query_sent_ms: float
    age_ms: float
    revision: int
    config_revision: int
    digest: int
    peers_digest: int = 0
    era: int = 0

    @property
    def position(self) -> kv.Position:
        """Position of the sender's state."""
        return kv.Position(self.era, self.revision)


class StateChanged(msgspec.Struct, tag="c", array_like=True):
    """Announces that the sender has applied a changed state."""

    sender: str
    digest: int
