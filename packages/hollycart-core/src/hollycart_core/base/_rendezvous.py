"""Rendezvous hashing over a live membership."""

from collections.abc import Iterable

import xxhash


def rendezvous_rank(key: str, members: Iterable[str]) -> list[str]:
    """Orders members by preference for a key.

    Args:
        key: What is to be owned.
        members: Identifiers of the candidates.

    Returns:
        The members, the most preferred first. Removing a member leaves the
        order of the others unchanged.

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
