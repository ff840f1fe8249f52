import json
import pathlib

import pytest

from hollycartctl import diagnosis

DATA = pathlib.Path(__file__).parent / "data"
REQUESTS = json.loads((DATA / "requests.json").read_text())


def recorded(cause):
    text = (DATA / f"{cause}.jsonl").read_text()
    return diagnosis.read_lines(text.splitlines())


@pytest.mark.parametrize("cause", sorted(REQUESTS))
def test_cause_of_recorded_logs(cause):
    found = diagnosis.explain(REQUESTS[cause], recorded(cause))
    assert found.cause == cause
    assert found.summary


@pytest.mark.parametrize("cause", sorted(REQUESTS))
def test_timeline_is_sorted_and_contains_the_request(cause):
    found = diagnosis.explain(REQUESTS[cause], recorded(cause))
    times = [line.time_ms for line in found.timeline]
    assert times == sorted(times)
    assert REQUESTS[cause] in [x.fields.get("request") for x in found.timeline]


def line(event, time_ms=1.0, instance="a", **fields):
    return diagnosis.LogLine(
        time_ms, instance, event, {"event": event, **fields}
    )


def test_late_endpoint_and_queueing_are_distinguished():
    slow = [
        line("first_event", request="r", endpoint="e", predicted_ms=100,
             seen_ms=900),
        line("answered", request="r"),
    ]  # fmt: skip
    queued = [
        line("first_event", request="r", endpoint="e", predicted_ms=2000,
             seen_ms=2100),
        line("answered", request="r"),
    ]  # fmt: skip
    assert diagnosis.explain("r", slow).cause == "endpoint_late"
    assert diagnosis.explain("r", queued).cause == "queued"


@pytest.mark.parametrize("reason", ["endpoint_failed", "stream_truncated"])
def test_broken_off_response_is_attributed_to_its_endpoint(reason):
    lines = [
        line("failed", request="r", reason=reason, detail="e broke off",
             config_version=1),
    ]  # fmt: skip
    assert diagnosis.explain("r", lines).cause == "endpoint_broke_off"


def test_unknown_request_has_no_explanation():
    assert diagnosis.explain("r", [line("started")]) is None


def test_lines_without_decisions_are_skipped():
    texts = ["", "no json", "{broken", '9.1 edge {"event":"started"}', "{}"]
    assert [x.event for x in diagnosis.read_lines(texts)] == ["started"]


def test_timeline_shows_offers_and_changed_cells():
    lines = [
        line("cell_changed", 1.0, zones=["z"], other_cells=[]),
        line("offered", 2.0, request="r", outcome="declined"),
        line("caller_left", 3.0, request="r", total_ms=900.0),
    ]
    found = diagnosis.explain("r", lines)
    assert [x.event for x in found.timeline] == [
        "cell_changed",
        "offered",
        "caller_left",
    ]


def quarantined(time_ms, traits, released=False):
    return line("quarantined", time_ms, trait=traits[0],
                traits=traits, released=released)  # fmt: skip


def test_prompts_that_crash_engines_are_told_from_their_victims():
    lines = [
        line("placed", 1.0, request="p", endpoint="e", helpers=[],
             traits=["f", "s"]),
        line("placed", 1.0, request="v", endpoint="e", helpers=[],
             traits=["f"]),
        line("engine_crashed", 2.0, endpoint="e", attempts=[], suspects=[]),
        line("failed", 3.0, request="p", reason="endpoint_failed",
             detail="closed", config_version=1),
        line("failed", 3.0, request="v", reason="endpoint_failed",
             detail="closed", config_version=1),
        quarantined(4.0, ["s"]),
        line("failed", 5.0, request="q", reason="quarantined",
             detail="trait s", config_version=1),
    ]  # fmt: skip
    assert diagnosis.explain("p", lines).cause == "prompt_crashes_engines"
    assert diagnosis.explain("v", lines).cause == "endpoint_broke_off"
    assert diagnosis.explain("q", lines).cause == "quarantined"
    shown = [x.event for x in diagnosis.explain("v", lines).timeline]
    assert "engine_crashed" in shown


def evacuated_lines(*request_lines):
    return [
        line("zone_evacuated", 0.5, zone="y"),
        line("zone_evacuated", 0.5, instance="b", zone="x"),
        line("zone_evacuated", 0.6, zone="z"),
        line("zone_reopened", 0.7, zone="z"),
        *request_lines,
    ]


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        ("failed", "zones_evacuated"),
        ("repeated", "endpoint_evacuated"),
        ("failed", "overloaded"),
    ],
)
def test_evacuation_is_named_as_the_cause_of_a_refusal(event, reason):
    refusal = line(event, request="r", reason=reason, detail="zone y",
                   config_version=1)  # fmt: skip
    lines = evacuated_lines(refusal, line("answered", request="r"))
    found = diagnosis.explain("r", lines)
    assert found.cause == "zone_evacuated"
    assert "y" in found.summary
    assert "x" not in found.summary and "z," not in found.summary
    assert "zone_evacuated" in [x.event for x in found.timeline]


def test_request_queued_while_a_zone_is_evacuated():
    lines = evacuated_lines(
        line("first_event", request="r", endpoint="e", predicted_ms=2000,
             seen_ms=2100),
        line("answered", request="r"),
    )  # fmt: skip
    assert diagnosis.explain("r", lines).cause == "zone_evacuated"
    lines.insert(4, line("zone_reopened", 0.9, zone="y"))
    assert diagnosis.explain("r", lines).cause == "queued"
