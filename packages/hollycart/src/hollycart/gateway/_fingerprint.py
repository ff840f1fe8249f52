"""Fingerprints by which a request that is sent again is recognised."""

import hashlib

from hollycart_core import connections
from hollycart_core import routing

_DIGEST_BYTES = 12


def fingerprint(
    head: connections.RequestHead,
    host: str,
    body: bytes,
    team: routing.Team | None,
) -> str:
    """Returns a digest of what a request asks for and of who asks.

    It does not depend on header fields that differ each time that a caller
    sends the same request: its id and its timeout, for example.

    Args:
        head: Head of the request.
        host: Host name that it is addressed to.
        body: Its body.
        team: Team that it is billed to.

    Example:
        >>> def digest(target, body):
        ...     head = connections.RequestHead(b"POST", target, ())
        ...     return fingerprint(head, "h", body, None)
        >>> digest(b"/a", b"b") == digest(b"/a", b"b")
        True
        >>> digest(b"/a", b"b") == digest(b"/ab", b"")
        False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    name = team.name if team else ""
    for part in (head.method, host.encode(), head.target, name.encode()):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
