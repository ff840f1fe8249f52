"""Structured log lines for changes of state."""

from typing import Any

from absl import logging
import msgspec


def log_event(name: str, **fields: Any) -> None:
    """Writes one JSON line for a change of state.

    Args:
        name: Stable name of the event.
        **fields: Values of simple types.

    Example:
        >>> log_event("ready", table_revision=3)
    """
    line = msgspec.json.encode({"event": name, **fields}).decode()
    logging.info("%s", line)
