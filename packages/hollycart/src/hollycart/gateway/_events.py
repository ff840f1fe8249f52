"""Splits a server-sent event stream into complete events."""

_ID_FIELD = b"id:"
_MAX_EVENT_BYTES = 1 << 20


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
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes."""
        data = self._partial + data
        end = data.rfind(b"\n\n")
        if end < 0:
            self._partial = data
            return b""
        complete, self._partial = data[: end + 2], data[end + 2 :]
        for event in complete.split(b"\n\n")[:-1]:
            self.count += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID_FIELD):
                    self.last_id = (
                        line[len(_ID_FIELD) :].strip().decode("latin-1")
                    )
        return complete

    @property
    def overflowing(self) -> bool:
        """Whether the incomplete event exceeds the size limit."""
        return len(self._partial) > _MAX_EVENT_BYTES

    def discard_partial(self) -> None:
        """Discards the incomplete event of a failed attempt."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """Returns and removes the bytes after the last complete event."""
        partial, self._partial = self._partial, b""
        return partial
