"""Run-time checks of invariants and their counters."""

import collections

from hollycart_core.base import _errors

_check_counts: collections.Counter[str] = collections.Counter()


def check_invariant(name: str, condition: bool, detail: str = "") -> None:
    """Checks an invariant and counts the check.

    Args:
        name: Name under which the check is counted.
        condition: Whether the invariant holds.
        detail: Appended to the error message.

    Raises:
        InvariantError: If `condition` is false.

    Example:
        >>> check_invariant("doc.example", 1 < 2)
        >>> invariant_checks()["doc.example"]
        1
    """
    _check_counts[name] += 1
    if not condition:
        _check_counts[name + ".violated"] += 1
        raise _errors.InvariantError(f"{name}: {detail}")


def invariant_checks() -> dict[str, int]:
    """Returns the number of checks in this process by name.

    Violations are counted under the name with the suffix `.violated`.
    """
    return dict(_check_counts)
