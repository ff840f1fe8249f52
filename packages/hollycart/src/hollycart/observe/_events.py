"""Structured log lines for state changes of an entry instance."""

from typing import Any

from absl import logging
import msgspec


def log_event(name: str, **fields: Any) -> None:
    """Logs one state change as a line of JSON.

    Args:
        name: Stable name of the event.
        **fields: Further fields of the line; the values must be encodable as
            JSON.

    Example:
        >>> log_event("ready", table_revision=3)
    """
    line = msgspec.json.encode({"event": name, **fields}).decode()
    logging.info("%s", line)
