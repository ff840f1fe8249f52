"""Faults injected into the responses of the engine stand-in."""

from collections.abc import Iterator
import random
from typing import Any

from hollycart_core import base


class ConnectionDropped(Exception):  # noqa: N818
    """Ends a response early, to simulate a dropped connection."""


class ResponseFaults:
    """Injects faults into a random share of the responses.

    Attributes:
        slow_factor: Factor by which the step time is multiplied.
        counts: Number of injected faults by kind. A fault drawn for a response
            that ends before the fault can occur is not counted.
    """

    def __init__(self) -> None:
        self.slow_factor = 1.0
        self.probability_by_kind: dict[str, float] = {}
        self.rng = random.Random(0)
        self.counts: dict[str, int] = {}

    def set(self, body: dict[str, Any]) -> None:
        """Sets the probability of each fault, the slow factor and the seed.

        Args:
            body: Optional keys `drop`, `late`, `duplicate`, `reorder` and
                `stray` (probabilities per response, 0 by default),
                `slow_factor` (1 by default) and `seed` (of the random draws).
        """
        self.slow_factor = float(body.get("slow_factor", 1.0))
        if "seed" in body:
            self.rng = random.Random(int(body["seed"]))
        kinds = ("drop", "late", "duplicate", "reorder", "stray")
        self.probability_by_kind = {k: float(body.get(k, 0.0)) for k in kinds}

    def distort(
        self, frames: Iterator[dict[str, Any]], clock: base.Clock
    ) -> Iterator[dict[str, Any]]:
        """Yields the frames of one response with the faults drawn for it.

        Raises:
            ConnectionDropped: At the fourth frame, for `drop`.
        """
        kinds = {k for k in self.probability_by_kind if self._is_drawn(k)}
        held: dict[str, Any] | None = None
        for number, frame in enumerate(frames):
            if "drop" in kinds and number == 3:
                self._count("drop")
                raise ConnectionDropped
            if "late" in kinds and number == 2:
                self._count("late")
                clock.sleep_ms(400)
            if "stray" in kinds and number == 1:
                self._count("stray")
                yield {**frame, "id": frame["id"] + "0"}
            if "reorder" in kinds and number % 5 == 1 and held is None:
                held = frame
                continue
            yield frame
            if held is not None:
                self._count("reorder")
                yield held
                held = None
            if "duplicate" in kinds and number % 4 == 0:
                self._count("duplicate")
                yield frame
        if held is not None:
            yield held

    def _is_drawn(self, kind: str) -> bool:
        return self.rng.random() < self.probability_by_kind.get(kind, 0.0)

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
