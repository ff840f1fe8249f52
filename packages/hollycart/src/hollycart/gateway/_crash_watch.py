"""Tracks the attempts at engines and notices the crashes of engines."""

from collections.abc import Callable
from collections.abc import Collection
import enum
from typing import Any

import eventlet
from eventlet import greenthread

from hollycart import observe
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart_core import base
from hollycart_core import crashes
from hollycart_core import placement


class CutCause(enum.Enum):
    """Why an attempt failed, as far as crashes are concerned."""

    CRASH_OF_SUSPECT = "crash_of_suspect"  # it may have crashed its engine
    CRASH = "crash"  # its engine crashed for another reason
    OTHER = "other"


class CrashWatch:
    """Notes which attempts run at an engine that crashes.

    Args:
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
        find_out: Finds out whether an engine has crashed; calls
            `handle_refused` if so.

    Attributes:
        on_crash: Called with the crash of an engine at which attempts of this
            instance ran.
        on_success: Called with the service, the traits and the instant of the
            first event of an attempt that did not crash its engine.
    """

    def __init__(
        self,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
        find_out: Callable[[str], None],
    ) -> None:
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.find_out = find_out
        self.on_crash: Callable[[crashes.EngineCrash], None] = lambda crash: (
            None
        )
        self.on_success: Callable[[str, tuple[str, ...], float], None] = (
            lambda service, traits, began_ms: None
        )
        self._attempts = crashes.AttemptLog()
        self._threads: dict[str, Any] = {}

    def start(
        self,
        attempt_id: str,
        request: _job.AdmittedRequest,
        chosen: placement.Placement,
    ) -> None:
        """Records that the calling green thread sends an attempt now."""
        self._attempts.start(
            attempt_id,
            crashes.TrackedAttempt(
                chosen.endpoint.id,
                chosen.endpoint.born_ms,
                request.service.name,
                request.traits,
                self.clock.now_ms(),
                chosen.first_event_ms - chosen.send_delay_ms,
            ),
        )
        self._threads[attempt_id] = eventlet.getcurrent()

    def record_first_event(self, attempt_id: str, now_ms: float) -> None:
        """Records the first event of an attempt."""
        self._attempts.record_first_event(attempt_id, now_ms)

    def record_event(self, attempt_id: str, now_ms: float) -> None:
        """Records a later event of an attempt."""
        attempt = self._attempts.prove_sound(attempt_id, now_ms)
        if attempt is not None:
            self._report_success(attempt)

    def complete(self, attempt_id: str) -> None:
        """Records that an attempt was answered."""
        attempt = self._attempts.prove_sound(attempt_id, float("inf"))
        if attempt is not None:
            self._report_success(attempt)

    def end(self, attempt_id: str, exc: base.HollycartError | None) -> None:
        """Records the end of an attempt.

        Args:
            attempt_id: Id of the attempt.
            exc: Its failure, if it failed.
        """
        self._threads.pop(attempt_id, None)
        if _is_cut(exc):
            self._attempts.cut(attempt_id, self.clock.now_ms())
        else:
            self._attempts.remove(attempt_id)

    def handle_refused(self, endpoint_id: str) -> None:
        """Records that an engine refused a connection: it has crashed."""
        if self.has_crashed(endpoint_id):
            return
        now_ms = self.clock.now_ms()
        attempts = self._attempts.on_endpoint(endpoint_id)
        crash = self._attempts.collect(endpoint_id, now_ms)
        if crash is None:
            return
        self.metrics.count("engine_crashed")
        self.log.write(
            observe.decisions.EngineCrashed(
                endpoint_id,
                tuple(attempts),
                tuple(s.traits for s in crash.suspects),
            )
        )
        self.on_crash(crash)

    def has_crashed(self, endpoint_id: str) -> bool:
        """Returns whether an engine with attempts here crashed lately."""
        return self._attempts.has_crashed(endpoint_id, self.clock.now_ms())

    def find_cause(self, attempt_id: str) -> CutCause:
        """Returns why an attempt failed; waits for an answer of its engine."""
        attempt = self._attempts.find(attempt_id)
        if attempt is None or attempt.cut_ms is None or not attempt.traits:
            return CutCause.OTHER
        if not self.has_crashed(attempt.endpoint):
            self.find_out(attempt.endpoint)
        if not self.has_crashed(attempt.endpoint):
            return CutCause.OTHER
        if self._attempts.is_suspect(attempt_id):
            return CutCause.CRASH_OF_SUSPECT
        return CutCause.CRASH

    def abort_waiting(
        self, service: str, traits: Collection[str], trial_by: str
    ) -> None:
        """Aborts the attempts that have no event yet and have all traits.

        Args:
            service: Service of the engines.
            traits: The traits.
            trial_by: Instance whose attempt goes on, as a trial; empty for
                none.
        """
        if trial_by:
            return
        for attempt_id, attempt in self._attempts.waiting(service, traits):
            exc = _failures.AttemptAbortedError(
                f"traits in quarantine, at {attempt.endpoint}"
            )
            eventlet.spawn_n(self._abort, attempt_id, exc)

    def _abort(self, attempt_id: str, exc: base.HollycartError) -> None:
        thread = self._threads.pop(attempt_id, None)
        if thread is not None:
            greenthread.kill(thread, exc)

    def _report_success(self, attempt: crashes.TrackedAttempt) -> None:
        began_ms = attempt.first_event_ms or attempt.sent_ms
        self.on_success(attempt.service, attempt.traits, began_ms)


def _is_cut(exc: base.HollycartError | None) -> bool:
    """Returns whether an endpoint broke off an attempt after it was sent."""
    return isinstance(exc, base.EndpointFailedError) and not isinstance(
        exc, base.SilentEndpointError | base.EndpointUnreachableError
    )
