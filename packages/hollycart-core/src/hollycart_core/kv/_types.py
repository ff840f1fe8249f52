"""Interface and types of the key-value store."""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol


class Position(NamedTuple):
    """Place of a state of the store in the order of all its states.

    A store that is restored from an older copy starts a new era, in which it
    gives out revisions again. A revision alone orders states of one era only.

    Attributes:
        era: Number of the era; 0 for a store without eras.
        revision: Revision of the store.

    Example:
        >>> Position(1, 900) < Position(2, 870)
        True
    """

    era: int
    revision: int


class KeyValue(NamedTuple):
    """A stored pair.

    Attributes:
        key: Key of the pair.
        value: Stored bytes.
        mod_revision: Store revision of the last write of this key.
        create_revision: Store revision of the write that created this key.
        era: Era of the store in which the pair was read.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the last write of this key."""
        return Position(self.era, self.mod_revision)


class RangeResult(NamedTuple):
    """All pairs under a prefix, as of one store revision.

    Attributes:
        revision: Store revision.
        items: The pairs in the order of their keys.
        era: Era of the store.
    """

    revision: int
    items: tuple[KeyValue, ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the state that was read."""
        return Position(self.era, self.revision)


class Compare(NamedTuple):
    """Condition of a transaction on the last write of a key.

    It holds if the key was last written at `mod_revision`; zero requires that
    the key does not exist.
    """

    key: str
    mod_revision: int


class Put(NamedTuple):
    """Write of a transaction; a `lease_id` of zero attaches no lease."""

    key: str
    value: bytes
    lease_id: int = 0


class TxnResult(NamedTuple):
    """Result of a transaction.

    Attributes:
        succeeded: Whether the conditions held and the writes were executed.
        revision: Store revision after the transaction.
    """

    succeeded: bool
    revision: int


class KeyValueStore(Protocol):
    """Interface of a key-value store.

    Every method raises `KvUnavailableError` if the call had no effect. Writes
    raise `KvAnswerLostError` if they may have taken effect.
    """

    def range(self, prefix: str) -> RangeResult:
        """Returns all pairs whose key starts with `prefix`."""

    def txn(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
    ) -> TxnResult:
        """Executes the writes atomically if all conditions hold."""

    def grant_lease(self, ttl_ms: float) -> int:
        """Returns the id of a new lease."""

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has expired."""

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes the keys attached to it."""

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Waits for a write under `prefix` after `after_revision`.

        Returns:
            True after such a write, False after `timeout_ms`.
        """
