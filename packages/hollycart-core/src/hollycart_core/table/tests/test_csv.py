from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollycart_core import base
from hollycart_core import table

_NAMES = st.from_regex(r"[a-zA-Z0-9._-]{1,12}", fullmatch=True)
_ROWS = st.builds(
    table.LimitRow,
    team=_NAMES,
    kind=_NAMES,
    weight=st.floats(0.001, 1e6),
    priority=st.sampled_from(table.PRIORITIES),
    deadline_ms=st.integers(1, 86_400_000),
    max_prompt_tokens=st.integers(1, 2_000_000),
    max_running=st.integers(1, 1_000_000),
    tokens_per_minute=st.integers(0, 10**12),
    version=st.integers(0, 10**6),
)
_VALID = "a,k,1,urgent,1000,1000,10,0"


@given(rows=st.lists(_ROWS, max_size=8, unique_by=lambda r: r.key))
def test_export_parses_back_to_the_same_rows(rows):
    text = table.format_csv(table.Table.build(1, rows))
    parsed = table.parse_csv(text)
    assert sorted(parsed.rows) == sorted(rows)
    assert table.diff(table.Table.build(1, rows), parsed) == []


@given(text=st.text(max_size=200))
def test_any_text_parses_or_gives_a_typed_error(text):
    header = ",".join(table.COLUMNS) + "\n"
    for candidate in (text, header + text):
        try:
            table.parse_csv(candidate)
        except base.InvalidTableError as exc:
            assert exc.detail


@pytest.mark.parametrize(
    ("column", "cell"),
    [
        ("team", "a/b"),
        ("kind", ""),
        ("weight", "0"),
        ("weight", "nan"),
        ("priority", "asap"),
        ("deadline_ms", "-1"),
        ("max_prompt_tokens", "1e3"),
        ("max_running", "0"),
        ("tokens_per_minute", "x"),
    ],
)
def test_invalid_cell_is_named_by_line_and_column(column, cell):
    cells = dict(zip(table.COLUMNS, _VALID.split(","), strict=True))
    cells[column] = cell
    text = "\n".join(
        [",".join(table.COLUMNS), _VALID, ",".join(cells.values())]
    )
    with pytest.raises(base.InvalidTableError) as caught:
        table.parse_csv(text.replace("\na,k,", "\nb,k,", 1))
    assert f"line 3, column {column}:" in caught.value.detail


def test_all_invalid_cells_are_reported_at_once():
    text = ",".join(table.COLUMNS) + "\n/,/,0,x,0,0,0,-\n"
    with pytest.raises(base.InvalidTableError) as caught:
        table.parse_csv(text)
    assert len(caught.value.detail.splitlines()) == len(table.COLUMNS)


def test_row_missing_from_the_file_is_deleted_at_its_version():
    row = table.LimitRow("a", "k", 1, "urgent", 1, 1, 1, 0, version=7)
    current = table.Table.build(9, [row])
    parsed = table.ParsedTable((), has_versions=True)
    change = table.diff(current, parsed)[0]
    assert (change.version_read, change.row) == (7, None)
