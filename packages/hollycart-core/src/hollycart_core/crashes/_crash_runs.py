"""Reports of crashes, and runs of crashes one after the other."""

from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from hollycart_core.crashes import _attempt_log
from hollycart_core.crashes import _types

# Crashes that are no further apart are one burst: engines that lose power
# together, for example.
_BURST_GAP_MS = 250.0


class Unexplained(NamedTuple):
    """Crashes without an explanation.

    Attributes:
        by_segments: Crashes that no segment explains.
        by_any: Crashes that neither a segment nor a whole request explains.
    """

    by_segments: list[_types.EngineCrash]
    by_any: list[_types.EngineCrash]

    @classmethod
    def of(
        cls, crashes: Collection[_types.EngineCrash], known: Collection[str]
    ) -> "Unexplained":
        """Returns the crashes that known culprits do not explain."""
        segments = [t for t in known if not _types.is_request_trait(t)]
        return cls(without(crashes, segments), without(crashes, known))

    def by(self, trait: str) -> list[_types.EngineCrash]:
        """Returns the crashes that may count against a trait."""
        if _types.is_request_trait(trait):
            return self.by_any
        return self.by_segments

    def without(self, trait: str) -> "Unexplained":
        """Returns the crashes that a further culprit does not explain."""
        by_any = without(self.by_any, (trait,))
        if _types.is_request_trait(trait):
            return self._replace(by_any=by_any)
        return Unexplained(without(self.by_segments, (trait,)), by_any)


def is_same(crash: _types.EngineCrash, other: _types.EngineCrash) -> bool:
    """Returns whether two reports are of one crash.

    An incarnation crashes once. Without a known start, an endpoint may have
    started again under its id.
    """
    return (
        crash.endpoint == other.endpoint
        and crash.born_ms == other.born_ms
        and (
            crash.born_ms != 0
            or abs(crash.at_ms - other.at_ms) <= _attempt_log.SAME_CRASH_MS
        )
    )


def merge(
    known: _types.EngineCrash, other: _types.EngineCrash
) -> _types.EngineCrash:
    """Returns a crash with what two instances report of it."""
    ids = {s.attempt_id for s in known.suspects}
    at_ms = min(known.at_ms, other.at_ms)
    added = tuple(
        s
        for s in other.suspects
        if s.attempt_id not in ids
        and s.sent_ms <= at_ms + _attempt_log.SAME_CRASH_MS
    )
    return known._replace(at_ms=at_ms, suspects=known.suspects + added)


def is_one_request(trait: str, run: Sequence[_types.EngineCrash]) -> bool:
    """Returns whether one request explains all crashes against a segment."""
    if _types.is_request_trait(trait):
        return False
    requests = {
        t
        for suspect in run[0].suspects
        if trait in suspect.traits
        for t in suspect.traits
        if _types.is_request_trait(t)
    }
    return any(all(is_suspected(r, c) for c in run) for r in requests)


def traits_of(crash: _types.EngineCrash) -> set[str]:
    """Returns the traits of all suspects of a crash."""
    return {s for suspect in crash.suspects for s in suspect.traits}


def is_suspected(trait: str, crash: _types.EngineCrash) -> bool:
    """Returns whether a suspect of a crash has a trait."""
    return any(trait in s.traits for s in crash.suspects)


def without(
    crashes: Collection[_types.EngineCrash], traits: Collection[str]
) -> list[_types.EngineCrash]:
    """Returns the crashes that none of the traits explain."""
    return [c for c in crashes if not any(is_suspected(s, c) for s in traits)]


def count_generations(trait: str, run: Sequence[_types.EngineCrash]) -> int:
    """Returns the number of crashes by prompts sent after the one before.

    Engines that crash at the same time while they decode prompts with the same
    trait are one generation: the cause may be another one.
    """
    count, previous_ms = 0, float("-inf")
    for crash in run:
        sent_ms = max(s.sent_ms for s in crash.suspects if trait in s.traits)
        if sent_ms >= previous_ms:
            count += 1
            previous_ms = crash.at_ms
    return count


def count_bursts(crashes: Sequence[_types.EngineCrash]) -> int:
    """Returns the number of bursts among crashes in their order."""
    count, previous_ms = 0, float("-inf")
    for crash in crashes:
        if crash.at_ms - previous_ms > _BURST_GAP_MS:
            count += 1
        previous_ms = crash.at_ms
    return count
