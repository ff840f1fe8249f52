"""Attempts at the engines, to find those that may have crashed one."""

from collections.abc import Collection
from typing import NamedTuple

from hollycart_core.crashes import _types

# Time after the first event, in ms, after which an attempt did not crash its
# engine by the start of its decode. It is long beside a batch step.
ONSET_MS = 500.0
# Share of the predicted time to the first event before which an attempt has
# not begun to decode. Predictions of a loaded engine may be much too long.
_MIN_PREFILL_SHARE = 0.25
# Reports of a crash of one engine that are no further apart are one crash, in
# ms. An endpoint may accept connections again under the same id.
SAME_CRASH_MS = 1000.0
# Time for which an attempt that was cut off is kept, in ms: probes that find
# out whether its engine crashed take less.
_CUT_RETENTION_MS = 2000.0
# Incarnations whose crash is remembered: attempts that are sent there later,
# since a proxy still accepts connections, did not cause it.
_MAX_CRASHED = 256


class TrackedAttempt(NamedTuple):
    """An attempt at a request.

    Attributes:
        endpoint: Id of the engine that decodes the answer.
        born_ms: Start of the engine's incarnation; 0 if unknown.
        service: Service of the engine.
        traits: Traits of the request.
        sent_ms: Instant at which the attempt was sent.
        prefill_ms: Predicted time to the first event, in ms; 0 without a
            prompt.
        first_event_ms: Instant of the first event; None before it.
        cut_ms: Instant at which the engine broke off; None before it.
        is_sound: Whether it has been in decode for so long that it does not
            crash its engine.
    """

    endpoint: str
    born_ms: int
    service: str
    traits: tuple[str, ...]
    sent_ms: float
    prefill_ms: float
    first_event_ms: float | None = None
    cut_ms: float | None = None
    is_sound: bool = False

    def may_have_crashed(self, at_ms: float) -> bool:
        """Returns whether the attempt may have crashed its engine.

        Of a prompt only the start of the decode can: it has been prefilled,
        and has not been in decode for long. Other requests may at any time
        before their answer.

        Args:
            at_ms: Instant of the crash.
        """
        if self.first_event_ms is not None:
            return at_ms - self.first_event_ms < ONSET_MS
        return at_ms - self.sent_ms >= _MIN_PREFILL_SHARE * self.prefill_ms


class AttemptLog:
    """Holds the attempts of one instance that run or were just cut off.

    Example:
        >>> log = AttemptLog()
        >>> log.start("a", TrackedAttempt("e", 0, "s", ("f", "p"), 10.0, 40.0))
        >>> log.cut("a", 100.0)
        >>> log.collect("e", 105.0).suspects
        (SuspectAttempt(attempt_id='a', traits=('f', 'p'), sent_ms=10.0),)
    """

    def __init__(self) -> None:
        self._attempts: dict[str, TrackedAttempt] = {}
        self._crashed_ms: dict[str, float] = {}
        self._first_crash_ms: dict[tuple[str, int], float] = {}

    def start(self, attempt_id: str, attempt: TrackedAttempt) -> None:
        """Adds an attempt that is sent now."""
        self._attempts[attempt_id] = attempt

    def find(self, attempt_id: str) -> TrackedAttempt | None:
        """Returns an attempt, if it is known."""
        return self._attempts.get(attempt_id)

    def record_first_event(self, attempt_id: str, now_ms: float) -> None:
        """Records the first event of an attempt."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self._attempts[attempt_id] = attempt._replace(first_event_ms=now_ms)

    def prove_sound(
        self, attempt_id: str, now_ms: float
    ) -> TrackedAttempt | None:
        """Returns an attempt the first time that it has proved to be sound.

        Args:
            attempt_id: Id of the attempt.
            now_ms: Instant at which it is in decode; infinite if it was
                answered.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.is_sound:
            return None
        began_ms = attempt.first_event_ms
        if began_ms is None and now_ms != float("inf"):
            return None
        if began_ms is not None and now_ms - began_ms < ONSET_MS:
            return None
        self._attempts[attempt_id] = attempt._replace(is_sound=True)
        self._first_crash_ms.pop((attempt.endpoint, attempt.born_ms), None)
        return attempt

    def waiting(
        self, service: str, traits: Collection[str]
    ) -> list[tuple[str, TrackedAttempt]]:
        """Returns the attempts without an event that have all traits."""
        return [
            (attempt_id, a)
            for attempt_id, a in self._attempts.items()
            if a.service == service
            and a.first_event_ms is None
            and a.cut_ms is None
            and set(traits).issubset(a.traits)
        ]

    def has_crashed(self, endpoint: str, now_ms: float) -> bool:
        """Returns whether an engine just crashed, with attempts there."""
        crashed_ms = self._crashed_ms.get(endpoint, float("-inf"))
        return now_ms - crashed_ms <= SAME_CRASH_MS

    def is_suspect(self, attempt_id: str) -> bool:
        """Returns whether an attempt that was cut may have caused the crash."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.cut_ms is None:
            return False
        incarnation = (attempt.endpoint, attempt.born_ms)
        first_ms = self._first_crash_ms.get(incarnation, float("inf"))
        return attempt.sent_ms <= first_ms and attempt.may_have_crashed(
            attempt.cut_ms
        )

    def cut(self, attempt_id: str, now_ms: float) -> None:
        """Records that the engine broke off an attempt."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self._attempts[attempt_id] = attempt._replace(cut_ms=now_ms)

    def remove(self, attempt_id: str) -> None:
        """Removes an attempt that ended without a crash."""
        self._attempts.pop(attempt_id, None)

    def on_endpoint(self, endpoint: str) -> dict[str, TrackedAttempt]:
        """Returns the attempts at an engine by id."""
        return {
            i: a for i, a in self._attempts.items() if a.endpoint == endpoint
        }

    def collect(
        self, endpoint: str, now_ms: float
    ) -> _types.EngineCrash | None:
        """Returns the crash of an engine with the attempts that are suspects.

        Args:
            endpoint: Id of the engine.
            now_ms: Instant at which the crash was noticed.

        Returns:
            The crash; None if this instance had no attempt there.
        """
        self._remove_old(now_ms)
        found = self.on_endpoint(endpoint)
        if not found:
            return None
        attempts = list(found.values())
        self._crashed_ms[endpoint] = now_ms
        at_ms = min((a.cut_ms for a in attempts if a.cut_ms), default=now_ms)
        incarnation = (endpoint, attempts[0].born_ms)
        first_ms = self._first_crash_ms.setdefault(incarnation, at_ms)
        if len(self._first_crash_ms) > _MAX_CRASHED:
            del self._first_crash_ms[next(iter(self._first_crash_ms))]
        if all(a.sent_ms > first_ms for a in attempts):
            return None
        return _types.EngineCrash(
            endpoint,
            attempts[0].born_ms,
            attempts[0].service,
            at_ms,
            tuple(
                _types.SuspectAttempt(attempt_id, a.traits, a.sent_ms)
                for attempt_id, a in found.items()
                if a.traits
                and a.sent_ms <= first_ms
                and a.may_have_crashed(a.cut_ms or at_ms)
            ),
        )

    def _remove_old(self, now_ms: float) -> None:
        for attempt_id, attempt in list(self._attempts.items()):
            cut_ms = attempt.cut_ms
            if cut_ms is not None and now_ms - cut_ms > _CUT_RETENTION_MS:
                del self._attempts[attempt_id]
        for endpoint, crashed_ms in list(self._crashed_ms.items()):
            if now_ms - crashed_ms > SAME_CRASH_MS:
                del self._crashed_ms[endpoint]
