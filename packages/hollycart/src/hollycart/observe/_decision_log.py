"""Writes decisions as JSON lines without ever blocking."""

import collections
import logging as std_logging
import os
import select

from absl import logging
import msgspec

from hollycart.observe import _decisions
from hollycart_core import base

# Lines of one event a second; a request causes about three.
_LINES_PER_S = 200
_MAX_BUFFER_BYTES = 256 * 1024
# A pipe that is reported as writable takes this much without blocking.
_WRITE_BYTES = 4096
_FLUSH_INTERVAL_MS = 100.0
_NEVER_SUPPRESSED = (_decisions.Failed, _decisions.Suppressed)


class DecisionLog:
    """Buffers lines and writes as much as the reader takes.

    Args:
        instance: Name of the instance, in every line.
        clock: Source of time.
        fd: File descriptor to write to; None writes nothing.
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
        self._in_second: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._second = -1
        self._task: base.PeriodicTask | None = None
        self._encoder = msgspec.json.Encoder()

    def start(self) -> None:
        """Begins to write, also what the logging library gets."""
        self._task = base.PeriodicTask(
            self.flush, _FLUSH_INTERVAL_MS, self.clock, lambda exc: None
        )
        self._task.start()

    def close(self) -> None:
        """Writes what the reader takes and stops."""
        if self._task is not None:
            self._task.close()
            self._task = None
        self._report_suppressed()
        self.flush()

    def write(self, decision: _decisions.Decision) -> None:
        """Adds a line unless too many of its kind came in this second."""
        event = str(type(decision).__struct_config__.tag)
        self.counts[event] += 1
        if self.fd is None:
            return
        second = int(self.clock.wall_ms() / 1000.0)
        if second != self._second:
            self._second = second
            self._in_second.clear()
            self._report_suppressed()
        self._in_second[event] += 1
        if self._in_second[event] > _LINES_PER_S and not isinstance(
            decision, _NEVER_SUPPRESSED
        ):
            self._suppressed[event] += 1
            return
        self._add(event, decision)

    def flush(self) -> None:
        """Writes as much as the reader takes without blocking."""
        while self._buffer and self.fd is not None:
            _, writable, _ = select.select([], [self.fd], [], 0)
            if not writable:
                return
            try:
                count = os.write(self.fd, self._buffer[:_WRITE_BYTES])
            except OSError:
                # Nobody reads: the lines are lost, the instance goes on.
                self.fd = None
                return
            del self._buffer[:count]

    def _report_suppressed(self) -> None:
        if self._suppressed:
            counts = dict(self._suppressed)
            self._suppressed.clear()
            self._add("suppressed", _decisions.Suppressed(counts))

    def _add(self, event: str, decision: _decisions.Decision) -> None:
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
    """Turns records of the logging library into lines of a decision log.

    Args:
        log: Receives the lines.
    """

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self.log = log

    def emit(self, record: std_logging.LogRecord) -> None:
        """Writes one record."""
        text = record.getMessage()
        if record.exc_info:
            formatter = std_logging.Formatter()
            text += "\n" + formatter.formatException(record.exc_info)
        self.log.write(
            _decisions.Message(
                record.levelname, f"{record.filename}:{record.lineno}", text
            )
        )


def use_decision_log(log: DecisionLog, verbosity: int) -> None:
    """Sends the lines of the logging library to a decision log.

    Args:
        log: Receives the lines.
        verbosity: The level of absl from which lines are written.
    """
    root = std_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(DecisionLogHandler(log))
    logging.set_verbosity(verbosity)
