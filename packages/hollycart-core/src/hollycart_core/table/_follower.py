"""The version of the table in force at this instance."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

from hollycart_core import base
from hollycart_core.table import _table

_KEPT_DELTAS = 256


class TableFollower:
    """Applies newer versions and rejects older ones.

    Args:
        on_change: Called with each version that comes into force.

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
            maxlen=_KEPT_DELTAS
        )

    def apply_if_newer(self, candidate: _table.Table) -> bool:
        """Takes a whole version if it is newer; returns whether it was."""
        if candidate.revision <= self.current.revision:
            return False
        self._deltas.clear()
        self._set(candidate)
        return True

    def apply_deltas(self, deltas: Sequence[_table.Delta]) -> bool:
        """Takes the steps that continue the version in force.

        Returns:
            Whether the version in force is now at least as new as the last
            step; if not, a whole version is needed.
        """
        for delta in deltas:
            if delta.revision == self.current.revision + 1:
                self._deltas.append(delta)
                self._set(self.current.apply(delta))
        return not deltas or self.current.revision >= deltas[-1].revision

    def deltas_since(self, revision: int) -> list[_table.Delta] | None:
        """Returns the steps after a revision, or None if not all are kept."""
        steps = [d for d in self._deltas if d.revision > revision]
        if len(steps) != self.current.revision - revision:
            return None
        return steps

    def _set(self, candidate: _table.Table) -> None:
        base.check_invariant(
            "table.revision_increases",
            candidate.revision > self.current.revision,
            f"{self.current.revision} to {candidate.revision}",
        )
        self.current = candidate
        if self.on_change is not None:
            self.on_change(candidate)
