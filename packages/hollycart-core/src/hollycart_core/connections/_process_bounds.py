"""Divides the memory and the descriptors of a process."""

# Share of the memory left that may be held for requests and responses. What is
# left over is for pieces that arrive while there is no room, and for
# fragmentation.
_HELD_SHARE = 0.5
_MIN_HELD_BYTES = 16 << 20
_ACCOUNT_SHARE = 0.25
_CONNECTIONS_SHARE = 0.3  # of the memory left, for connections of callers
# Files, listeners and connections that are not for a caller's request.
_RESERVED_DESCRIPTORS = 200


def bound_held_bytes(
    left_bytes: int, min_account_bytes: int
) -> tuple[int, int]:
    """Returns the bounds on what is held for all callers and for one.

    Args:
        left_bytes: Memory that the process does not need for itself, in bytes.
        min_account_bytes: What the largest request needs, in bytes.

    Returns:
        Bytes for all accounts, and for one of them.

    Example:
        >>> bound_held_bytes(240 << 20, 9 << 20) == (120 << 20, 30 << 20)
        True
    """
    total_bytes = max(_MIN_HELD_BYTES, int(left_bytes * _HELD_SHARE))
    account_bytes = max(min_account_bytes, int(total_bytes * _ACCOUNT_SHARE))
    return max(total_bytes, account_bytes), account_bytes


def bound_connections(
    left_bytes: int, connection_bytes: int, descriptors: int
) -> int:
    """Returns how many connections of callers a process has room for.

    A request in flight takes a second connection, to its endpoint.

    Args:
        left_bytes: Memory that the process does not need for itself, in bytes.
        connection_bytes: Memory of a connection without an account, in bytes.
        descriptors: Files and sockets that the process may open.

    Example:
        >>> bound_connections(240 << 20, 96 << 10, 4100)
        768
        >>> bound_connections(240 << 20, 96 << 10, 400)
        100
    """
    by_memory = left_bytes * _CONNECTIONS_SHARE / connection_bytes
    return int(min(by_memory, (descriptors - _RESERVED_DESCRIPTORS) / 2))
