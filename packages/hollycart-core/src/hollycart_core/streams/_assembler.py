"""Puts the frames of one answer in order across attempts."""

from hollycart_core import base
from hollycart_core.streams import _frame

_MAX_EARLY = 4096  # frames


class StreamAssembler:
    """Emits each token of an answer once and in order.

    Frames of other attempts are dropped, repeated tokens are cut off, frames
    that arrive early are held until the gap is closed.

    Example:
        >>> stream = StreamAssembler()
        >>> stream.begin_attempt("a")
        >>> stream.accept(_frame.Frame("a", 1, ("y",), True))
        ()
        >>> stream.accept(_frame.Frame("a", 0, ("x",), False))
        ('x', 'y')
        >>> stream.finished
        True
    """

    def __init__(self) -> None:
        self.attempt_id = ""
        self.next_offset = 0
        self.dropped = 0
        self._end: int | None = None
        self._early: dict[int, _frame.Frame] = {}

    @property
    def finished(self) -> bool:
        """Whether every token up to the end has been emitted."""
        return self._end is not None and self.next_offset == self._end

    def begin_attempt(self, attempt_id: str) -> None:
        """Accepts frames of a new attempt only, from the next offset on."""
        self.attempt_id = attempt_id
        self._end = None
        self._early.clear()

    def accept(self, frame: _frame.Frame) -> tuple[str, ...]:
        """Takes a frame and returns the tokens that may be emitted now.

        Raises:
            EndpointFailedError: If the frames contradict each other or more
                than a bounded number is early.
        """
        if frame.attempt_id != self.attempt_id:
            self.dropped += 1
            return ()
        self._note_end(frame)
        if frame.offset > self.next_offset:
            self._early[frame.offset] = frame
            if len(self._early) > _MAX_EARLY:
                raise base.EndpointFailedError("gap in the stream")
            return ()
        emitted = list(self._take(frame))
        while self.next_offset in self._early:
            emitted += self._take(self._early.pop(self.next_offset))
        return tuple(emitted)

    def _take(self, frame: _frame.Frame) -> tuple[str, ...]:
        skip = self.next_offset - frame.offset
        fresh = frame.tokens[skip:]
        if not fresh and frame.tokens:
            self.dropped += 1
        before = self.next_offset
        self.next_offset += len(fresh)
        base.check_invariant(
            "stream.contiguous",
            frame.offset + skip == before,
            f"{frame.offset} at {before}",
        )
        if self._end is not None and self.next_offset > self._end:
            raise base.EndpointFailedError("token after the end")
        return fresh

    def _note_end(self, frame: _frame.Frame) -> None:
        if not frame.final:
            return
        end = frame.offset + len(frame.tokens)
        if end < self.next_offset or self._end not in (None, end):
            raise base.EndpointFailedError("two ends of one stream")
        self._end = end
