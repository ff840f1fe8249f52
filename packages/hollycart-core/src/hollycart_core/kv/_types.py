"""Types of the platform's key-value service."""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol


class KeyValue(NamedTuple):
    """One stored pair.

    Attributes:
        key: The key.
        value: The value.
        mod_revision: Store revision of the last write of this key.
        create_revision: Store revision of the write that created this key.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


class RangeResult(NamedTuple):
    """All pairs under a prefix at one store revision."""

    revision: int
    items: tuple[KeyValue, ...]


class Compare(NamedTuple):
    """A condition of a transaction: the key was last written at a revision.

    A `mod_revision` of zero requires that the key does not exist.
    """

    key: str
    mod_revision: int


class Put(NamedTuple):
    """A write of a transaction; `lease_id` zero means none."""

    key: str
    value: bytes
    lease_id: int = 0


class TxnResult(NamedTuple):
    """Whether the conditions held and the writes were executed."""

    succeeded: bool
    revision: int


class KeyValueStore(Protocol):
    """The platform's key-value service.

    Every method raises `KvUnavailableError` where the call took no effect;
    writes raise `KvAnswerLostError` where that is not known.
    """

    def range(self, prefix: str) -> RangeResult:
        """Returns all pairs whose key starts with `prefix`."""

    def txn(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
    ) -> TxnResult:
        """Executes the writes at once if all conditions hold."""

    def grant_lease(self, ttl_ms: float) -> int:
        """Returns the id of a new lease."""

    def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has lapsed."""

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys written under it."""

    def watch(
        self, prefix: str, after_revision: int, timeout_ms: float
    ) -> bool:
        """Waits for a write under `prefix` newer than `after_revision`.

        Returns:
            True after such a write, False after `timeout_ms`.
        """
