"""Cuts a stream into whole events."""

_ID = b"id:"
_MAX_EVENT_BYTES = 1 << 20


class EventBuffer:
    r"""Collects bytes and releases them only up to the end of an event.

    Example:
        >>> events = EventBuffer()
        >>> events.push(b"id: 7\ndata: a\n\nid: 8\nda")
        b'id: 7\ndata: a\n\n'
        >>> events.last_id
        '7'
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._rest = b""

    def push(self, data: bytes) -> bytes:
        """Returns the whole events that are complete with `data`."""
        data = self._rest + data
        end = data.rfind(b"\n\n")
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + 2], data[end + 2 :]
        for event in whole.split(b"\n\n")[:-1]:
            self.count += 1
            for line in event.split(b"\n"):
                if line.startswith(_ID):
                    self.last_id = line[len(_ID) :].strip().decode("latin-1")
        return whole

    @property
    def overflowing(self) -> bool:
        """Whether an event is longer than allowed."""
        return len(self._rest) > _MAX_EVENT_BYTES

    def drop_partial(self) -> None:
        """Forgets the begin of an event that was cut."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Returns what follows the last whole event."""
        rest, self._rest = self._rest, b""
        return rest
