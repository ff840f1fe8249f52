"""Weight store stand-in that limits its rate."""

from collections.abc import Iterable
from typing import Any

from hollycart_core import base
from hollycart_core import http


class WeightApp:
    """Answers loads at a bounded rate and refuses above it.

    Args:
        clock: Source of time.
        load_ms: Time of one load, in ms.
        max_loads: Loads at a time; more are refused.
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
