"""Finds requests that evacuated availability zones have affected."""

from collections.abc import Sequence

from hollycartctl.diagnosis import _lines

CAUSE = "zone_evacuated"
_REASONS = ("zones_evacuated", "endpoint_evacuated")
# Failures that fewer endpoints than usual bring about.
_SHORTAGE_REASONS = ("overloaded", "no_endpoint", "memory_unavailable")


def find_evacuation(
    request_lines: Sequence[_lines.LogLine],
    lines: Sequence[_lines.LogLine],
    queued_ms: float,
) -> tuple[str, str] | None:
    """Returns cause and summary if an evacuation has affected a request.

    Args:
        request_lines: Lines of the request.
        lines: Decisions of all instances, sorted by time.
        queued_ms: Predicted time to the first event above which a request was
            queued, in ms.
    """
    for line in reversed(request_lines):
        reason = line.fields.get("reason")
        if line.event in ("failed", "repeated") and reason in _REASONS:
            return CAUSE, str(line.fields["detail"])
    zones = _evacuated_zones(request_lines[-1], lines)
    if not zones:
        return None
    names = ", ".join(zones)
    for line in request_lines:
        reason = line.fields.get("reason")
        if line.event == "failed" and reason in _SHORTAGE_REASONS:
            detail = line.fields["detail"]
            return CAUSE, f"{detail}, while these zones are evacuated: {names}"
        if (
            line.event == "first_event"
            and line.fields["predicted_ms"] > queued_ms
        ):
            return (
                CAUSE,
                f"the first event was predicted after "
                f"{line.fields['predicted_ms']:.0f} ms, while these zones are "
                f"evacuated: {names}",
            )
    return None


def _evacuated_zones(
    last: _lines.LogLine, lines: Sequence[_lines.LogLine]
) -> list[str]:
    """Returns the zones that an instance knew to be evacuated at a line."""
    zones: set[str] = set()
    for line in lines:
        if line.instance != last.instance or line.time_ms > last.time_ms:
            continue
        if line.event == "zone_evacuated":
            zones.add(line.fields["zone"])
        elif line.event == "zone_reopened":
            zones.discard(line.fields["zone"])
        elif line.event == "started":
            zones.clear()
    return sorted(zones)
