"""Stand-in for the weight store, which limits concurrent loads."""

from collections.abc import Iterable
from typing import Any

from hollycart_core import base
from hollycart_core import http


class WeightApp:
    """Serves a bounded number of concurrent loads and refuses the others.

    Args:
        clock: Source of time.
        load_ms: Duration of one load, in ms.
        max_loads: Maximum number of concurrent loads; above it a load is
            refused with status 429.

    Attributes:
        running: Number of loads in progress.
        loads: Number of finished loads.
        refused: Number of refused loads.
    """

    def __init__(
        self, clock: base.Clock, load_ms: float = 500.0, max_loads: int = 2
    ) -> None:
        self.clock = clock
        self.load_ms = load_ms
        self.max_loads = max_loads
        self.running = 0
        self.loads = 0
        self.refused = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request."""
        if environ["PATH_INFO"] == "/control/truth":
            value = {"loads": self.loads, "refused": self.refused}
            return http.json_response(start_response, 200, value)
        if self.running >= self.max_loads:
            self.refused += 1
            return http.json_response(start_response, 429, {})
        self.running += 1
        try:
            self.clock.sleep_ms(self.load_ms)
        finally:
            self.running -= 1
        self.loads += 1
        return http.json_response(start_response, 200, {})
