"""Figures of a span of time, from the decisions of all instances."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from hollycartctl.diagnosis import _lines

# Upper bounds of the prompt lengths that are told apart, in tokens.
LENGTHS = (4_000, 32_000, 100_000, 1_000_000)
# Events that change what an instance believes or can do.
_CHANGES = (
    "started",
    "draining",
    "stopped",
    "reloaded",
    "store_lost",
    "store_regained",
    "freshness_lost",
    "freshness_regained",
    "endpoint_unreachable",
    "endpoint_reachable",
    "peer_lost",
)
_REFUSED = (429, 503)


class FirstEvents(NamedTuple):
    """Times to the first event of prompts up to a length.

    Attributes:
        up_to_tokens: Longest prompt.
        prompts: Number of them.
        median_ms: Half of them were faster.
        p95_ms: 95 in 100 were faster.
        error_ms: Median of the difference to the prediction.
    """

    up_to_tokens: int
    prompts: int
    median_ms: float
    p95_ms: float
    error_ms: float


class Summary(NamedTuple):
    """What happened in a span of time.

    Attributes:
        begin_ms: Wall clock of the first line, in ms.
        seconds: Length of the span.
        answered: Answers by status.
        failed: Own failures by status and reason.
        first_events: Times to the first event by prompt length.
        refused_per_s: Refusals by reason for each second of the span.
        ages: Second of the span and age of the state, in ms.
        changes: Second of the span, instance and event.
        repeated: Repeated attempts by reason.
    """

    begin_ms: float
    seconds: int
    answered: dict[int, int]
    failed: dict[tuple[int, str], int]
    first_events: list[FirstEvents]
    refused_per_s: dict[str, list[int]]
    ages: list[tuple[float, float]]
    changes: list[tuple[float, str, str]]
    repeated: dict[str, int]


def summarize(lines: Sequence[_lines.LogLine]) -> Summary | None:
    """Returns the figures of a span, None without a line.

    Args:
        lines: Decisions, sorted by time.

    Example:
        >>> line = _lines.LogLine(5.0, "a", "answered", {"status": 200})
        >>> summarize([line]).answered
        {200: 1}
    """
    if not lines:
        return None
    begin_ms = lines[0].time_ms
    seconds = int((lines[-1].time_ms - begin_ms) / 1000.0) + 1
    answered: collections.Counter[int] = collections.Counter()
    failed: collections.Counter[tuple[int, str]] = collections.Counter()
    repeated: collections.Counter[str] = collections.Counter()
    refused: dict[str, list[int]] = {}
    ages: list[tuple[float, float]] = []
    changes: list[tuple[float, str, str]] = []
    for line in lines:
        at_s = (line.time_ms - begin_ms) / 1000.0
        fields = line.fields
        if line.event == "answered":
            answered[int(fields["status"])] += 1
        elif line.event == "failed":
            status, reason = int(fields["status"]), str(fields["reason"])
            failed[status, reason] += 1
            if status in _REFUSED:
                row = refused.setdefault(reason, [0] * seconds)
                row[int(at_s)] += 1
        elif line.event == "repeated":
            repeated[str(fields["reason"])] += 1
        elif line.event in _CHANGES:
            changes.append((at_s, line.instance, line.event))
        if line.event == "placed" and fields.get("age_ms") is not None:
            ages.append((at_s, float(fields["age_ms"])))
    return Summary(
        begin_ms,
        seconds,
        dict(answered),
        dict(failed),
        _first_events(lines),
        refused,
        ages,
        changes,
        dict(repeated),
    )


def _first_events(lines: Sequence[_lines.LogLine]) -> list[FirstEvents]:
    tokens: dict[str, int] = {}
    times: dict[int, list[float]] = {bound: [] for bound in LENGTHS}
    errors: dict[int, list[float]] = {bound: [] for bound in LENGTHS}
    for line in lines:
        fields = line.fields
        if line.event == "placed":
            tokens[str(fields["request"])] = int(fields["tokens"])
        elif line.event == "first_event":
            length = tokens.get(str(fields["request"]), 0)
            bound = next((b for b in LENGTHS if length <= b), LENGTHS[-1])
            times[bound].append(float(fields["total_ms"]))
            errors[bound].append(
                abs(float(fields["seen_ms"]) - float(fields["predicted_ms"]))
            )
    return [
        FirstEvents(
            bound,
            len(found),
            _quantile(found, 0.5),
            _quantile(found, 0.95),
            _quantile(errors[bound], 0.5),
        )
        for bound, found in times.items()
        if found
    ]


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
