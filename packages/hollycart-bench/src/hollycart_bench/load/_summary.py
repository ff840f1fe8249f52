"""Summaries of what callers saw."""

from collections.abc import Iterable
from typing import Any

import numpy as np

from hollycart_bench.load import _client

BANDS = ("to 4k", "to 32k", "to 100k", "over 100k")


def percentile(values: Iterable[float], q: float) -> float:
    """Returns a percentile, or not-a-number without values."""
    found = list(values)
    return float(np.percentile(found, q)) if found else float("nan")


def first_token_table(
    results: list[_client.CallResult],
) -> dict[str, dict[str, float]]:
    """Returns count and percentiles of time to first token by band, in ms.

    Only streamed answers count; others show no first token.
    """
    rows = {}
    for band in BANDS:
        times = [
            r.first_ms
            for r in results
            if r.req.band == band and r.req.stream and r.first_ms > 0
        ]
        rows[band] = {
            "n": len(times),
            **{f"p{q}": percentile(times, q) for q in (50, 95, 99)},
        }
    return rows


def outcome_table(
    results: list[_client.CallResult],
) -> dict[str, dict[str, int]]:
    """Returns the number of outcomes by request kind."""
    rows: dict[str, dict[str, int]] = {}
    for result in results:
        row = rows.setdefault(result.req.kind, {})
        row[result.outcome] = row.get(result.outcome, 0) + 1
    return rows


def format_table(rows: dict[str, dict[str, Any]]) -> str:
    """Returns rows of numbers as aligned text."""
    columns = sorted({c for row in rows.values() for c in row}, key=str)
    lines = ["".join(f"{c:>12}" for c in ["", *columns])]
    for name, row in rows.items():
        cells = [f"{name:>12}"]
        for column in columns:
            value = row.get(column, 0)
            shown = f"{value:.1f}" if isinstance(value, float) else value
            cells.append(f"{shown:>12}")
        lines.append("".join(cells))
    return "\n".join(lines)
