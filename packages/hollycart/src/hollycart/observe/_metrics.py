"""Counters and histograms of times."""

import collections
from typing import Any
from typing import NamedTuple

from hdrh import histogram
import statsd

MAX_HISTOGRAMS = 512
_MAX_VALUE_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_OVERFLOW_LABELS = ("other", "other")


class HistogramKey(NamedTuple):
    """Identifies a histogram.

    Attributes:
        name: What is measured, in ms.
        team: Team, or `other` for the histogram shared by all keys above the
            limit.
        kind: Request kind, or `other` likewise.
    """

    name: str
    team: str
    kind: str


class Metrics:
    """Counts in memory and sends the changes of the counters to statsd.

    The number of packets does not depend on the request rate, because changes
    are sent only by `flush`. Each name, team and request kind has a histogram
    of its own, up to `MAX_HISTOGRAMS` in total. Beyond that, the further teams
    and kinds of a name share one.

    Args:
        host: Host of the statsd daemon; empty sends nothing.
        port: UDP port of the daemon.
        prefix: Prefix of all metric names.
    """

    def __init__(
        self, host: str = "", port: int = 8125, prefix: str = "hollycart"
    ) -> None:
        self.host = host
        self.port = port
        self.prefix = prefix
        self.counters: collections.Counter[str] = collections.Counter()
        self.histograms: dict[HistogramKey, Any] = {}
        self._sent: collections.Counter[str] = collections.Counter()
        self._client: Any = None

    def start(self) -> None:
        """Opens the UDP socket if a statsd host is set."""
        if self.host:
            self._client = statsd.StatsClient(
                self.host, self.port, prefix=self.prefix, maxudpsize=1400
            )

    def close(self) -> None:
        """Sends the remaining changes and closes the socket."""
        if self._client is not None:
            self.flush()
            self._client.close()
            self._client = None

    def count(self, name: str, by: int = 1) -> None:
        """Increments a counter."""
        self.counters[name] += by

    def record(self, name: str, team: str, kind: str, value_ms: float) -> None:
        """Adds a value to a histogram.

        Args:
            name: What is measured.
            team: Team of the request.
            kind: Request kind.
            value_ms: Value, in ms; clipped to 1 ms to 1 h.
        """
        key = HistogramKey(name, team, kind)
        hist = self.histograms.get(key)
        if hist is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                key = HistogramKey(name, *_OVERFLOW_LABELS)
            hist = self.histograms.setdefault(
                key,
                histogram.HdrHistogram(1, _MAX_VALUE_MS, _SIGNIFICANT_DIGITS),
            )
        hist.record_value(min(_MAX_VALUE_MS, max(1, round(value_ms))))

    def flush(self) -> None:
        """Sends the change of every counter since the last call."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self.counters.items():
                delta = value - self._sent[name]
                if delta:
                    pipe.incr(name, delta)
                    self._sent[name] = value

    def summaries(self) -> list[dict[str, Any]]:
        """Returns count, percentiles and maximum, in ms, of each histogram."""
        return [
            {
                **key._asdict(),
                "count": hist.get_total_count(),
                "p50": hist.get_value_at_percentile(50),
                "p95": hist.get_value_at_percentile(95),
                "p99": hist.get_value_at_percentile(99),
                "max": hist.get_max_value(),
            }
            for key, hist in sorted(self.histograms.items())
        ]
