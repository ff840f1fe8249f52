"""Counters, timings and histograms."""

import collections
from typing import Any
from typing import NamedTuple

from hdrh import histogram
import statsd

MAX_HISTOGRAMS = 512
_MAX_VALUE_MS = 3_600_000
_DIGITS = 2
_OTHER = ("other", "other")


class HistogramKey(NamedTuple):
    """Names a histogram.

    Attributes:
        name: What is measured, in ms.
        team: Team, or `other` beyond the bound on histograms.
        kind: Request kind.
    """

    name: str
    team: str
    kind: str


class Metrics:
    """Counts in memory and sends deltas by statsd at a bounded rate.

    Histograms exist per team and request kind up to a bound; further pairs
    share one.

    Args:
        host: Address of the statsd daemon; empty sends nothing.
        port: UDP port of the daemon.
        prefix: Prefix of all names.
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
        """Opens the UDP socket."""
        if self.host:
            self._client = statsd.StatsClient(
                self.host, self.port, prefix=self.prefix, maxudpsize=1400
            )

    def close(self) -> None:
        """Sends what is left and closes the socket."""
        if self._client is not None:
            self.flush()
            self._client.close()
            self._client = None

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        self.counters[name] += by

    def record(self, name: str, team: str, kind: str, value_ms: float) -> None:
        """Adds a value in ms to a histogram."""
        key = HistogramKey(name, team, kind)
        found = self.histograms.get(key)
        if found is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                key = HistogramKey(name, *_OTHER)
            found = self.histograms.setdefault(
                key, histogram.HdrHistogram(1, _MAX_VALUE_MS, _DIGITS)
            )
        found.record_value(min(_MAX_VALUE_MS, max(1, round(value_ms))))

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
        """Returns count and percentiles in ms of every histogram."""
        return [
            {
                **key._asdict(),
                "count": found.get_total_count(),
                "p50": found.get_value_at_percentile(50),
                "p95": found.get_value_at_percentile(95),
                "p99": found.get_value_at_percentile(99),
                "max": found.get_max_value(),
            }
            for key, found in sorted(self.histograms.items())
        ]
