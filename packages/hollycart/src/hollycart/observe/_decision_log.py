"""Writes decisions as lines of JSON without blocking the event loop."""

import collections
import logging as std_logging
import os
import select

from absl import logging
import msgspec

from hollycart.observe import decisions
from hollycart_core import base

# Limit for each event. A request causes about three lines.
_MAX_LINES_PER_S = 200
_MAX_BUFFER_BYTES = 256 * 1024
# A pipe that `select` reports as writable accepts this many bytes without
# blocking.
_WRITE_BYTES = 4096
_FLUSH_INTERVAL_MS = 100.0
_NOT_RATE_LIMITED = (decisions.Failed, decisions.Suppressed)


class DecisionLog:
    """Buffers lines and writes them as fast as the reader accepts them.

    Lines above the rate limit of their event, and lines that do not fit into
    the buffer, are left out. A `Suppressed` line reports their number.

    Args:
        instance: Name of the instance, written in every line.
        clock: Source of time.
        fd: File descriptor to write to; None writes nothing.

    Attributes:
        dropped: Number of lines that did not fit into the buffer.
        counts: Number of decisions by event, also of those left out.
    """

    def __init__(
        self, instance: str, clock: base.Clock, fd: int | None = None
    ) -> None:
        self.instance = instance
        self.clock = clock
        self.fd = fd
        self.dropped = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._buffer = bytearray()
        self._lines_in_second: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._current_second = -1
        self._task: base.PeriodicTask | None = None
        self._encoder = msgspec.json.Encoder()

    def start(self) -> None:
        """Starts writing the buffered lines periodically."""
        self._task = base.PeriodicTask(
            self.flush, _FLUSH_INTERVAL_MS, self.clock, lambda exc: None
        )
        self._task.start()

    def close(self) -> None:
        """Writes the lines that the reader accepts at once and stops."""
        if self._task is not None:
            self._task.close()
            self._task = None
        self._report_suppressed()
        self.flush()

    def write(self, decision: decisions.Decision) -> None:
        """Buffers a line unless its event has reached the limit per second."""
        event = str(type(decision).__struct_config__.tag)
        self.counts[event] += 1
        if self.fd is None:
            return
        second = int(self.clock.wall_ms() / 1000.0)
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second.clear()
            self._report_suppressed()
        self._lines_in_second[event] += 1
        if self._lines_in_second[event] > _MAX_LINES_PER_S and not isinstance(
            decision, _NOT_RATE_LIMITED
        ):
            self._suppressed[event] += 1
            return
        self._append_line(event, decision)

    def flush(self) -> None:
        """Writes what the reader accepts without blocking."""
        while self._buffer and self.fd is not None:
            _, writable, _ = select.select([], [self.fd], [], 0)
            if not writable:
                return
            try:
                count = os.write(self.fd, self._buffer[:_WRITE_BYTES])
            except OSError:
                # The reader has closed the pipe. The lines are lost, but the
                # instance continues to serve.
                self.fd = None
                return
            del self._buffer[:count]

    def _report_suppressed(self) -> None:
        if self._suppressed:
            counts = dict(self._suppressed)
            self._suppressed.clear()
            self._append_line("suppressed", decisions.Suppressed(counts))

    def _append_line(self, event: str, decision: decisions.Decision) -> None:
        body = self._encoder.encode(decision)
        head = self._encoder.encode(
            {
                "time_ms": round(self.clock.wall_ms(), 1),
                "instance": self.instance,
            }
        )
        line = head[:-1] + b"," + body[1:] + b"\n"
        if len(self._buffer) + len(line) > _MAX_BUFFER_BYTES:
            self.dropped += 1
            self._suppressed[event] += 1
            return
        self._buffer += line


class DecisionLogHandler(std_logging.Handler):
    """Writes the records of the standard logging library to a decision log.

    Args:
        log: Decision log to write to.
    """

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self.log = log

    def emit(self, record: std_logging.LogRecord) -> None:
        """Writes a record, with the traceback of its exception if any."""
        text = record.getMessage()
        if record.exc_info:
            formatter = std_logging.Formatter()
            text += "\n" + formatter.formatException(record.exc_info)
        self.log.write(
            decisions.Message(
                record.levelname, f"{record.filename}:{record.lineno}", text
            )
        )


def use_decision_log(log: DecisionLog, verbosity: int) -> None:
    """Redirects the standard logging library, and absl, to a decision log.

    Args:
        log: Decision log to write to.
        verbosity: absl verbosity; less severe messages are not written.
    """
    root = std_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(DecisionLogHandler(log))
    logging.set_verbosity(verbosity)
