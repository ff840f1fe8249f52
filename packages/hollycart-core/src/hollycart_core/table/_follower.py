"""The revision of the table in force at this instance."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

from hollycart_core import base
from hollycart_core.table import _table

_MAX_DELTAS = 256


class TableFollower:
    """Applies newer revisions and ignores older ones.

    Args:
        on_change: Called with each table that comes into force.

    Example:
        >>> follower = TableFollower()
        >>> follower.apply_if_newer(_table.Table.build(2, []))
        True
        >>> follower.apply_if_newer(_table.Table.build(1, []))
        False
        >>> follower.current.revision
        2
    """

    def __init__(
        self, on_change: Callable[[_table.Table], None] | None = None
    ) -> None:
        self.on_change = on_change
        self.current = _table.Table.build(0, [])
        self._deltas: collections.deque[_table.Delta] = collections.deque(
            maxlen=_MAX_DELTAS
        )

    def apply_if_newer(self, candidate: _table.Table) -> bool:
        """Replaces the table if `candidate` is newer; returns whether so."""
        if candidate.revision <= self.current.revision:
            return False
        self._deltas.clear()
        self._replace_current(candidate)
        return True

    def apply_deltas(self, deltas: Sequence[_table.Delta]) -> bool:
        """Applies the deltas that directly follow the revision in force.

        Returns:
            Whether the revision in force is now at least that of the last
            delta; if not, deltas are missing and a whole table is needed.
        """
        for delta in deltas:
            if delta.revision == self.current.revision + 1:
                self._deltas.append(delta)
                self._replace_current(self.current.apply(delta))
        return not deltas or self.current.revision >= deltas[-1].revision

    def deltas_since(self, revision: int) -> list[_table.Delta] | None:
        """Returns the deltas after a revision, or None if some are missing."""
        later = [d for d in self._deltas if d.revision > revision]
        if len(later) != self.current.revision - revision:
            return None
        return later

    def _replace_current(self, candidate: _table.Table) -> None:
        base.check_invariant(
            "table.revision_increases",
            candidate.revision > self.current.revision,
            f"{self.current.revision} to {candidate.revision}",
        )
        self.current = candidate
        if self.on_change is not None:
            self.on_change(candidate)
