"""Metrics, the metrics page, the decision log and structured log lines.

`MetricsPage` is loaded on its first use, since its library takes a tenth of an
instance's start.
"""

from typing import TYPE_CHECKING
from typing import Any

from hollycart.observe import decisions
from hollycart.observe._decision_log import DecisionLog
from hollycart.observe._decision_log import use_decision_log
from hollycart.observe._events import log_event
from hollycart.observe._metrics import HistogramKey
from hollycart.observe._metrics import Metrics

if TYPE_CHECKING:
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


def __getattr__(name: str) -> Any:
    if name == "MetricsPage":
        from hollycart.observe import _page

        return _page.MetricsPage
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
