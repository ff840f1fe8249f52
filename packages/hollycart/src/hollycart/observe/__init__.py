"""Metrics, histograms and log lines."""

from hollycart.observe._events import log_event
from hollycart.observe._metrics import HistogramKey
from hollycart.observe._metrics import Metrics

__all__ = ["HistogramKey", "Metrics", "log_event"]
