"""Orders that set the models and the role of the engine stand-in."""

from typing import Any

from hollycart_core import base
from hollycart_core import http

_WEIGHTS_TIMEOUT_MS = 60_000


class OrderState:
    """Models and role of the stand-in.

    Args:
        models: Models loaded at the start.
        checks_fence: Whether an order with a stale fencing token is refused.
        weight_store: `host:port` of the weight store that new models are
            fetched from; if empty, they load at once.
        clock: Source of time.

    Attributes:
        highest_fence: Highest fencing token received.
        accepted: Every accepted order as (wall-clock ms, fencing token, models,
            role).
    """

    def __init__(
        self,
        models: tuple[str, ...],
        checks_fence: bool,
        weight_store: str,
        clock: base.Clock,
    ) -> None:
        self.models = models
        self.role = "serve"
        self.checks_fence = checks_fence
        self.weight_store = weight_store
        self.clock = clock
        self.highest_fence = 0
        self.accepted: list[tuple[float, int, tuple[str, ...], str]] = []
        self.client = http.HttpClient()
        self.client.start()

    def handle(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Executes an order; returns HTTP status and response document."""
        fence = int(body["fence"])
        if self.checks_fence and fence < self.highest_fence:
            return 409, {"error": "old fence", "highest": self.highest_fence}
        self.highest_fence = max(self.highest_fence, fence)
        models = tuple(body["models"])
        self.accepted.append(
            (self.clock.wall_ms(), fence, models, body["role"])
        )
        for model in models:
            if model not in self.models and self.weight_store:
                reply = self.client.send(
                    "GET",
                    f"http://{self.weight_store}/weights/{model}",
                    timeout_ms=_WEIGHTS_TIMEOUT_MS,
                )
                if reply.status != 200:
                    return 503, {"error": "weight store"}
        self.models = models
        self.role = body["role"]
        return 200, {"models": models, "role": self.role}
