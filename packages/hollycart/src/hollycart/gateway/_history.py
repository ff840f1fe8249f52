"""Completes reads of a store that was restored from an older copy."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

import xxhash

from hollycart_core import kv

# Deleted keys are remembered for this many deletions, far more than an older
# copy of the store can hold again.
_MAX_DELETIONS = 4096


class FormerValue(NamedTuple):
    """What an earlier era of the store held under a key.

    Attributes:
        item: The last value; its revision is that of the deletion if the key
            was deleted.
        deleted: Whether the key was deleted.
    """

    item: kv.KeyValue
    deleted: bool = False


class RawState(NamedTuple):
    """The undecoded state, as instances send it to each other.

    Attributes:
        contents: All key-value pairs of the store, as they were read.
        digest: Hash of the pairs without the registrations of instances.
        peers_digest: Hash of the registrations.
        former: Values of earlier eras that replace older ones in `contents`.
        era_start: Lowest revision seen in the era of `contents`. Pairs with a
            higher one were written in this era.
    """

    contents: kv.RangeResult
    digest: int
    peers_digest: int = 0
    former: tuple[FormerValue, ...] = ()
    era_start: int = 0

    def merge(self) -> kv.RangeResult:
        """Returns the contents with the former values in their place."""
        if not self.former:
            return self.contents
        former = {f.item.key: f for f in self.former}
        items = []
        for item in self.contents.items:
            found = former.get(item.key)
            if found is None:
                items.append(item)
            elif not found.deleted:
                items.append(found.item)
        return self.contents._replace(items=tuple(items))


class ValueOrder(Protocol):
    """What the history needs to know of keys and values."""

    def is_registration(self, key: str) -> bool:
        """Returns whether a key is that of an instance's registration."""

    def precedence(self, item: kv.KeyValue) -> int | None:
        """Returns a number that only grows with the values of a key.

        Returns:
            The number, 0 for keys without one, None for a value that replaces
            no other: a malformed one, and one whose key alone counts.
        """


class StoreHistory:
    """Remembers what a restored store has lost until it is written again.

    A store that comes back from an older copy starts a new era. The copy may
    hold an older configuration, endpoints that have left, or an older
    incarnation of an endpoint. Values of the earlier era replace those of the
    copy until their keys are written in the new era. Keys that the copy lacks
    are not kept here: their owners write them again.

    Args:
        order: Orders the values of a key.

    Attributes:
        raw: The newest state; None before the first one.
    """

    def __init__(self, order: ValueOrder) -> None:
        self.order = order
        self.raw: RawState | None = None
        self._deletions: dict[str, FormerValue] = {}

    def update(
        self,
        contents: kv.RangeResult,
        former: Iterable[FormerValue] = (),
        era_start: int | None = None,
    ) -> RawState | None:
        """Adds a read of the store, or the state of another instance.

        Args:
            contents: All key-value pairs of the store.
            former: Former values that the other instance holds.
            era_start: Lowest revision that the other instance has seen in the
                era of `contents`; None for a read of the store.

        Returns:
            The newest state; None if `contents` are older than it and bring no
            former value that was not known. What an instance still holds of an
            earlier era are former values.
        """
        current = self.raw
        former = tuple(former)
        lags = False
        starts = [contents.revision]
        if era_start is not None:
            starts.append(era_start)
        candidates: dict[str, FormerValue] = {}
        if current is not None:
            if contents.position < current.contents.position:
                if contents.era != current.contents.era:
                    if era_start is None:
                        return None
                    former += self._written_values(contents)
                    starts = []
                elif not former:
                    return None
                lags, contents = True, current.contents
            if contents.era == current.contents.era:
                starts.append(current.era_start)
                candidates = {f.item.key: f for f in current.former}
                self._record_deletions(current, contents)
            else:
                candidates = self._values_of(current)
        for value in former:
            known = candidates.get(value.item.key)
            if known is None or known.item.position < value.item.position:
                candidates[value.item.key] = value
        raw = _make_raw_state(
            contents,
            self._select(candidates, contents, min(starts)),
            min(starts),
            self.order.is_registration,
        )
        if lags and current is not None and raw.digest == current.digest:
            return None
        self.raw = raw
        return raw

    def _record_deletions(
        self, current: RawState, contents: kv.RangeResult
    ) -> None:
        if current.contents.items is contents.items:
            return
        listed = {item.key for item in contents.items}
        for item in current.contents.items:
            if item.key in listed or self.order.is_registration(item.key):
                continue
            self._deletions.pop(item.key, None)
            self._deletions[item.key] = FormerValue(
                item._replace(mod_revision=contents.revision), True
            )
        while len(self._deletions) > _MAX_DELETIONS:
            del self._deletions[next(iter(self._deletions))]

    def _written_values(
        self, contents: kv.RangeResult
    ) -> tuple[FormerValue, ...]:
        return tuple(
            FormerValue(item)
            for item in contents.items
            if not self.order.is_registration(item.key)
        )

    def _values_of(self, state: RawState) -> dict[str, FormerValue]:
        values = dict(self._deletions)
        values.update(
            (f.item.key, f) for f in self._written_values(state.contents)
        )
        values.update({f.item.key: f for f in state.former})
        return values

    def _select(
        self,
        candidates: dict[str, FormerValue],
        contents: kv.RangeResult,
        era_start: int,
    ) -> tuple[FormerValue, ...]:
        """Returns the candidates that replace a value of the contents."""
        if not candidates:
            return ()
        return tuple(
            candidates[item.key]
            for item in contents.items
            if item.key in candidates
            and self._replaces(candidates[item.key], item, era_start)
        )

    def _replaces(
        self, former: FormerValue, item: kv.KeyValue, era_start: int
    ) -> bool:
        if former.item.era >= item.era:
            return False
        before = self.order.precedence(former.item)
        now = self.order.precedence(item)
        if before is None:
            return False
        if now is None:
            return True
        if before != now:
            return before > now
        written_again = item.mod_revision > era_start
        return not written_again and (
            item.mod_revision < former.item.mod_revision
        )


def _make_raw_state(
    contents: kv.RangeResult,
    former: tuple[FormerValue, ...],
    era_start: int,
    is_registration: Callable[[str], bool],
) -> RawState:
    """Returns the state with the hashes of its keys and their positions.

    Registrations are hashed apart, since instances come and go more often than
    the state changes that requests depend on.
    """
    hasher, peers_hasher = xxhash.xxh64(), xxhash.xxh64()
    for item in contents.items:
        chosen = peers_hasher if is_registration(item.key) else hasher
        chosen.update(f"{item.key}={item.era}.{item.mod_revision};".encode())
    for value in former:
        era, revision = value.item.position
        hasher.update(
            f"{value.item.key}<{era}.{revision}.{value.deleted};".encode()
        )
    return RawState(
        contents,
        hasher.intdigest(),
        peers_hasher.intdigest(),
        former,
        era_start,
    )
