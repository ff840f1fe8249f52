"""Determines why a request failed, was late or was abandoned."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from hollycartctl.diagnosis import _evacuations
from hollycartctl.diagnosis import _lines

# State events up to this time before the first and after the last line of a
# request belong to its timeline.
_STATE_EVENT_MARGIN_MS = 6000.0
# A first event is late because of its endpoint, not because of queueing, if it
# took longer than the prediction times this factor plus this margin.
_LATE_FACTOR = 2.0
_LATE_MARGIN_MS = 150.0
# A longer predicted time to the first event means that the request was queued.
_QUEUED_PREDICTION_MS = 1000.0
_BROKEN_RESPONSE_REASONS = ("endpoint_failed", "stream_truncated")
# Events that report the state of the system as an instance observes it, or the
# life cycle of the instance.
_STATE_EVENTS = frozenset(
    (
        "state_learned",
        "endpoint_unreachable",
        "endpoint_reachable",
        "engine_crashed",
        "quarantined",
        "peer_lost",
        "cell_changed",
        "store_lost",
        "store_regained",
        "freshness_lost",
        "freshness_regained",
        "zone_evacuated",
        "zone_evacuation_missing",
        "zone_reopened",
        "started",
        "draining",
        "stopped",
        "reloaded",
    )
)


class Explanation(NamedTuple):
    """The timeline of a request and the cause of its outcome.

    Attributes:
        cause: Code of the cause.
        summary: The cause in a sentence.
        timeline: Lines of the request and state events that concern it, sorted
            by time.
    """

    cause: str
    summary: str
    timeline: tuple[_lines.LogLine, ...]


def explain(
    request_id: str, lines: Sequence[_lines.LogLine]
) -> Explanation | None:
    """Explains the outcome of a request; returns None if no line is about it.

    Args:
        request_id: Id that the caller sent.
        lines: Decisions of all instances, sorted by time.
    """
    request_lines = [x for x in lines if x.fields.get("request") == request_id]
    if not request_lines:
        return None
    instances = {x.instance for x in request_lines}
    endpoints = {
        e
        for x in request_lines
        if x.event == "placed"
        for e in (x.fields["endpoint"], *x.fields["helpers"])
    }
    begin_ms, end_ms = request_lines[0].time_ms, request_lines[-1].time_ms
    state_events = [
        x
        for x in lines
        if x.event in _STATE_EVENTS
        and x.instance in instances
        and begin_ms - _STATE_EVENT_MARGIN_MS
        <= x.time_ms
        <= end_ms + _STATE_EVENT_MARGIN_MS
        and _concerns(x, endpoints)
    ]
    timeline = sorted([*request_lines, *state_events], key=lambda x: x.time_ms)
    for rule in _RULES:
        found = rule(request_lines, state_events, lines)
        if found is not None:
            return Explanation(*found, tuple(timeline))
    return Explanation("none", "the logs show nothing unusual", tuple(timeline))


def _concerns(line: _lines.LogLine, endpoints: set[str]) -> bool:
    if line.event.startswith(("endpoint_", "engine_")):
        return line.fields["endpoint"] in endpoints
    if line.event == "state_learned":
        touched = {*line.fields["leaving"], *line.fields["removed"]}
        return bool(touched & endpoints) or not endpoints
    return True


_Cause = tuple[str, str] | None
_Lines = Sequence[_lines.LogLine]


def _last_event(lines: _Lines, event: str) -> _lines.LogLine | None:
    return next((x for x in reversed(lines) if x.event == event), None)


def _find_ended_instance(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    if any(
        x.event in ("answered", "failed", "caller_left") for x in request_lines
    ):
        return None
    name = request_lines[-1].instance
    later = [
        x
        for x in lines
        if x.instance == name and x.time_ms > request_lines[-1].time_ms
    ]
    if any(x.event == "stopped" for x in later):
        return "instance_stopped", f"{name} stopped while the request ran"
    if not later or any(x.event == "started" for x in later):
        return (
            "instance_killed",
            f"{name} ended without a word while it ran",
        )
    return None


def _find_stale_state(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    failed = _last_event(request_lines, "failed")
    if failed is None or failed.fields["reason"] != "stale_config":
        return None
    age_ms = failed.fields["age_ms"]
    if age_ms is None:
        return "no_config", "the instance had no configuration yet"
    lost = _last_event(state_events, "store_lost")
    store_detail = f"; store: {lost.fields['detail']}" if lost else ""
    return (
        "store_unreachable",
        f"the state was proven {age_ms:.0f} ms ago, too old for keys"
        f"{store_detail}",
    )


def _find_evacuation(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    return _evacuations.find_evacuation(
        request_lines, lines, _QUEUED_PREDICTION_MS
    )


def _find_refusal(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    failed = _last_event(request_lines, "failed")
    if failed is None:
        return None
    reason = failed.fields["reason"]
    version = failed.fields["config_version"]
    if reason == "invalid_api_key":
        return "key_unknown", f"configuration {version} has no such key"
    if reason == "not_found":
        return "route_unknown", f"configuration {version} has no such route"
    if reason == "quarantined":
        return "quarantined", str(failed.fields["detail"])
    if reason == "memory_unavailable":
        return "memory_full", "no endpoints had enough free memory in time"
    return None


def _find_crashed_engine(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    """Finds the crashes that the request's own prompt may have caused."""
    traits = {
        s
        for x in request_lines
        if x.event == "placed"
        for s in x.fields.get("traits", ())
    }
    quarantined = [
        x
        for x in state_events
        if x.event == "quarantined"
        and not x.fields["released"]
        and traits.issuperset(x.fields["traits"])
    ]
    if not quarantined or not any(
        x.event in ("repeated", "failed") for x in request_lines
    ):
        return None
    trait = quarantined[0].fields["trait"]
    return "prompt_crashes_engines", f"engines crash on trait {trait}"


def _find_unreachable_endpoint(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    lost = [x for x in state_events if x.event == "endpoint_unreachable"]
    if not lost or not any(
        x.event in ("repeated", "failed") for x in request_lines
    ):
        return None
    name = lost[0].fields["endpoint"]
    return "endpoint_gone", f"{name} accepted no connections"


def _find_silent_endpoint(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    for line in request_lines:
        silent = line.fields.get("reason") == "endpoint_silent"
        if line.event in ("repeated", "failed") and silent:
            return "endpoint_silent", str(line.fields["detail"])
    return None


def _find_broken_response(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    for line in request_lines:
        if line.event == "foreign_answer":
            return (
                "foreign_answer",
                f"{line.fields['endpoint']} answered another request",
            )
        broken = line.fields.get("reason") in _BROKEN_RESPONSE_REASONS
        if line.event in ("repeated", "failed") and broken:
            return "endpoint_broke_off", str(line.fields["detail"])
    return None


def _find_other_failure(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    failed = _last_event(request_lines, "failed")
    if failed is None:
        return None
    return str(failed.fields["reason"]), str(failed.fields["detail"])


def _find_abandoned_request(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    left = _last_event(request_lines, "caller_left")
    if left is None:
        return None
    total_ms = left.fields["total_ms"]
    return (
        "caller_left",
        f"the caller abandoned the request after {total_ms:.0f} ms",
    )


def _find_late_first_event(
    request_lines: _Lines, state_events: _Lines, lines: _Lines
) -> _Cause:
    first = _last_event(request_lines, "first_event")
    if first is None:
        return None
    predicted_ms = first.fields["predicted_ms"]
    seen_ms = first.fields["seen_ms"]
    if seen_ms > predicted_ms * _LATE_FACTOR + _LATE_MARGIN_MS:
        return (
            "endpoint_late",
            f"{first.fields['endpoint']} sent the first event after"
            f" {seen_ms:.0f} ms, {predicted_ms:.0f} ms were predicted",
        )
    if predicted_ms > _QUEUED_PREDICTION_MS:
        return (
            "queued",
            f"the first event was predicted after {predicted_ms:.0f} ms",
        )
    return None


_RULES: tuple[Callable[[_Lines, _Lines, _Lines], _Cause], ...] = (
    _find_ended_instance,
    _find_stale_state,
    _find_evacuation,
    _find_refusal,
    _find_crashed_engine,
    _find_unreachable_endpoint,
    _find_silent_endpoint,
    _find_broken_response,
    _find_other_failure,
    _find_abandoned_request,
    _find_late_first_event,
)
