"""Faults injected into the answers of the engine stand-in."""

from collections.abc import Iterator
import random
from typing import Any

from hollycart_core import base


class ConnectionDropped(Exception):  # noqa: N818
    """The stand-in breaks the connection on purpose."""


class ResponseFaults:
    """Distorts a share of the answers.

    Attributes:
        slow_factor: Factor on the time of a step.
        counts: Number of faults really injected, by kind.
    """

    def __init__(self) -> None:
        self.slow_factor = 1.0
        self.probability: dict[str, float] = {}
        self.rng = random.Random(0)
        self.counts: dict[str, int] = {}

    def set(self, body: dict[str, Any]) -> None:
        """Takes probabilities by kind and, optionally, the slow factor.

        Args:
            body: Keys `slow_factor`, `seed`, `drop`, `late`, `duplicate`,
                `reorder` and `stray`.
        """
        self.slow_factor = float(body.get("slow_factor", 1.0))
        if "seed" in body:
            self.rng = random.Random(int(body["seed"]))
        kinds = ("drop", "late", "duplicate", "reorder", "stray")
        self.probability = {k: float(body.get(k, 0.0)) for k in kinds}

    def distort(
        self, frames: Iterator[dict[str, Any]], clock: base.Clock
    ) -> Iterator[dict[str, Any]]:
        """Yields the frames with the faults of one answer."""
        kinds = {k for k in self.probability if self._hit(k)}
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

    def _hit(self, kind: str) -> bool:
        return self.rng.random() < self.probability.get(kind, 0.0)

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
