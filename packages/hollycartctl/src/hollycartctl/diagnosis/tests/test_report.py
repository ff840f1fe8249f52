import json
import pathlib

import pytest

from hollycartctl import diagnosis

DATA = pathlib.Path(__file__).parent / "data"
SCRAPE = """# TYPE requests counter
requests_total{outcome="ok"} 7.0
# TYPE age gauge
age 12.5
"""


def line(event, time_ms, **fields):
    return diagnosis.LogLine(time_ms, "a", event, {"event": event, **fields})


@pytest.fixture
def lines():
    return [
        line("started", 1000.0),
        line("placed", 1100.0, request="r", tokens=5000, age_ms=40.0),
        line("first_event", 1200.0, request="r", predicted_ms=80.0,
             seen_ms=95.0, total_ms=100.0),
        line("answered", 2100.0, request="r", status=200),
        line("repeated", 2200.0, request="q", reason="endpoint_lost"),
        line("failed", 3300.0, request="q", status=503, reason="overloaded"),
        line("failed", 3400.0, request="p", status=404, reason="not_found"),
        line("store_lost", 3500.0, detail="x"),
    ]  # fmt: skip


def test_summary_counts_by_status_reason_and_second(lines):
    found = diagnosis.summarize(lines)
    assert found.seconds == 3
    assert found.answered == {200: 1}
    assert found.failed == {(503, "overloaded"): 1, (404, "not_found"): 1}
    assert found.refused_per_s == {"overloaded": [0, 0, 1]}
    assert found.repeated == {"endpoint_lost": 1}
    assert [event for _, _, event in found.changes] == ["started", "store_lost"]


def test_first_events_by_length(lines):
    (found,) = diagnosis.summarize(lines).first_events
    assert found == diagnosis.FirstEvents(32000, 1, 100.0, 100.0, 15.0)


def test_no_lines_have_no_summary():
    assert diagnosis.summarize([]) is None


def test_page_shows_tables_plots_and_metrics(lines):
    summary = diagnosis.summarize(lines)
    page = diagnosis.render_report(summary, {"a<1>": SCRAPE})
    assert page.count("<svg") == 3
    assert "overloaded" in page
    assert "Metrics of a&lt;1&gt;" in page
    assert "<td>requests_total</td><td>outcome=ok</td><td>7.0</td>" in page


def test_malformed_metrics_raise_value_error(lines):
    with pytest.raises(ValueError, match="."):
        diagnosis.render_report(
            diagnosis.summarize(lines), {"a": "what{is this"}
        )


@pytest.mark.parametrize(
    "cause", sorted(json.loads((DATA / "requests.json").read_text()))
)
def test_recorded_logs_are_rendered(cause):
    text = (DATA / f"{cause}.jsonl").read_text()
    found = diagnosis.summarize(diagnosis.read_lines(text.splitlines()))
    assert "</html>" in diagnosis.render_report(found)
