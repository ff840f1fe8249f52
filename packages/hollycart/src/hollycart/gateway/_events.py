"""Splits a server-sent event stream into complete events."""

import re

from hollycart.gateway import _failures
from hollycart_core import connections

_ID_FIELD = b"id:"
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_BYTES = 1 << 20
# Pieces of one event. An event usually arrives in one.
_MAX_EVENT_PIECES = 4096
_END_BYTES = 4  # of the longest end of an event


class EventBuffer:
    r"""Buffers stream bytes and returns them in complete events only.

    Attributes:
        last_id: Id of the last complete event; empty without one.
        count: Complete events so far.

    Example:
        >>> events = EventBuffer()
        >>> events.feed(b"id: 7\ndata: a\n\nid: 8\nda")
        b'id: 7\ndata: a\n\n'
        >>> events.last_id
        '7'
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._partial = bytearray()
        self._pieces = 0

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes."""
        partial = self._partial
        searched = max(0, len(partial) - _END_BYTES + 1)
        partial += data
        self._pieces += 1
        end = 0
        for match in _EVENT_END.finditer(partial, searched):
            self._record_event(bytes(partial[end : match.start()]))
            end = match.end()
        if not end:
            return b""
        complete = bytes(partial[:end])
        self._partial = partial[end:]
        self._pieces = 1
        return complete

    @property
    def partial_bytes(self) -> int:
        """Bytes of the incomplete event."""
        return len(self._partial)

    @property
    def overflowing(self) -> bool:
        """Whether the incomplete event exceeds the limits on its size."""
        return (
            len(self._partial) > _MAX_EVENT_BYTES
            or self._pieces > _MAX_EVENT_PIECES
        )

    def discard_partial(self) -> None:
        """Discards the incomplete event of a failed attempt."""
        self._partial = bytearray()
        self._pieces = 0

    def finish(self, framing: connections.Framing) -> bytes:
        """Ends the stream; returns the blank lines after the last event.

        Args:
            framing: How the end of the stream was declared.

        Raises:
            TruncatedStreamError: If the stream ended inside an event, or
                before its first event with the connection.
        """
        rest = bytes(self._partial)
        self.discard_partial()
        if rest.strip(b"\r\n"):
            raise _failures.TruncatedStreamError(
                f"the stream ended {len(rest)} bytes into an event after event "
                f"'{self.last_id}'; end declared by: {framing}"
            )
        is_empty = not self.count and not self.last_id
        if is_empty and framing is connections.Framing.CONNECTION:
            raise _failures.TruncatedStreamError(
                "the connection ended before the first event"
            )
        return rest

    def _record_event(self, event: bytes) -> None:
        self.count += 1
        for line in event.splitlines():
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
