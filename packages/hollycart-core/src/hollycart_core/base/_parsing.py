"""Parses data that other processes have written."""

from collections.abc import Callable
from typing import TypeVar

import result

_MAX_REASON_LENGTH = 200

_Data = TypeVar("_Data")
_Value = TypeVar("_Value")


def parse(
    parser: Callable[[_Data], _Value], data: _Data
) -> result.Result[_Value, str]:
    """Parses data from outside this process.

    Parsers raise more than the errors that they document: msgspec raises
    `RecursionError` for deep nesting and `UnicodeDecodeError` for text that is
    not UTF-8, and conversions of huge numbers raise `OverflowError`. Whatever
    is raised, the data is malformed.

    Args:
        parser: Called with `data`. It must not wait, so that no exception that
            is thrown into the green thread is taken for one of its own.
        data: What was received.

    Returns:
        The parsed value, or the reason why the data is malformed.

    Example:
        >>> import msgspec
        >>> parse(msgspec.json.decode, b"[1]")
        Ok([1])
        >>> parse(msgspec.json.decode, b"[" * 9999).unwrap_err()[:14]
        'RecursionError'
    """
    try:
        return result.Ok(parser(data))
    except Exception as exc:
        reason = f"{type(exc).__name__}: {exc}"
        return result.Err(reason[:_MAX_REASON_LENGTH])
