"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash


def rendezvous_rank(key: str, members: Iterable[str]) -> list[str]:
    """Orders members by preference for a key.

    Args:
        key: Key whose owner is chosen.
        members: Identifiers of the candidate owners.

    Returns:
        The members, the most preferred first. Removing a member does not
        change the order of the remaining ones.

    Example:
        >>> first = rendezvous_rank("pool", ["a", "b", "c"])
        >>> rendezvous_rank(
        ...     "pool", [m for m in "abc" if m != first[0]]
        ... ) == first[1:]
        True
    """

    def weight(member: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{key}\0{member}".encode()), member

    return sorted(members, key=weight, reverse=True)
