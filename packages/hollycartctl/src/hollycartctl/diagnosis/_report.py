"""Renders a page with tables and plots of a time span."""

from collections.abc import Iterable
import html
import io
import time

import matplotlib

matplotlib.use("Agg")
from matplotlib import figure
from prometheus_client import parser

from hollycartctl.diagnosis import _summary

_STYLE = (
    "body{font-family:sans-serif;margin:2em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #999;padding:2px 8px;text-align:right}"
)
_PLOT_SIZE_INCHES = (9.0, 3.0)
_MAX_STATE_EVENTS = 200


def render_report(
    summary: _summary.Summary, scrapes: dict[str, str] | None = None
) -> str:
    """Returns the report as an HTML page.

    Args:
        summary: Figures of the time span.
        scrapes: Metrics in the Prometheus text format, by name.

    Raises:
        ValueError: If metrics are malformed.
    """
    begin = time.gmtime(summary.begin_ms / 1000.0)
    parts = [
        "<!DOCTYPE html><html><head><meta charset='utf-8'>",
        f"<title>hollycart</title><style>{_STYLE}</style></head><body>",
        f"<h1>{summary.seconds} s from "
        f"{time.strftime('%Y-%m-%d %H:%M:%S', begin)} UTC</h1>",
        "<h2>Time to the first event</h2>",
        _table(
            (
                "prompt tokens up to",
                "count",
                "p50 ms",
                "p95 ms",
                "prediction error p50 ms",
            ),
            (
                (
                    f"{f.up_to_tokens:,}",
                    f.prompts,
                    round(f.median_ms),
                    round(f.p95_ms),
                    round(f.error_ms),
                )
                for f in summary.first_events
            ),
        ),
        _latency_bar_chart(summary),
        "<h2>Responses from endpoints</h2>",
        _table(("status", "count"), sorted(summary.answered.items())),
        "<h2>Error responses of the instances</h2>",
        _table(
            ("status", "reason", "count"),
            ((s, r, n) for (s, r), n in sorted(summary.failed.items())),
        ),
        "<h2>Rejections by reason</h2>",
        _line_chart(
            {k: list(enumerate(v)) for k, v in summary.refused_per_s.items()},
            "rejections per s",
        ),
        "<h2>Age of the state</h2>",
        _line_chart({"age": summary.ages}, "ms"),
        "<h2>Retries</h2>",
        _table(("reason", "count"), sorted(summary.repeated.items())),
        "<h2>State events</h2>",
        _table(
            ("s", "instance", "event"),
            (
                (f"{s:.1f}", i, e)
                for s, i, e in summary.changes[:_MAX_STATE_EVENTS]
            ),
        ),
    ]
    for name, text in (scrapes or {}).items():
        parts.append(f"<h2>Metrics of {html.escape(name)}</h2>")
        parts.append(_table(("metric", "labels", "value"), _samples(text)))
    parts.append("</body></html>")
    return "\n".join(parts)


def _samples(text: str) -> Iterable[tuple[str, str, float]]:
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            if not sample.name.endswith("_bucket"):
                labels = ", ".join(f"{k}={v}" for k, v in sample.labels.items())
                yield sample.name, labels, sample.value


def _table(heads: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    body = [
        "<tr>"
        + "".join(f"<td>{html.escape(str(v))}</td>" for v in row)
        + "</tr>"
        for row in rows
    ]
    if not body:
        return "<p>none</p>"
    head = "".join(f"<th>{html.escape(h)}</th>" for h in heads)
    return f"<table><tr>{head}</tr>{''.join(body)}</table>"


def _latency_bar_chart(summary: _summary.Summary) -> str:
    if not summary.first_events:
        return ""
    plot = figure.Figure(figsize=_PLOT_SIZE_INCHES)
    axes = plot.subplots()
    names = [f"to {f.up_to_tokens:,}" for f in summary.first_events]
    axes.bar(names, [f.p95_ms for f in summary.first_events], label="p95")
    axes.bar(names, [f.median_ms for f in summary.first_events], label="p50")
    axes.set_yscale("log")
    axes.set_ylabel("ms")
    axes.legend()
    return _svg(plot)


def _line_chart(
    series: dict[str, list[tuple[float, float]]], label: str
) -> str:
    if not any(series.values()):
        return "<p>none</p>"
    plot = figure.Figure(figsize=_PLOT_SIZE_INCHES)
    axes = plot.subplots()
    for name, points in series.items():
        axes.plot([x for x, _ in points], [y for _, y in points], label=name)
    axes.set_xlabel("s")
    axes.set_ylabel(label)
    axes.legend()
    return _svg(plot)


def _svg(plot: figure.Figure) -> str:
    buffer = io.StringIO()
    plot.savefig(buffer, format="svg", bbox_inches="tight")
    text = buffer.getvalue()
    return text[text.index("<svg") :]
