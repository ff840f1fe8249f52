"""Invariants asserted inside the running program."""

import collections

from hollycart_core.base import _errors

_checks: collections.Counter[str] = collections.Counter()


def check_invariant(name: str, condition: bool, detail: str = "") -> None:
    """Asserts an invariant and counts the check.

    Args:
        name: Stable name under which the check is counted.
        condition: Must be true.
        detail: Added to the failure.

    Raises:
        InvariantError: If `condition` is false.

    Example:
        >>> check_invariant("doc.example", 1 < 2)
        >>> invariant_checks()["doc.example"]
        1
    """
    _checks[name] += 1
    if not condition:
        _checks[name + ".violated"] += 1
        raise _errors.InvariantError(f"{name}: {detail}")


def invariant_checks() -> dict[str, int]:
    """Returns the number of checks made by name in this process."""
    return dict(_checks)
