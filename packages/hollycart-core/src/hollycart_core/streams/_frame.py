"""Frames of streamed answers."""

from typing import NamedTuple


class Frame(NamedTuple):
    """A run of consecutive tokens of an answer.

    Attributes:
        attempt_id: Attempt that the frame belongs to.
        offset: Position of the first token in the whole answer.
        tokens: The tokens.
        final: Whether the answer ends with this frame.
    """

    attempt_id: str
    offset: int
    tokens: tuple[str, ...]
    final: bool
