"""Splits a server-sent event stream into complete events."""

import re

from hollycart.gateway import _failures
from hollycart_core import connections

_ID_FIELD = b"id:"
_DATA_FIELD = b"data:"
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
        self._awaits_resume = False

    def start_attempt(self) -> None:
        """Prepares for the response of another attempt.

        It has to go on after `last_id`, if there is one.
        """
        self.discard_partial()
        self._awaits_resume = bool(self.last_id)

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes.

        Raises:
            NotResumedError: If the first event is not a later one than that
                after which the stream was to be resumed.
        """
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
        event_id = ""
        has_data = False
        for line in event.splitlines():
            has_data |= line.startswith(_DATA_FIELD)
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
        if self._awaits_resume and (event_id or has_data):
            if not _is_later(event_id, self.last_id):
                raise _failures.NotResumedError(
                    f"event '{event_id}' after event '{self.last_id}'"
                )
            self._awaits_resume = False
        self.count += 1
        self.last_id = event_id or self.last_id


def _is_later(event_id: str, last_id: str) -> bool:
    """Returns whether an event may follow another one; their ids increase.

    Example:
        >>> _is_later("10", "9"), _is_later("9", "9"), _is_later("", "9")
        (True, False, False)
    """
    if event_id.isdecimal() and last_id.isdecimal():
        # Without a conversion, which is limited to 4,300 digits.
        first, second = event_id.lstrip("0"), last_id.lstrip("0")
        return (len(first), first) > (len(second), second)
    return event_id not in ("", last_id)
