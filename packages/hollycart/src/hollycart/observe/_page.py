"""The metrics page in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from hollycart.observe import _metrics

_QUANTILES = (50, 95, 99)


class MetricsPage:
    """Renders the counters, histograms and gauges of one instance.

    Args:
        metrics: Counters and histograms.
        gauges: Returns the current values of the gauges by name.
    """

    def __init__(
        self,
        metrics: _metrics.Metrics,
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        self.metrics = metrics
        self.gauges = gauges
        self._registry = registry.CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def collect(self) -> Iterator[core.Metric]:
        """Yields all metrics. `prometheus_client` calls this method."""
        events = core.CounterMetricFamily(
            "hollycart_events", "Events by name.", labels=["name"]
        )
        for name, count in sorted(self.metrics.counters.items()):
            events.add_metric([name], count)
        yield events
        summaries = core.SummaryMetricFamily(
            "hollycart_time_ms",
            "Times in ms by team and request kind.",
            labels=["name", "team", "kind"],
        )
        quantiles = core.GaugeMetricFamily(
            "hollycart_time_quantile_ms",
            "Percentiles of the times in ms.",
            labels=["name", "team", "kind", "percentile"],
        )
        for key, hist in sorted(self.metrics.histograms.items()):
            number = hist.get_total_count()
            labels = [key.name, key.team, key.kind]
            sum_ms = float(hist.get_mean_value()) * number if number else 0.0
            summaries.add_metric(labels, number, sum_ms)
            for quantile in _QUANTILES:
                value = hist.get_value_at_percentile(quantile)
                quantiles.add_metric([*labels, str(quantile)], value)
        yield summaries
        yield quantiles
        for name, current in sorted(self.gauges().items()):
            yield core.GaugeMetricFamily(f"hollycart_{name}", name, current)

    def render(self) -> bytes:
        """Returns the page in the Prometheus text format."""
        return bytes(prometheus_client.generate_latest(self._registry))
