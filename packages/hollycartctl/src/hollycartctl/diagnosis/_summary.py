"""Aggregates the decisions of all instances over a time span."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from hollycartctl.diagnosis import _lines

# Upper bounds of the buckets of prompt lengths, in tokens.
PROMPT_LENGTH_BOUNDS = (4_000, 32_000, 100_000, 1_000_000)
# Events that report the state of the system as an instance observes it, or the
# life cycle of the instance.
_STATE_EVENTS = (
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
_REJECTION_STATUSES = (429, 503)


class FirstEvents(NamedTuple):
    """Times to the first event in a bucket of prompt lengths.

    Attributes:
        up_to_tokens: Upper bound of the prompt lengths, in tokens.
        prompts: Number of prompts.
        median_ms: Median time, in ms.
        p95_ms: 95th percentile of the times, in ms.
        error_ms: Median of the absolute errors of the predictions, in ms.
    """

    up_to_tokens: int
    prompts: int
    median_ms: float
    p95_ms: float
    error_ms: float


class Summary(NamedTuple):
    """Aggregated decisions of a time span.

    Attributes:
        begin_ms: Wall clock of the first line, in ms.
        seconds: Length of the span, in s.
        answered: Number of responses from endpoints by status.
        failed: Number of error responses of the instances by status and
            reason.
        first_events: Times to the first event by prompt length.
        refused_per_s: Number of rejections by reason, for each second of the
            span.
        ages: Offset in the span, in s, and age of the state, in ms.
        changes: State events: offset in the span, in s, instance and event.
        repeated: Number of retries by reason.
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
    """Aggregates decisions; returns None if there are none.

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
        offset_s = (line.time_ms - begin_ms) / 1000.0
        fields = line.fields
        if line.event == "answered":
            answered[int(fields["status"])] += 1
        elif line.event == "failed":
            status, reason = int(fields["status"]), str(fields["reason"])
            failed[status, reason] += 1
            if status in _REJECTION_STATUSES:
                row = refused.setdefault(reason, [0] * seconds)
                row[int(offset_s)] += 1
        elif line.event == "repeated":
            repeated[str(fields["reason"])] += 1
        elif line.event in _STATE_EVENTS:
            changes.append((offset_s, line.instance, line.event))
        if line.event == "placed" and fields.get("age_ms") is not None:
            ages.append((offset_s, float(fields["age_ms"])))
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
    times: dict[int, list[float]] = {
        bound: [] for bound in PROMPT_LENGTH_BOUNDS
    }
    errors: dict[int, list[float]] = {
        bound: [] for bound in PROMPT_LENGTH_BOUNDS
    }
    for line in lines:
        fields = line.fields
        if line.event == "placed":
            tokens[str(fields["request"])] = int(fields["tokens"])
        elif line.event == "first_event":
            length = tokens.get(str(fields["request"]), 0)
            bound = next(
                (b for b in PROMPT_LENGTH_BOUNDS if length <= b),
                PROMPT_LENGTH_BOUNDS[-1],
            )
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
