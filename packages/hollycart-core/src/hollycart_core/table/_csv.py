"""The CSV format of the table, with one limit row per line."""

import csv
import io
from typing import NamedTuple

from hollycart_core import base
from hollycart_core.table import _rows
from hollycart_core.table import _table

COLUMNS = (
    "team",
    "kind",
    "weight",
    "priority",
    "deadline_ms",
    "max_prompt_tokens",
    "max_running",
    "tokens_per_minute",
)
_VERSION = "version"
_NAME_CHARS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)
_MAX_NAME_CHARS = 64
_BOUNDS = {
    "deadline_ms": (1, 24 * 3600 * 1000),
    "max_prompt_tokens": (1, 2_000_000),
    "max_running": (1, 1_000_000),
    "tokens_per_minute": (0, 10**12),
}
_MAX_WEIGHT = 1e6


class CellError(NamedTuple):
    """An invalid cell.

    Attributes:
        line: Line in the file, counted from 1 for the header.
        column: Name of the column, or `*` for the whole line.
        reason: Why the cell is invalid.
    """

    line: int
    column: str
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.reason}"


class ParsedTable(NamedTuple):
    """Contents of a CSV file.

    Attributes:
        rows: Limit rows, in the order of the file.
        has_versions: Whether the file has the version column.
    """

    rows: tuple[_rows.LimitRow, ...]
    has_versions: bool


def valid_name(text: str) -> bool:
    """Returns whether `text` can name a team or a request kind.

    Example:
        >>> valid_name("kyushu-north"), valid_name("a/b"), valid_name("")
        (True, False, False)
    """
    return 0 < len(text) <= _MAX_NAME_CHARS and not set(text) - _NAME_CHARS


def format_csv(table: _table.Table) -> str:
    """Returns the limit rows as CSV, sorted and with their versions."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow((*COLUMNS, _VERSION))
    limits = (r for r in table.rows.values() if isinstance(r, _rows.LimitRow))
    for row in sorted(limits):
        writer.writerow(row)
    return out.getvalue()


def parse_csv(text: str) -> ParsedTable:
    """Parses and validates a CSV file.

    Raises:
        InvalidTableError: If the file is invalid; the detail names each
            invalid cell by line and column.
    """
    try:
        lines = list(csv.reader(io.StringIO(text), strict=True))
    except csv.Error as exc:
        raise base.InvalidTableError(f"invalid CSV: {exc}") from exc
    header = tuple(lines[0]) if lines else ()
    if header not in (COLUMNS, (*COLUMNS, _VERSION)):
        raise base.InvalidTableError(
            f"line 1: header must be {','.join(COLUMNS)}[,{_VERSION}]"
        )
    errors: list[CellError] = []
    rows: dict[str, _rows.LimitRow] = {}
    for number, cells in enumerate(lines[1:], start=2):
        if not cells:
            continue
        if len(cells) != len(header):
            errors.append(
                CellError(
                    number,
                    "*",
                    f"has {len(cells)} cells, not as many as the header",
                )
            )
            continue
        row = _parse_row(number, dict(zip(header, cells, strict=True)), errors)
        if row is None:
            continue
        if row.key in rows:
            errors.append(
                CellError(
                    number, "kind", "duplicate row for this team and kind"
                )
            )
        rows[row.key] = row
    if errors:
        raise base.InvalidTableError("\n".join(str(e) for e in errors))
    return ParsedTable(tuple(rows.values()), _VERSION in header)


def diff(current: _table.Table, parsed: ParsedTable) -> list[_table.RowChange]:
    """Returns the changes that make the limit rows equal to those of a file.

    Rows missing from the file are deleted. `version_read` of a written row is
    the version in the file if the file has versions, otherwise the current one.
    """
    changes = []
    wanted = {row.key: row for row in parsed.rows}
    for key, row in wanted.items():
        old = current.rows.get(key)
        old_version = old.version if old else 0
        version_read = row.version if parsed.has_versions else old_version
        if old is None or old._replace(version=0) != row._replace(version=0):
            changes.append(_table.RowChange.of(key, version_read, row))
    for key, stored in current.rows.items():
        if isinstance(stored, _rows.LimitRow) and key not in wanted:
            changes.append(_table.RowChange.of(key, stored.version, None))
    return changes


def _parse_row(
    line: int, cells: dict[str, str], errors: list[CellError]
) -> _rows.LimitRow | None:
    error_count = len(errors)
    for column in ("team", "kind"):
        if not valid_name(cells[column]):
            errors.append(CellError(line, column, "not a valid name"))
    if cells["priority"] not in _rows.PRIORITIES:
        reason = f"not one of {', '.join(_rows.PRIORITIES)}"
        errors.append(CellError(line, "priority", reason))
    weight = _parse_weight(line, cells["weight"], errors)
    numbers = {
        column: _parse_int(line, column, cells[column], bounds, errors)
        for column, bounds in _BOUNDS.items()
    }
    version_cell = cells.get(_VERSION, "0")
    version = _parse_int(line, _VERSION, version_cell, (0, 10**12), errors)
    if len(errors) > error_count:
        return None
    return _rows.LimitRow(
        cells["team"],
        cells["kind"],
        weight,
        cells["priority"],
        version=version,
        **numbers,
    )


def _parse_weight(line: int, cell: str, errors: list[CellError]) -> float:
    try:
        weight = float(cell)
    except ValueError:
        weight = -1.0
    if not 0 < weight <= _MAX_WEIGHT:
        errors.append(CellError(line, "weight", f"{cell!r} is out of range"))
    return weight


def _parse_int(
    line: int,
    column: str,
    cell: str,
    bounds: tuple[int, int],
    errors: list[CellError],
) -> int:
    low, high = bounds
    value = int(cell) if cell.isascii() and cell.isdigit() else -1
    if not low <= value <= high:
        reason = f"{cell!r} is not a whole number from {low} to {high}"
        errors.append(CellError(line, column, reason))
    return value
