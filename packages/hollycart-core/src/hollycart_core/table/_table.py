"""An immutable version of the whole table."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hollycart_core.table import _rows


class RowChange(NamedTuple):
    """One row before and after an edit.

    Attributes:
        key: Key of the row.
        version_read: Version that the editor saw; zero where none existed.
        limit: The new limit row, if it is one and not deleted.
        team: The new team row, if it is one and not deleted.
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
        """Builds a change from a row of either type."""
        limit = row if isinstance(row, _rows.LimitRow) else None
        team = row if isinstance(row, _rows.TeamRow) else None
        return cls(key, version_read, limit, team)


class Delta(NamedTuple):
    """The step from one revision to the next."""

    revision: int
    changes: tuple[RowChange, ...]


class Table(NamedTuple):
    """All rows at one revision.

    Attributes:
        revision: Increases by one with each accepted edit.
        rows: Rows by key.
        teams_by_digest: Team by digest of its bearer keys.
    """

    revision: int
    rows: Mapping[str, _rows.Row]
    teams_by_digest: Mapping[str, str]

    @classmethod
    def build(cls, revision: int, rows: Iterable[_rows.Row]) -> "Table":
        """Builds a table and its index.

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
        """Returns the limits of a request kind of a team."""
        row = self.rows.get(f"limit/{team}/{kind}")
        return row if isinstance(row, _rows.LimitRow) else None

    def apply(self, delta: Delta) -> "Table":
        """Returns the table after a delta of the next revision."""
        rows = dict(self.rows)
        for change in delta.changes:
            row = change.row
            if row is None:
                rows.pop(change.key, None)
            else:
                rows[change.key] = row._replace(version=delta.revision)
        return Table.build(delta.revision, rows.values())
