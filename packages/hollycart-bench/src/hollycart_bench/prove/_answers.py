"""Compares the answers to calls with the same idempotency key."""

from collections.abc import Iterable
from typing import NamedTuple


class KeyedAnswer(NamedTuple):
    """A complete answer to a non-idempotent call.

    Attributes:
        key: Team, service and idempotency key of the call.
        body: Body of the answer.
    """

    key: str
    body: str


def find_differing_answers(answers: Iterable[KeyedAnswer]) -> dict[str, int]:
    """Returns the number of different answers of each key that has several.

    A repeated call gets the answer of the first one. If that was lost on the
    way from the service, it gets the confirmation of the service's lookup,
    which names the key but cannot repeat the answer.

    Example:
        >>> find_differing_answers(
        ...     [KeyedAnswer("k", "1"), KeyedAnswer("k", "2")]
        ... )
        {'k': 2}
        >>> find_differing_answers(
        ...     [KeyedAnswer("k", "1"), KeyedAnswer("k", '{"executed":"k"}')]
        ... )
        {}
    """
    bodies: dict[str, set[str]] = {}
    for answer in answers:
        if answer.body != f'{{"executed":"{answer.key}"}}':
            bodies.setdefault(answer.key, set()).add(answer.body)
    return {key: len(found) for key, found in bodies.items() if len(found) > 1}
