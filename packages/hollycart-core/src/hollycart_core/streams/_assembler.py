"""Reassembly of a streamed answer across attempts."""

from hollycart_core import base
from hollycart_core.streams import _frame

_MAX_BUFFERED_FRAMES = 4096


class StreamAssembler:
    """Emits each token of an answer once and in order.

    Frames of earlier attempts are dropped and duplicate tokens are removed.
    Frames that arrive out of order are buffered until the missing ones arrive.

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
        self._buffered: dict[int, _frame.Frame] = {}

    @property
    def finished(self) -> bool:
        """Whether every token up to the end has been emitted."""
        return self._end is not None and self.next_offset == self._end

    def begin_attempt(self, attempt_id: str) -> None:
        """Starts a new attempt, which continues at `next_offset`.

        Frames of earlier attempts are dropped from now on.
        """
        self.attempt_id = attempt_id
        self._end = None
        self._buffered.clear()

    def accept(self, frame: _frame.Frame) -> tuple[str, ...]:
        """Accepts a frame and returns the tokens that are now in order.

        Raises:
            EndpointFailedError: If the frames contradict each other, or if too
                many frames are buffered.
        """
        if frame.attempt_id != self.attempt_id:
            self.dropped += 1
            return ()
        self._record_end(frame)
        if frame.offset > self.next_offset:
            self._buffered[frame.offset] = frame
            if len(self._buffered) > _MAX_BUFFERED_FRAMES:
                raise base.EndpointFailedError("gap in the stream")
            return ()
        emitted = list(self._emit(frame))
        while self.next_offset in self._buffered:
            emitted += self._emit(self._buffered.pop(self.next_offset))
        return tuple(emitted)

    def _emit(self, frame: _frame.Frame) -> tuple[str, ...]:
        skip = self.next_offset - frame.offset
        new_tokens = frame.tokens[skip:]
        if not new_tokens and frame.tokens:
            self.dropped += 1
        expected_offset = self.next_offset
        self.next_offset += len(new_tokens)
        base.check_invariant(
            "stream.contiguous",
            frame.offset + skip == expected_offset,
            f"{frame.offset} at {expected_offset}",
        )
        if self._end is not None and self.next_offset > self._end:
            raise base.EndpointFailedError("token after the end")
        return new_tokens

    def _record_end(self, frame: _frame.Frame) -> None:
        if not frame.final:
            return
        end = frame.offset + len(frame.tokens)
        if end < self.next_offset or self._end not in (None, end):
            raise base.EndpointFailedError("two ends of one stream")
        self._end = end
