"""One piece of a streamed answer."""

from typing import NamedTuple


class Frame(NamedTuple):
    """A piece of an answer from an endpoint.

    Attributes:
        attempt_id: The attempt that the piece belongs to.
        offset: Position of the first token in the whole answer.
        tokens: The tokens.
        final: Whether the answer ends with this piece.
    """

    attempt_id: str
    offset: int
    tokens: tuple[str, ...]
    final: bool
