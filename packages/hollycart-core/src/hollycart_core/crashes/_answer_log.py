"""The latest sound answer to requests with each trait."""

from typing import NamedTuple

from hollycart_core.crashes import _types

# A trait that no answer has had for this long counts as never answered: what a
# crash says about it weighs more than that.
_RETENTION_MS = 300_000.0
_MAX_TRAITS = 4096  # of each kind; most fingerprints occur once


class Answer(NamedTuple):
    """What is known of the answers to requests with a trait.

    Attributes:
        own: Number of answers of this instance.
        began_ms: Start of the latest one.
    """

    own: int
    began_ms: float


class AnswerLog:
    """Holds the latest answers by service and trait, the most recent traits.

    Example:
        >>> log = AnswerLog()
        >>> log.record("s", "p", 5.0, 1)
        True
        >>> log.find("s", "p")
        Answer(own=1, began_ms=5.0)
    """

    def __init__(self) -> None:
        self._segments: dict[tuple[str, str], Answer] = {}
        self._requests: dict[tuple[str, str], Answer] = {}

    def record(
        self, service: str, trait: str, began_ms: float, count: int
    ) -> bool:
        """Records answers.

        Args:
            service: Service of the engine.
            trait: A trait of the request.
            began_ms: Start of the latest answer.
            count: Number of answers that were not recorded before.

        Returns:
            Whether the latest answer is later than what was known.
        """
        answers = self._of_kind(trait)
        known = answers.pop((service, trait), Answer(0, float("-inf")))
        answers[service, trait] = Answer(
            known.own + count, max(known.began_ms, began_ms)
        )
        if len(answers) > _MAX_TRAITS:
            del answers[next(iter(answers))]
        return began_ms > known.began_ms

    def find(self, service: str, trait: str) -> Answer | None:
        """Returns what is known of a trait; None if it was never answered."""
        return self._of_kind(trait).get((service, trait))

    def has_service(self, service: str) -> bool:
        """Returns whether any answer of a service is known."""
        return any(s == service for s, _ in self._requests) or any(
            s == service for s, _ in self._segments
        )

    def remove_old(self, now_ms: float) -> None:
        """Removes the answers that are too old to count."""
        for answers in (self._segments, self._requests):
            for key, answer in list(answers.items()):
                if now_ms - answer.began_ms > _RETENTION_MS:
                    del answers[key]

    def _of_kind(self, trait: str) -> dict[tuple[str, str], Answer]:
        if _types.is_request_trait(trait):
            return self._requests
        return self._segments
