"""Keeps requests with traits that crash engines away from the engines."""

from collections.abc import Callable
from collections.abc import Sequence
import random

import eventlet

from hollycart import observe
from hollycart.gateway import _crash_exchange
from hollycart.gateway import _crash_watch
from hollycart.gateway import _job
from hollycart.gateway import _peers
from hollycart_core import base
from hollycart_core import crashes
from hollycart_core import placement

# Time for which the claim of a trial waits for other claims, in ms: two round
# trips between zones.
_CLAIM_WAIT_MS = 25.0
# Time after a trial is due at which refused callers are told to return, so that
# they come after its outcome, in ms; less if trials follow each other sooner.
_TRIAL_OUTCOME_MS = 3000.0
# Time after a crash counts at which it is looked at, in ms.
_REVIEW_MARGIN_MS = 5.0
# Callers return spread over this share of the time for which they were refused.
_RETURN_SPREAD = 0.25
# A request that two engines may have crashed on is not tried again.
_MAX_SUSPECTED_CRASHES = 2
# Attempts that engines cut off by crashing on another request, and that do not
# count towards the attempts that the route allows.
_MAX_UNCOUNTED_ATTEMPTS = 2


class CrashGuard:
    """Refuses requests that crash engines, and decides on their retries.

    Args:
        peers: Exchange of datagrams with the other instances.
        watch: Attempts of this instance at the engines.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
        rng: Source of randomness.

    Attributes:
        on_change: Called with entries of the quarantine that have changed.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        watch: _crash_watch.CrashWatch,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.watch = watch
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.quarantine = crashes.Quarantine()
        self.exchange = _crash_exchange.CrashExchange(
            peers,
            self.quarantine,
            clock,
            rng,
            self._handle_change,
            self._schedule_review,
        )
        self.on_change: Callable[[Sequence[crashes.QuarantineEntry]], None] = (
            lambda changed: None
        )
        self._reviews = False
        self._review_needed = False
        watch.on_crash = self.record_crash
        watch.on_success = self.record_success

    def subscribe(self) -> None:
        """Starts to exchange crashes with the other instances."""
        self.exchange.subscribe()

    def admit(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> None:
        """Admits a request, as a trial if it is time for one.

        Raises:
            QuarantinedError: If a trait of the request is in quarantine.
        """
        entry = self._find(request)
        if entry is None:
            return
        now_ms = self.clock.now_ms()
        claimed = self.quarantine.claim_trial(entry, self.peers.name, now_ms)
        if claimed is not None:
            self.exchange.announce_entries([claimed])
            self.clock.sleep_ms(_CLAIM_WAIT_MS)
            if self.quarantine.is_in_force(claimed):
                progress.trial = claimed
                self.metrics.count("quarantine_trial")
                self.log.write(
                    observe.decisions.QuarantineTrial(
                        request.meta.request_id,
                        claimed.trait,
                        claimed.failed_trials,
                        round(now_ms - claimed.last_crash_ms, 1),
                    )
                )
                return
        self._refuse(entry, now_ms)

    def preview_trial(
        self, request: _job.AdmittedRequest
    ) -> crashes.QuarantineEntry | None:
        """Returns the trial that a request would be admitted as, if any.

        Nothing is claimed.

        Raises:
            QuarantinedError: If a trait of the request is in quarantine. The
                caller may be told to return later than this error says.
        """
        entry = self._find(request)
        if entry is None:
            return None
        now_ms = self.clock.now_ms()
        unshared = crashes.Quarantine()
        unshared.merge(entry, now_ms)
        claimed = unshared.claim_trial(entry, self.peers.name, now_ms)
        if claimed is None:
            raise _refusal(entry, now_ms, 0.0)
        return claimed

    def check(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> None:
        """Checks a request again before it is placed and before it is sent.

        Raises:
            QuarantinedError: If a trait of the request is in quarantine, and
                the request is not its trial.
        """
        trial = progress.trial
        if trial is not None:
            if progress.attempts_sent or not self.quarantine.is_in_force(trial):
                self._refuse(trial, self.clock.now_ms())
            return
        entry = self._find(request)
        if entry is not None:
            self._refuse(entry, self.clock.now_ms())

    def end_trial(self, progress: _job.Progress) -> None:
        """Ends the trial of a request, if it was one."""
        if progress.trial is None:
            return
        ended = self.quarantine.end_trial(progress.trial, self.clock.now_ms())
        if ended is not None:
            self._handle_own_change([ended])

    def should_isolate(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> bool:
        """Returns whether a request should not run beside others.

        The load it answers: a request that may crash its engine would take
        sound ones with it, and they would be suspected with it.
        """
        return progress.trial is not None or self._suspicion(request) > 0

    def may_retry(
        self, request: _job.AdmittedRequest, progress: _job.Progress
    ) -> bool:
        """Returns whether a request may be retried after a failed attempt.

        Records in `progress` whether the attempt counts.
        """
        cause = self.watch.find_cause(progress.attempt_id)
        if progress.trial is not None:
            return False
        if cause is _crash_watch.CutCause.OTHER:
            return True
        if self._find(request) is not None:
            return False
        suspicion = self._suspicion(request)
        if cause is _crash_watch.CutCause.CRASH_OF_SUSPECT and suspicion > 0:
            progress.suspected_crashes += 1
            return (
                max(suspicion, progress.suspected_crashes)
                < _MAX_SUSPECTED_CRASHES
            )
        if progress.uncounted_attempts < _MAX_UNCOUNTED_ATTEMPTS:
            progress.uncounted_attempts += 1
        return True

    def record_crash(self, crash: crashes.EngineCrash) -> None:
        """Records and announces the crash of an engine."""
        changed = self.quarantine.record_crash(crash, self.clock.now_ms())
        self.exchange.announce_crash(crash)
        self._handle_own_change(changed)
        self._schedule_review()

    def record_success(
        self, service: str, traits: tuple[str, ...], began_ms: float
    ) -> None:
        """Records a sound answer; announces it if it counts.

        It does if a crash had made a trait of the request suspicious.
        """
        history = self.quarantine.history
        suspected = [s for s in traits if history.implicates(service, s)]
        changed = self.quarantine.record_success(service, traits, began_ms)
        cleared = [s for s in suspected if not history.implicates(service, s)]
        if cleared:
            self.exchange.announce_success(service, cleared, began_ms)
        self._handle_own_change(changed)

    def count_quarantined(self) -> int:
        """Returns the number of traits in quarantine."""
        return sum(not e.released for e in self.quarantine.entries)

    def _schedule_review(self) -> None:
        """Reviews the crashes once the other instances have reported them."""
        self._review_needed = True
        if not self._reviews:
            self._reviews = True
            eventlet.spawn(self._review)

    def _review(self) -> None:
        try:
            # A crash during the wait needs another review.
            while self._review_needed:
                self._review_needed = False
                self.clock.sleep_ms(crashes.SETTLE_MS + _REVIEW_MARGIN_MS)
                now_ms = self.clock.now_ms()
                self._handle_own_change(self.quarantine.review(now_ms))
        finally:
            self._reviews = False

    def _find(
        self, request: _job.AdmittedRequest
    ) -> crashes.QuarantineEntry | None:
        return self.quarantine.find(request.service.name, request.traits)

    def _suspicion(self, request: _job.AdmittedRequest) -> int:
        return self.quarantine.suspicion(request.service.name, request.traits)

    def _refuse(self, entry: crashes.QuarantineEntry, now_ms: float) -> None:
        raise _refusal(entry, now_ms, self.rng.random())

    def _handle_own_change(
        self, changed: Sequence[crashes.QuarantineEntry]
    ) -> None:
        if changed:
            self.exchange.announce_entries(changed)
            self._handle_change(changed, self.peers.name)

    def handle_stored(self, entries: Sequence[crashes.QuarantineEntry]) -> None:
        """Handles entries that were read from the store."""
        self._handle_change(entries, "store")

    def _handle_change(
        self, changed: Sequence[crashes.QuarantineEntry], source: str
    ) -> None:
        now_ms = self.clock.now_ms()
        self.on_change(changed)
        for entry in changed:
            self.metrics.count(
                "quarantine_released" if entry.released else "quarantined"
            )
            self.log.write(
                observe.decisions.Quarantined(
                    entry.service,
                    entry.trait,
                    tuple(sorted(entry.traits)),
                    entry.released,
                    entry.failed_trials,
                    round(entry.trial_at_ms - now_ms, 1),
                    round(now_ms - entry.last_crash_ms, 1),
                    entry.trial_by,
                    source,
                )
            )
            # What waits may be sound while a trial is due at once.
            if not entry.released and entry.trial_at_ms > now_ms:
                self.watch.abort_waiting(
                    entry.service, entry.traits, entry.trial_by
                )


def _refusal(
    entry: crashes.QuarantineEntry, now_ms: float, spread: float
) -> base.QuarantinedError:
    """Returns the refusal of a request with a trait in quarantine.

    Args:
        entry: The entry of the trait.
        now_ms: Current instant.
        spread: Share of the longest spread by which the caller returns later.
    """
    wait_ms = max(0.0, entry.trial_at_ms - now_ms)
    outcome_ms = min(_TRIAL_OUTCOME_MS, entry.trial_delay_ms)
    spread_ms = _RETURN_SPREAD * wait_ms * spread
    return base.QuarantinedError(
        f"trait {entry.trait} has crashed engines of service "
        f"{entry.service}, the last one "
        f"{now_ms - entry.last_crash_ms:.0f} ms ago",
        max(
            placement.MIN_RETRY_AFTER_MS,
            wait_ms + outcome_ms + spread_ms,
        ),
    )
