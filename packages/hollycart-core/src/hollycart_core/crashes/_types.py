"""Crashes of engines and the requests that may have caused them.

A trait is what a request has in common with others that may crash engines as
well: a segment of its prompt, or the fingerprint of the whole request, which is
the same each time that its caller sends it.
"""

from typing import NamedTuple

_REQUEST_PREFIX = "request:"  # ids of segments contain no colon


def request_trait(fingerprint: str) -> str:
    """Returns the trait of a whole request.

    Example:
        >>> is_request_trait(request_trait("1f"))
        True
    """
    return _REQUEST_PREFIX + fingerprint


def is_request_trait(trait: str) -> bool:
    """Returns whether a trait is the fingerprint of a whole request."""
    return trait.startswith(_REQUEST_PREFIX)


class SuspectAttempt(NamedTuple):
    """An attempt that may have crashed its engine.

    Attributes:
        attempt_id: Id of the attempt, unique over all instances.
        traits: Traits of its request.
        sent_ms: Instant at which it was sent.
    """

    attempt_id: str
    traits: tuple[str, ...]
    sent_ms: float


class EngineCrash(NamedTuple):
    """The crash of one incarnation of an engine.

    Attributes:
        endpoint: Id of the engine.
        born_ms: Start of the incarnation, Unix time in ms; 0 if unknown.
        service: Service of the engine.
        at_ms: Instant at which the crash was noticed.
        suspects: Attempts there that may have caused it. Attempts that had
            been in decode for some time are none.
    """

    endpoint: str
    born_ms: int
    service: str
    at_ms: float
    suspects: tuple[SuspectAttempt, ...]
