"""Crashes and successes of late, and the traits that explain the crashes."""

import collections
from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from hollycart_core.crashes import _answer_log
from hollycart_core.crashes import _crash_runs
from hollycart_core.crashes import _types

# Crashes one after the other, each by a prompt that was sent after the crash
# before, from which a trait that all of these requests share is a culprit: one
# that was never answered, and one that was answered earlier.
_MIN_GENERATIONS = 3
# The same for segments while another one without an answer explains as much,
# and while no answer of the service is known: then nothing tells the cause from
# a segment that all prompts share.
_MIN_GENERATIONS_UNCLEAR = 5
_MIN_GENERATIONS_ANSWERED = 4
# Time that the crashes of a trait that was answered earlier have to span, in
# ms. While engines restart one after the other, nothing is answered for some
# time, and the same prompts are cut off again and again.
_MIN_SPAN_ANSWERED_MS = 1500.0
# Age from which a crash counts, in ms: by then the instances have told each
# other of the attempts that ran there.
SETTLE_MS = 100.0
# Share of the service's answers above which a trait is no culprit: without it
# the service would answer hardly anything. It is known from so many answers on.
_MAX_ANSWER_SHARE = 0.5
_MIN_ANSWERS = 10
# Share of the latest crashes of the service that a culprit has to explain; a
# burst of others counts as one. Below it engines crash for other reasons, and
# their requests are victims. A verdict on a whole request affects no other.
_MIN_EXPLAINED_SHARE = 0.4
_MIN_EXPLAINED_SHARE_REQUEST = 0.1
# Time before the first crash of a trait from which crashes count as the
# latest ones, in ms.
_LOOKBACK_MS = 30_000.0
_RETENTION_MS = 120_000.0
# Traits in common that are kept of a culprit, to bound its size.
_MAX_COMMON_TRAITS = 16
_MAX_CRASHES = 256


class Culprit(NamedTuple):
    """A trait that explains crashes of engines.

    Attributes:
        service: Service of the engines.
        trait: Id of the trait.
        traits: All traits that the requests had in common, and that no sound
            answer has had since; with `trait`.
        generations: Number of crashes one after the other.
        last_crash_ms: Instant of the last one.
        is_clear: Whether it was never answered, and no other trait of its kind
            without an answer explains as much.
        was_answered: Whether it was answered earlier.
    """

    service: str
    trait: str
    traits: frozenset[str]
    generations: int
    last_crash_ms: float
    is_clear: bool
    was_answered: bool


class CrashHistory:
    """Finds the traits that explain crashes of engines.

    The load it answers: a few requests a second contain a segment on which each
    engine crashes that starts to decode, or are one request that is sent again
    and again, beside sound requests that share the other traits and run at the
    same engines.

    One crash makes all requests there suspects. A trait is a culprit only
    after several crashes, each by a request sent after the one before, with no
    sound answer since the first. Traits without earlier answers, then those
    with few, are held responsible first, of these the one that explains most;
    what it explains does not count against the others. A crash that a trait
    without any answer may have caused does not count against one with answers,
    if that trait is also in another crash.

    A segment is no culprit if the crashes that count against it are all by one
    request: then that request is. Crashes that whole requests explain count
    against their segments all the same, so that the segment is found when
    another request with it crashes an engine.

    Example:
        >>> history = CrashHistory()
        >>> for at_ms in (100.0, 400.0, 700.0):
        ...     suspect = _types.SuspectAttempt(
        ...         f"a{at_ms}", ("f", "p"), at_ms - 50.0
        ...     )
        ...     crash = _types.EngineCrash(
        ...         f"e{at_ms}", 0, "s", at_ms, (suspect,)
        ...     )
        ...     _ = history.record_crash(crash)
        >>> history.record_success("s", "f", 450.0)
        True
        >>> [c.trait for c in history.find_culprits("s", (), 900.0)]
        ['p']
    """

    def __init__(self) -> None:
        self._crashes: list[_types.EngineCrash] = []
        self._answers = _answer_log.AnswerLog()
        self._answer_counts: collections.Counter[str] = collections.Counter()

    def record_crash(self, crash: _types.EngineCrash) -> bool:
        """Records a crash, or what another instance adds to a known one.

        Returns:
            Whether something was not known before.
        """
        for number, known in enumerate(self._crashes):
            if _crash_runs.is_same(known, crash):
                merged = _crash_runs.merge(known, crash)
                self._crashes[number] = merged
                return merged.suspects != known.suspects
        self._crashes.append(crash)
        del self._crashes[:-_MAX_CRASHES]
        return True

    def count_answer(self, service: str) -> None:
        """Counts an answer of this instance, whatever its traits."""
        self._answer_counts[service] += 1

    def record_success(
        self, service: str, trait: str, began_ms: float, answers: int = 1
    ) -> bool:
        """Records a sound answer.

        Args:
            service: Service of the engine.
            trait: A trait of the request.
            began_ms: Instant of the first event; of an answer without events,
                the instant at which the request was sent.
            answers: Number of answers; zero for one that another instance
                reports, perhaps again.

        Returns:
            Whether it is later than what was known.
        """
        return self._answers.record(service, trait, began_ms, answers)

    def last_success_ms(self, service: str, trait: str) -> float | None:
        """Returns the start of the latest known answer with a trait."""
        known = self._answers.find(service, trait)
        return known.began_ms if known else None

    def services(self) -> set[str]:
        """Returns the services whose engines have crashed."""
        return {c.service for c in self._crashes}

    def implicates(self, service: str, trait: str) -> bool:
        """Returns whether a crash counts against a trait."""
        return bool(self._run(trait, self._of_service(service)))

    def remove_old(self, now_ms: float) -> None:
        """Removes what is too old to count."""
        self._crashes = [
            c
            for c in self._crashes
            if now_ms - c.at_ms <= _LOOKBACK_MS
            or (now_ms - c.at_ms <= _RETENTION_MS and self._speaks_against(c))
        ]
        self._answers.remove_old(now_ms)

    def find_culprits(
        self, service: str, known: Collection[str], now_ms: float
    ) -> list[Culprit]:
        """Returns the traits that explain crashes, beside known ones.

        Args:
            service: Service of the engines.
            known: Traits that are known to crash them.
            now_ms: Current instant.
        """
        crashes = [
            c
            for c in self._of_service(service)
            if now_ms - c.at_ms >= SETTLE_MS
        ]
        unexplained = _crash_runs.Unexplained.of(crashes, known)
        is_any_answered = self._answers.has_service(service)
        culprits = []
        for trait in self._by_trust(service, unexplained):
            left = unexplained.by(trait)
            run = self._run(trait, left)
            generations = _crash_runs.count_generations(trait, run)
            if generations < _MIN_GENERATIONS or _crash_runs.is_one_request(
                trait, run
            ):
                continue
            common = self._common_traits(trait, run)
            was_answered = self._is_answered(service, trait)
            if was_answered and not self._is_dispensable(service, trait):
                continue
            is_clear = (
                not was_answered
                and is_any_answered
                and not self._has_rival(service, trait, common, run)
            )
            if not _is_conclusive(
                trait, generations, run, was_answered, is_clear
            ):
                continue
            since_ms = run[0].at_ms - _LOOKBACK_MS
            others = [c for c in left if c.at_ms >= since_ms and c not in run]
            all_count = generations + _crash_runs.count_bursts(others)
            if generations < _min_explained_share(trait) * all_count:
                continue
            culprits.append(
                Culprit(
                    service,
                    trait,
                    common,
                    generations,
                    run[-1].at_ms,
                    is_clear,
                    was_answered,
                )
            )
            unexplained = unexplained.without(trait)
        return culprits

    def suspicion(
        self, service: str, traits: Sequence[str], known: Collection[str]
    ) -> int:
        """Returns how many crashes speak against a request.

        Args:
            service: Service of the engines.
            traits: Traits of the request.
            known: Traits that are known to crash engines; what they explain
                does not count.

        Returns:
            The most generations of crashes since the last sound answer, over
            the traits; one less for those that were answered earlier.
        """
        unexplained = _crash_runs.without(self._of_service(service), known)
        most = 0
        for trait in traits:
            count = _crash_runs.count_generations(
                trait, self._run(trait, unexplained)
            )
            if self.last_success_ms(service, trait) is not None:
                count -= 1
            most = max(most, count)
        return most

    def unexplained(
        self, known: Collection[str], since_ms: float = float("-inf")
    ) -> list[_types.EngineCrash]:
        """Returns the crashes, the latest last, that `known` do not explain.

        Crashes without a suspect that counts are left out.

        Args:
            known: Traits that are known to crash engines.
            since_ms: Instant before which crashes are left out that count
                against no segment.
        """
        found = _crash_runs.without(self._crashes, known)
        return sorted(
            (
                c
                for c in found
                if self._speaks_against(c, segments_only=c.at_ms < since_ms)
            ),
            key=lambda c: c.at_ms,
        )

    def _speaks_against(
        self, crash: _types.EngineCrash, segments_only: bool = False
    ) -> bool:
        """Returns whether a crash counts against some trait."""
        return any(
            self._counts(trait, crash)
            for trait in _crash_runs.traits_of(crash)
            if not segments_only or not _types.is_request_trait(trait)
        )

    def _of_service(self, service: str) -> list[_types.EngineCrash]:
        return sorted(
            (c for c in self._crashes if c.service == service),
            key=lambda c: c.at_ms,
        )

    def _counts(self, trait: str, crash: _types.EngineCrash) -> bool:
        success_ms = self.last_success_ms(crash.service, trait)
        return success_ms is None or crash.at_ms > success_ms

    def _run(
        self, trait: str, crashes: Sequence[_types.EngineCrash]
    ) -> list[_types.EngineCrash]:
        """Returns the crashes that count against a trait."""
        run = [
            c
            for c in crashes
            if _crash_runs.is_suspected(trait, c) and self._counts(trait, c)
        ]
        if not run or not self._is_answered(run[0].service, trait):
            return run
        unanswered = self._repeated_unanswered(trait, crashes)
        return [
            c for c in run if unanswered.isdisjoint(_crash_runs.traits_of(c))
        ]

    def _is_dispensable(self, service: str, trait: str) -> bool:
        """Returns whether most answers are known to be without a trait."""
        answers = self._answer_counts[service]
        known = self._answers.find(service, trait)
        return (
            known is not None
            and answers >= _MIN_ANSWERS
            and known.own <= _MAX_ANSWER_SHARE * answers
        )

    def _repeated_unanswered(
        self, trait: str, crashes: Sequence[_types.EngineCrash]
    ) -> set[str]:
        """Returns the traits without an answer that are in several crashes.

        Segments of one prompt only, such as that of its document, are in one.

        Args:
            trait: Trait that may be the culprit instead. Retries put whole
                requests into several crashes, which clears no segment.
            crashes: The crashes.
        """
        counts = collections.Counter(
            s
            for crash in crashes
            for s in _crash_runs.traits_of(crash)
            if not self._is_answered(crash.service, s)
            and (
                _types.is_request_trait(trait) or not _types.is_request_trait(s)
            )
        )
        return {s for s, count in counts.items() if count > 1}

    def _has_rival(
        self,
        service: str,
        trait: str,
        common: Collection[str],
        run: Sequence[_types.EngineCrash],
    ) -> bool:
        """Returns whether another trait without an answer explains a whole run.

        Args:
            service: Service of the engines.
            trait: The trait; rivals are of its kind.
            common: Traits that are no rivals.
            run: The crashes.
        """
        rivals = _crash_runs.traits_of(run[0])
        return any(
            not self._is_answered(service, rival)
            and _types.is_request_trait(rival) == _types.is_request_trait(trait)
            and all(_crash_runs.is_suspected(rival, crash) for crash in run)
            for rival in rivals.difference(common)
        )

    def _is_answered(self, service: str, trait: str) -> bool:
        return self._answers.find(service, trait) is not None

    def _by_trust(
        self, service: str, unexplained: _crash_runs.Unexplained
    ) -> list[str]:
        """Returns the suspected traits, the least trusted first."""
        uses: dict[str, int] = {}
        for crash in unexplained.by_segments:
            for suspect in crash.suspects:
                for trait in suspect.traits:
                    uses[trait] = uses.get(trait, 0) + 1

        def trust(trait: str) -> tuple[int, int, int, str]:
            known = self._answers.find(service, trait)
            return (
                known.own + 1 if known else 0,
                -len(self._run(trait, unexplained.by(trait))),
                uses[trait],
                trait,
            )

        return sorted(uses, key=trust)

    def _common_traits(
        self, trait: str, run: Sequence[_types.EngineCrash]
    ) -> frozenset[str]:
        prompts = [
            frozenset(s.traits)
            for crash in run
            for s in crash.suspects
            if trait in s.traits
        ]
        common = frozenset.intersection(*prompts) - {trait}
        unanswered = sorted(s for s in common if self._counts(s, run[0]))
        return frozenset((trait, *unanswered[: _MAX_COMMON_TRAITS - 1]))


def _min_explained_share(trait: str) -> float:
    if _types.is_request_trait(trait):
        return _MIN_EXPLAINED_SHARE_REQUEST
    return _MIN_EXPLAINED_SHARE


def _is_conclusive(
    trait: str,
    generations: int,
    run: Sequence[_types.EngineCrash],
    was_answered: bool,
    is_clear: bool,
) -> bool:
    """Returns whether a run of crashes makes its trait a culprit."""
    is_request = _types.is_request_trait(trait)
    if is_clear or (is_request and not was_answered):
        return generations >= _MIN_GENERATIONS
    if not was_answered:
        return generations >= _MIN_GENERATIONS_UNCLEAR
    return (
        generations >= _MIN_GENERATIONS_ANSWERED
        and run[-1].at_ms - run[0].at_ms >= _MIN_SPAN_ANSWERED_MS
    )
