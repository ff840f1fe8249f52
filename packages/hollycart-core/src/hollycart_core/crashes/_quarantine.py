"""Traits of requests that are not sent to engines."""

from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from hollycart_core.crashes import _crash_history
from hollycart_core.crashes import _types

# Time after the last crash after which one request is admitted again, as a
# trial, in ms: for a clear culprit, and for one that is not, which many sound
# requests may need. A failed trial makes a culprit clear that was never
# answered. Each further one multiplies the time by the factor, up to the
# maximum.
_FIRST_TRIAL_MS = 20_000.0
_FIRST_TRIAL_UNCLEAR_MS = 1000.0
_TRIAL_FACTOR = 3.0
_MAX_TRIAL_MS = 600_000.0
# Time to the next trial after one without an outcome, in ms.
_RETRIAL_MS = 1000.0
# Time after which the outcome of a trial is no longer awaited, in ms.
_TRIAL_TIMEOUT_MS = 10_000.0
_RETENTION_MS = 900_000.0
_MAX_ENTRIES = 256


class QuarantineEntry(NamedTuple):
    """A trait that is in quarantine, or was released from it.

    Attributes:
        service: Service whose engines crash.
        trait: The trait that is held responsible.
        traits: Traits that a request has to have, all of them, to be refused:
            as long as it is not known which of them is the cause.
        version: Grows with each change; the highest one is in force.
        released: Whether requests with it are admitted again.
        trial_at_ms: Instant from which one request is admitted as a trial.
        failed_trials: Number of trials that crashed an engine.
        trial_delay_ms: Time from the last crash to the next trial, in ms.
        last_crash_ms: Instant of the last crash.
        trial_by: Instance that runs the present trial; empty for none.
        was_answered: Whether requests with it were answered before the crashes.
    """

    service: str
    trait: str
    traits: frozenset[str]
    version: int
    released: bool
    trial_at_ms: float
    failed_trials: int
    trial_delay_ms: float
    last_crash_ms: float
    trial_by: str = ""
    was_answered: bool = False

    @property
    def is_clear(self) -> bool:
        """Whether the trait is the cause beyond doubt."""
        return self.trial_delay_ms >= _FIRST_TRIAL_MS


class Quarantine:
    """Keeps requests with traits that crash engines away from them.

    Instances exchange crashes, sound answers and entries, each of them more
    than once and in any order, and come to the same entries.

    Attributes:
        history: Crashes and sound answers.
    """

    def __init__(self) -> None:
        self.history = _crash_history.CrashHistory()
        self._entries: dict[tuple[str, str], QuarantineEntry] = {}

    @property
    def entries(self) -> list[QuarantineEntry]:
        """All entries, with those that were released."""
        return list(self._entries.values())

    def find(
        self, service: str, traits: Collection[str]
    ) -> QuarantineEntry | None:
        """Returns the entry that keeps a request away, if there is one.

        Of several it is the one whose next trial is the latest.
        """
        return max(
            (
                e
                for e in self._entries.values()
                if not e.released
                and e.service == service
                and e.traits.issubset(traits)
            ),
            key=lambda e: e.trial_at_ms,
            default=None,
        )

    def suspicion(self, service: str, traits: Sequence[str]) -> int:
        """Returns how many unexplained crashes speak against a request."""
        return self.history.suspicion(
            service, traits, self._quarantined(service)
        )

    def unexplained(
        self, since_ms: float = float("-inf")
    ) -> list[_types.EngineCrash]:
        """Returns the crashes that no trait in quarantine explains.

        Args:
            since_ms: Instant before which crashes are left out that count
                against no segment.
        """
        return self.history.unexplained(
            {e.trait for e in self._entries.values() if not e.released},
            since_ms,
        )

    def record_crash(
        self, crash: _types.EngineCrash, now_ms: float
    ) -> list[QuarantineEntry]:
        """Records a crash.

        Returns:
            The entries that changed.
        """
        if not self.history.record_crash(crash):
            return []
        self._remove_old(now_ms)
        changed = []
        for entry in list(self._entries.values()):
            updated = _after_crash(entry, crash)
            if updated != entry:
                self._store(updated)
                changed.append(updated)
        return changed

    def review(self, now_ms: float) -> list[QuarantineEntry]:
        """Adds the traits that have turned out to crash engines.

        Returns:
            The entries that were added.
        """
        self._remove_old(now_ms)
        return [
            entry
            for service in self.history.services()
            for entry in self._add_culprits(service, now_ms)
        ]

    def record_success(
        self,
        service: str,
        traits: Sequence[str],
        began_ms: float,
        is_own: bool = True,
    ) -> list[QuarantineEntry]:
        """Records a sound answer.

        Args:
            service: Service of the engine.
            traits: Traits of the request.
            began_ms: Instant of the first event; of an answer without events,
                the instant at which the request was sent.
            is_own: Whether the request was sent by this instance; of others
                only some traits of some requests are known.

        Returns:
            The entries that changed.
        """
        if is_own:
            self.history.count_answer(service)
        for trait in traits:
            self.history.record_success(service, trait, began_ms, int(is_own))
        changed = []
        for entry in list(self._entries.values()):
            if entry.service != service or entry.released:
                continue
            updated = _after_success(entry, traits, began_ms)
            if updated != entry:
                self._store(updated)
                changed.append(updated)
        return changed

    def claim_trial(
        self, entry: QuarantineEntry, instance: str, now_ms: float
    ) -> QuarantineEntry | None:
        """Claims the trial of an entry.

        Returns:
            The entry with the claim; None if it is not time for a trial.
        """
        current = self._entries.get((entry.service, entry.trait))
        if current is None or current.released or now_ms < current.trial_at_ms:
            return None
        claimed = current._replace(
            version=current.version + 1,
            trial_at_ms=now_ms + _TRIAL_TIMEOUT_MS,
            trial_by=instance,
        )
        self._store(claimed)
        return claimed

    def end_trial(
        self, claimed: QuarantineEntry, now_ms: float
    ) -> QuarantineEntry | None:
        """Ends a trial; without an outcome the next one follows soon.

        Returns:
            The entry that changed; None if the trial had an outcome.
        """
        if not self.is_in_force(claimed):
            return None
        ended = claimed._replace(
            version=claimed.version + 1,
            trial_at_ms=now_ms + _RETRIAL_MS,
            trial_by="",
        )
        self._store(ended)
        return ended

    def is_in_force(self, entry: QuarantineEntry) -> bool:
        """Returns whether an entry, with its claim, is the one in force."""
        current = self._entries.get((entry.service, entry.trait))
        return (
            current is not None
            and current.version == entry.version
            and current.trial_by == entry.trial_by
        )

    def merge(
        self, entry: QuarantineEntry, now_ms: float
    ) -> QuarantineEntry | None:
        """Merges an entry of another instance.

        Returns:
            The entry in force, if it changed apart from its times.
        """
        known = self._entries.get((entry.service, entry.trait))
        merged = entry if known is None else _merge(known, entry)
        if merged.released:
            # What a trial has shown holds against the crashes before it.
            self.history.record_success(
                entry.service, entry.trait, entry.last_crash_ms, 0
            )
        success_ms = self.history.last_success_ms(entry.service, entry.trait)
        if (
            not merged.released
            and success_ms is not None
            and success_ms > merged.last_crash_ms
        ):
            merged = merged._replace(
                version=merged.version + 1, released=True, trial_by=""
            )
        self._store(merged)
        self._remove_old(now_ms)
        if known is not None and _without_times(merged) == _without_times(
            known
        ):
            return None
        return merged

    def _add_culprits(
        self, service: str, now_ms: float
    ) -> list[QuarantineEntry]:
        added = []
        quarantined = self._quarantined(service)
        for culprit in self.history.find_culprits(service, quarantined, now_ms):
            known = self._entries.get((service, culprit.trait))
            delay_ms = (
                _FIRST_TRIAL_MS if culprit.is_clear else _FIRST_TRIAL_UNCLEAR_MS
            )
            if known is not None:
                delay_ms = max(delay_ms, known.trial_delay_ms)
            # Of several requests that crashed together, the sound ones are
            # released by trials of their own.
            is_tried_now = (
                delay_ms < _FIRST_TRIAL_MS
                and _types.is_request_trait(culprit.trait)
            )
            entry = QuarantineEntry(
                service,
                culprit.trait,
                culprit.traits,
                known.version + 1 if known else 1,
                False,
                now_ms if is_tried_now else now_ms + delay_ms,
                known.failed_trials if known else 0,
                delay_ms,
                culprit.last_crash_ms,
                was_answered=culprit.was_answered,
            )
            self._store(entry)
            added.append(entry)
        return added

    def _quarantined(self, service: str) -> set[str]:
        return {
            e.trait
            for e in self._entries.values()
            if e.service == service and not e.released
        }

    def _store(self, entry: QuarantineEntry) -> None:
        self._entries[entry.service, entry.trait] = entry
        if len(self._entries) > _MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]

    def _remove_old(self, now_ms: float) -> None:
        self.history.remove_old(now_ms)
        for key, entry in list(self._entries.items()):
            idle_ms = now_ms - max(entry.trial_at_ms, entry.last_crash_ms)
            if idle_ms > _RETENTION_MS:
                del self._entries[key]


def _after_crash(
    entry: QuarantineEntry, crash: _types.EngineCrash
) -> QuarantineEntry:
    """Returns an entry after a crash that its trait explains."""
    suspects = [s for s in crash.suspects if entry.trait in s.traits]
    is_new = crash.at_ms > entry.last_crash_ms
    if entry.released or crash.service != entry.service or not suspects:
        return entry
    traits = entry.traits.intersection(*(s.traits for s in suspects))
    failed_trials, delay_ms = entry.failed_trials, entry.trial_delay_ms
    if is_new and entry.trial_by:
        failed_trials += 1
        delay_ms = min(_MAX_TRIAL_MS, _TRIAL_FACTOR * delay_ms)
        if not entry.was_answered:
            delay_ms = max(_FIRST_TRIAL_MS, delay_ms)
    updated = entry._replace(
        traits=traits,
        failed_trials=failed_trials,
        trial_delay_ms=delay_ms,
        last_crash_ms=max(entry.last_crash_ms, crash.at_ms),
        trial_at_ms=max(entry.trial_at_ms, crash.at_ms + delay_ms),
        trial_by="" if is_new else entry.trial_by,
    )
    if updated == entry:
        return entry
    return updated._replace(version=entry.version + 1)


def _after_success(
    entry: QuarantineEntry, traits: Collection[str], began_ms: float
) -> QuarantineEntry:
    """Returns an entry after a sound answer."""
    if began_ms <= entry.last_crash_ms:
        return entry
    if entry.trait in traits:
        return entry._replace(
            version=entry.version + 1, released=True, trial_by=""
        )
    left = entry.traits.difference(traits)
    if left == entry.traits:
        return entry
    return entry._replace(version=entry.version + 1, traits=left)


def _without_times(entry: QuarantineEntry) -> QuarantineEntry:
    return entry._replace(trial_at_ms=0.0, last_crash_ms=0.0)


def _merge(known: QuarantineEntry, other: QuarantineEntry) -> QuarantineEntry:
    """Returns the entry that both instances hold after an exchange.

    Of two times the earlier one is kept: what was received is later than it
    was sent, and would grow with each exchange.
    """
    if known.version != other.version:
        return max(known, other, key=lambda e: e.version)
    if known.released != other.released:
        return known if known.released else other
    return known._replace(
        traits=known.traits & other.traits or known.traits,
        trial_at_ms=min(known.trial_at_ms, other.trial_at_ms),
        failed_trials=max(known.failed_trials, other.failed_trials),
        trial_delay_ms=max(known.trial_delay_ms, other.trial_delay_ms),
        last_crash_ms=min(known.last_crash_ms, other.last_crash_ms),
        trial_by=min(
            (known.trial_by, other.trial_by),
            key=lambda name: (not name, name),
        ),
        was_answered=known.was_answered or other.was_answered,
    )
