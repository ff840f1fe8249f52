"""The table of weights and limits: rows, storage, CSV and replication."""

from hollycart_core.table._csv import COLUMNS
from hollycart_core.table._csv import CellError
from hollycart_core.table._csv import ParsedTable
from hollycart_core.table._csv import diff
from hollycart_core.table._csv import format_csv
from hollycart_core.table._csv import parse_csv
from hollycart_core.table._csv import valid_name
from hollycart_core.table._follower import TableFollower
from hollycart_core.table._rows import PRIORITIES
from hollycart_core.table._rows import LimitRow
from hollycart_core.table._rows import Row
from hollycart_core.table._rows import TeamRow
from hollycart_core.table._rows import priority_level
from hollycart_core.table._store import PREFIX
from hollycart_core.table._store import HistoryRecord
from hollycart_core.table._store import TableStore
from hollycart_core.table._table import Delta
from hollycart_core.table._table import RowChange
from hollycart_core.table._table import Table

__all__ = [
    "COLUMNS",
    "PREFIX",
    "PRIORITIES",
    "CellError",
    "Delta",
    "HistoryRecord",
    "LimitRow",
    "ParsedTable",
    "Row",
    "RowChange",
    "Table",
    "TableFollower",
    "TableStore",
    "TeamRow",
    "diff",
    "format_csv",
    "parse_csv",
    "priority_level",
    "valid_name",
]
