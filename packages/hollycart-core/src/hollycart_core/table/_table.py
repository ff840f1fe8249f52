"""The table at one revision, and changes from one revision to the next."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hollycart_core.table import _rows


class RowChange(NamedTuple):
    """A change of one row.

    Attributes:
        key: Key of the row.
        version_read: Version of the row that the edit is based on; zero if
            there was none.
        limit: The new limit row; None for a team row or a deletion.
        team: The new team row; None for a limit row or a deletion.
    """

    key: str
    version_read: int
    limit: _rows.LimitRow | None = None
    team: _rows.TeamRow | None = None

    @property
    def row(self) -> _rows.Row | None:
        """The new row, or None for a deletion."""
        return self.limit or self.team

    @classmethod
    def of(
        cls, key: str, version_read: int, row: _rows.Row | None
    ) -> "RowChange":
        """Builds a change from a row of either type, or None for a deletion."""
        limit = row if isinstance(row, _rows.LimitRow) else None
        team = row if isinstance(row, _rows.TeamRow) else None
        return cls(key, version_read, limit, team)


class Delta(NamedTuple):
    """The changes from one revision of the table to the next.

    Attributes:
        revision: Revision after the changes.
        changes: Changed rows.
    """

    revision: int
    changes: tuple[RowChange, ...]


class Table(NamedTuple):
    """All rows at one revision; immutable.

    Attributes:
        revision: Increases by one with each accepted edit.
        rows: Rows by key.
        teams_by_digest: Team by digest of each of its bearer keys.
    """

    revision: int
    rows: Mapping[str, _rows.Row]
    teams_by_digest: Mapping[str, str]

    @classmethod
    def build(cls, revision: int, rows: Iterable[_rows.Row]) -> "Table":
        """Builds a table and its index of key digests.

        Example:
            >>> Table.build(1, [_rows.TeamRow("a", ("ff",))]).teams_by_digest
            {'ff': 'a'}
        """
        by_key = {row.key: row for row in rows}
        digests = {
            digest: row.team
            for row in by_key.values()
            if isinstance(row, _rows.TeamRow)
            for digest in row.key_digests
        }
        return cls(revision, by_key, digests)

    def limit(self, team: str, kind: str) -> _rows.LimitRow | None:
        """Returns the limit row of a team's request kind, if there is one."""
        row = self.rows.get(f"limit/{team}/{kind}")
        return row if isinstance(row, _rows.LimitRow) else None

    def apply(self, delta: Delta) -> "Table":
        """Returns the table after `delta`, at the revision of the delta."""
        rows = dict(self.rows)
        for change in delta.changes:
            row = change.row
            if row is None:
                rows.pop(change.key, None)
            else:
                rows[change.key] = row._replace(version=delta.revision)
        return Table.build(delta.revision, rows.values())
