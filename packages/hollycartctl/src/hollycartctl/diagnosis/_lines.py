"""Reads structured log lines of one or more instances."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import msgspec


class LogLine(NamedTuple):
    """A decision that an instance logged.

    Attributes:
        time_ms: Wall clock of the instance, in ms.
        instance: Name of the instance.
        event: Name of the decision's event.
        fields: All fields of the line.
    """

    time_ms: float
    instance: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Returns the decisions in lines of text, sorted by time.

    Log collectors may add names and times to a line, so the text before its
    first brace is ignored. Lines without a decision are skipped.

    Args:
        texts: Lines of log files.

    Example:
        >>> text = 'x {"time_ms":1,"instance":"a","event":"started"}'
        >>> read_lines([text, "noise"])[0].event
        'started'
    """
    found = []
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = msgspec.json.decode(text[begin:])
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        if isinstance(fields, dict) and "event" in fields:
            found.append(
                LogLine(
                    float(fields.get("time_ms", 0.0)),
                    str(fields.get("instance", "")),
                    str(fields["event"]),
                    fields,
                )
            )
    return sorted(found, key=lambda line: line.time_ms)
