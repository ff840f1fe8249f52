"""Names the cause of what happened to a request."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from hollycartctl.diagnosis import _lines

# Changes of belief this long before a request's begin belong to its story.
_BEFORE_MS = 6000.0
# First events later than the prediction by this factor and time are an
# endpoint's doing, not that of the queue.
_SLOW_FACTOR = 2.0
_SLOW_MS = 150.0
# A prediction over this time means that the request had to queue.
_QUEUED_MS = 1000.0
_BELIEFS = frozenset(
    (
        "state_learned",
        "endpoint_unreachable",
        "endpoint_reachable",
        "peer_lost",
        "store_lost",
        "store_regained",
        "freshness_lost",
        "freshness_regained",
        "started",
        "draining",
        "stopped",
        "reloaded",
    )
)


class Explanation(NamedTuple):
    """The story of a request.

    Attributes:
        cause: Code of the cause.
        summary: The cause in a sentence.
        story: Lines on the request and changes of belief that bear on it.
    """

    cause: str
    summary: str
    story: tuple[_lines.LogLine, ...]


def explain(
    request_id: str, lines: Sequence[_lines.LogLine]
) -> Explanation | None:
    """Returns why a request ended as it did, None if no line names it.

    Args:
        request_id: Id that the caller sent.
        lines: Decisions of all instances, sorted by time.
    """
    own = [x for x in lines if x.fields.get("request") == request_id]
    if not own:
        return None
    instances = {x.instance for x in own}
    endpoints = {
        e
        for x in own
        if x.event == "placed"
        for e in (x.fields["endpoint"], *x.fields["helpers"])
    }
    begin_ms, end_ms = own[0].time_ms, own[-1].time_ms
    beliefs = [
        x
        for x in lines
        if x.event in _BELIEFS
        and x.instance in instances
        and begin_ms - _BEFORE_MS <= x.time_ms <= end_ms + _BEFORE_MS
        and _bears_on(x, endpoints)
    ]
    story = sorted([*own, *beliefs], key=lambda x: x.time_ms)
    for rule in _RULES:
        found = rule(own, beliefs, lines)
        if found is not None:
            return Explanation(*found, tuple(story))
    return Explanation("none", "nothing unusual is on record", tuple(story))


def _bears_on(line: _lines.LogLine, endpoints: set[str]) -> bool:
    if line.event.startswith("endpoint_"):
        return line.fields["endpoint"] in endpoints
    if line.event == "state_learned":
        touched = {*line.fields["leaving"], *line.fields["removed"]}
        return bool(touched & endpoints) or not endpoints
    return True


_Found = tuple[str, str] | None
_Lines = Sequence[_lines.LogLine]


def _last(lines: _Lines, event: str) -> _lines.LogLine | None:
    return next((x for x in reversed(lines) if x.event == event), None)


def _instance_ended(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    if any(x.event in ("answered", "failed", "caller_left") for x in own):
        return None
    name = own[-1].instance
    later = [
        x for x in lines if x.instance == name and x.time_ms > own[-1].time_ms
    ]
    if any(x.event == "stopped" for x in later):
        return "instance_stopped", f"{name} stopped while the request ran"
    if not later or any(x.event == "started" for x in later):
        return "instance_killed", f"{name} ended without a word while it ran"
    return None


def _stale(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    failed = _last(own, "failed")
    if failed is None or failed.fields["reason"] != "stale_config":
        return None
    age_ms = failed.fields["age_ms"]
    if age_ms is None:
        return "no_config", "the instance had no configuration yet"
    lost = _last(beliefs, "store_lost")
    why = f"; store: {lost.fields['detail']}" if lost else ""
    return (
        "store_unreachable",
        f"the state was proven {age_ms:.0f} ms ago, too old for keys{why}",
    )


def _refused(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    failed = _last(own, "failed")
    if failed is None:
        return None
    reason = failed.fields["reason"]
    version = failed.fields["config_version"]
    if reason == "invalid_api_key":
        return "key_unknown", f"configuration {version} has no such key"
    if reason == "not_found":
        return "route_unknown", f"configuration {version} has no such route"
    if reason == "memory_unavailable":
        return "memory_full", "no endpoints had enough memory in time"
    return None


def _endpoint_lost(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    lost = [x for x in beliefs if x.event == "endpoint_unreachable"]
    if not lost or not any(x.event in ("repeated", "failed") for x in own):
        return None
    name = lost[0].fields["endpoint"]
    return "endpoint_gone", f"{name} accepted no connections"


def _endpoint_silent(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    for line in own:
        silent = line.fields.get("reason") == "endpoint_silent"
        if line.event in ("repeated", "failed") and silent:
            return "endpoint_silent", str(line.fields["detail"])
    return None


def _endpoint_broke(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    for line in own:
        if line.event == "foreign_answer":
            return (
                "foreign_answer",
                f"{line.fields['endpoint']} answered another request",
            )
        broke = line.fields.get("reason") == "endpoint_failed"
        if line.event in ("repeated", "failed") and broke:
            return "endpoint_broke_off", str(line.fields["detail"])
    return None


def _rejected(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    failed = _last(own, "failed")
    if failed is None:
        return None
    return str(failed.fields["reason"]), str(failed.fields["detail"])


def _caller_left(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    left = _last(own, "caller_left")
    if left is None:
        return None
    total_ms = left.fields["total_ms"]
    return "caller_left", f"the caller left after {total_ms:.0f} ms"


def _late(own: _Lines, beliefs: _Lines, lines: _Lines) -> _Found:
    first = _last(own, "first_event")
    if first is None:
        return None
    predicted_ms = first.fields["predicted_ms"]
    seen_ms = first.fields["seen_ms"]
    if seen_ms > predicted_ms * _SLOW_FACTOR + _SLOW_MS:
        return (
            "endpoint_late",
            f"{first.fields['endpoint']} needed {seen_ms:.0f} ms instead of"
            f" {predicted_ms:.0f} ms to the first event",
        )
    if predicted_ms > _QUEUED_MS:
        return (
            "queued",
            f"{predicted_ms:.0f} ms were predicted when it was placed",
        )
    return None


_RULES: tuple[Callable[[_Lines, _Lines, _Lines], _Found], ...] = (
    _instance_ended,
    _stale,
    _refused,
    _endpoint_lost,
    _endpoint_silent,
    _endpoint_broke,
    _rejected,
    _caller_left,
    _late,
)
