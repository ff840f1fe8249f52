"""Identifiers of attempts and instances."""

import itertools
import os
from typing import NamedTuple


class AttemptId(NamedTuple):
    """Identifies one attempt at one request.

    Attributes:
        instance_id: Identifier of the instance that makes the attempt.
        incarnation: Identifies one start of the instance, as a restarted
            process reuses the instance id.
        sequence: Number of the attempt within the incarnation, from 1.

    Example:
        >>> AttemptId.parse(str(AttemptId("a", "9f", 3))).sequence
        3
    """

    instance_id: str
    incarnation: str
    sequence: int

    def __str__(self) -> str:
        return f"{self.instance_id}/{self.incarnation}/{self.sequence}"

    @classmethod
    def parse(cls, text: str) -> "AttemptId | None":
        """Returns the parsed identifier, or None if `text` is malformed."""
        parts = text.split("/")
        if len(parts) != 3 or not parts[2].isdigit():
            return None
        return cls(parts[0], parts[1], int(parts[2]))


class AttemptIdGenerator:
    """Generates the attempt ids of one process.

    Args:
        instance_id: Identifier of the instance.
        incarnation: Identifier of this start of the instance; a random one
            if empty.
    """

    def __init__(self, instance_id: str, incarnation: str = "") -> None:
        self.instance_id = instance_id
        self.incarnation = incarnation or os.urandom(4).hex()
        self._sequence = itertools.count(1)

    def next_id(self) -> str:
        """Returns a new attempt id as text."""
        number = next(self._sequence)
        return str(AttemptId(self.instance_id, self.incarnation, number))
