"""Summary tables of the results observed by the load client."""

from collections.abc import Iterable
from typing import Any

import numpy as np

from hollycart_bench.load import _client

BANDS = ("to 4k", "to 32k", "to 100k", "over 100k")


def percentile(values: Iterable[float], q: float) -> float:
    """Returns the `q`-th percentile of `values`, or NaN if there are none."""
    samples = list(values)
    return float(np.percentile(samples, q)) if samples else float("nan")


def first_token_table(
    results: list[_client.CallResult],
) -> dict[str, dict[str, float]]:
    """Returns count and percentiles of time to first token by band, in ms.

    Only streamed responses count, since the others arrive as a whole.
    """
    rows = {}
    for band in BANDS:
        times = [
            r.time_to_first_token_ms
            for r in results
            if r.req.band == band
            and r.req.stream
            and r.time_to_first_token_ms > 0
        ]
        rows[band] = {
            "n": len(times),
            **{f"p{q}": percentile(times, q) for q in (50, 95, 99)},
        }
    return rows


def outcome_table(
    results: list[_client.CallResult],
) -> dict[str, dict[str, int]]:
    """Returns the number of results by request kind and outcome."""
    rows: dict[str, dict[str, int]] = {}
    for result in results:
        row = rows.setdefault(result.req.kind, {})
        row[result.outcome] = row.get(result.outcome, 0) + 1
    return rows


def format_table(rows: dict[str, dict[str, Any]]) -> str:
    """Formats rows of numbers as a text table, zero where a cell is missing."""
    columns = sorted({c for row in rows.values() for c in row}, key=str)
    lines = ["".join(f"{c:>12}" for c in ["", *columns])]
    for name, row in rows.items():
        cells = [f"{name:>12}"]
        for column in columns:
            value = row.get(column, 0)
            cell_text = f"{value:.1f}" if isinstance(value, float) else value
            cells.append(f"{cell_text:>12}")
        lines.append("".join(cells))
    return "\n".join(lines)
