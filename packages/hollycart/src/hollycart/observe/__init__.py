"""Metrics, the metrics page, the decision log and structured log lines."""

from hollycart.observe import _decisions as decisions
from hollycart.observe._decision_log import DecisionLog
from hollycart.observe._decision_log import use_decision_log
from hollycart.observe._events import log_event
from hollycart.observe._metrics import HistogramKey
from hollycart.observe._metrics import Metrics
from hollycart.observe._page import MetricsPage

__all__ = [
    "DecisionLog",
    "HistogramKey",
    "Metrics",
    "MetricsPage",
    "decisions",
    "log_event",
    "use_decision_log",
]
