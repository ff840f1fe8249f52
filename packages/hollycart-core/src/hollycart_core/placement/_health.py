"""Which endpoints fail, judged by the outcomes of requests."""

from typing import NamedTuple

_FIRST_PAUSE_MS = 400.0  # above the time of a lost packet's repetition
_MAX_PAUSE_MS = 4000.0  # the longest wait for an endpoint that is back
_FAILURE_GAIN = 0.25  # share of the newest outcome in the failure rate
_SUSPECT_RATE = 0.55  # three failures in a row after a good record
_SLOW_GAIN = 0.2  # share of the newest observation in the slowness
_MAX_SLOWNESS = 20.0
# Excess slowness halves in this time without observations, so that an endpoint
# that nobody uses is tried again.
_SLOWNESS_HALF_LIFE_MS = 3000.0


class _State(NamedTuple):
    unreachable: bool = False
    pauses: int = 0
    paused_until_ms: float = 0.0
    failure_rate: float = 0.0
    slowness: float = 1.0
    slowness_ms: float = 0.0


class EndpointHealth:
    """Takes endpoints out of use and back.

    An unreachable endpoint is back when a connection succeeds; one that fails
    requests is back after a pause that grows.

    Example:
        >>> health = EndpointHealth()
        >>> health.record_timeout("e", 0.0)
        >>> health.usable("e", 100.0), health.usable("e", 500.0)
        (False, True)
    """

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}

    def record_success(self, endpoint: str) -> None:
        """Notes a complete answer."""
        state = self._states.get(endpoint)
        if state is None:
            return
        rate = state.failure_rate * (1.0 - _FAILURE_GAIN)
        self._states[endpoint] = state._replace(
            unreachable=False, pauses=0, paused_until_ms=0.0, failure_rate=rate
        )

    def record_failure(self, endpoint: str, now_ms: float) -> None:
        """Notes a broken or failed answer; repeated ones pause it."""
        state = self._states.get(endpoint, _State())
        rate = state.failure_rate + _FAILURE_GAIN * (1.0 - state.failure_rate)
        state = state._replace(failure_rate=rate)
        if rate >= _SUSPECT_RATE or state.pauses:
            state = self._pause(state, now_ms)
        self._states[endpoint] = state

    def record_timeout(self, endpoint: str, now_ms: float) -> None:
        """Notes that an endpoint did not answer in time."""
        state = self._states.get(endpoint, _State())
        self._states[endpoint] = self._pause(state, now_ms)

    def mark_unreachable(self, endpoint: str) -> None:
        """Notes that no connection could be made."""
        state = self._states.get(endpoint, _State())
        self._states[endpoint] = state._replace(unreachable=True)

    def mark_reachable(self, endpoint: str) -> None:
        """Notes that a connection could be made."""
        state = self._states.get(endpoint)
        if state is not None:
            self._states[endpoint] = state._replace(unreachable=False)

    def record_slowness(
        self, endpoint: str, ratio: float, now_ms: float
    ) -> None:
        """Notes how much longer a pass took than predicted.

        Args:
            endpoint: Id of the endpoint.
            ratio: Observed over predicted time.
            now_ms: Instant of the observation.
        """
        before = self.slowness(endpoint, now_ms)
        if before == 1.0 and ratio <= 1.0:
            return
        ratio = min(_MAX_SLOWNESS, max(1.0, ratio))
        after = before + _SLOW_GAIN * (ratio - before)
        state = self._states.get(endpoint, _State())
        self._states[endpoint] = state._replace(
            slowness=after, slowness_ms=now_ms
        )

    def slowness(self, endpoint: str, now_ms: float) -> float:
        """Returns the factor by which an endpoint is slower than published."""
        state = self._states.get(endpoint)
        if state is None or state.slowness == 1.0:
            return 1.0
        age = (now_ms - state.slowness_ms) / _SLOWNESS_HALF_LIFE_MS
        return 1.0 + (state.slowness - 1.0) * 0.5**age

    def slow_endpoints(self, now_ms: float, least: float) -> dict[str, float]:
        """Returns the endpoints that are slower by a factor of `least`."""
        found = {e: self.slowness(e, now_ms) for e in self._states}
        return {e: round(f, 2) for e, f in found.items() if f >= least}

    def usable(self, endpoint: str, now_ms: float) -> bool:
        """Returns whether requests may be sent to an endpoint."""
        state = self._states.get(endpoint)
        if state is None:
            return True
        return not state.unreachable and now_ms >= state.paused_until_ms

    def unreachable(self) -> list[str]:
        """Returns the endpoints that could not be connected to."""
        return [e for e, s in self._states.items() if s.unreachable]

    def remove(self, endpoint: str) -> None:
        """Drops what is known of an endpoint that is gone."""
        self._states.pop(endpoint, None)

    def _pause(self, state: _State, now_ms: float) -> _State:
        pause_ms = min(_MAX_PAUSE_MS, _FIRST_PAUSE_MS * 2.0**state.pauses)
        return state._replace(
            pauses=min(state.pauses + 1, 10),
            paused_until_ms=now_ms + pause_ms,
        )
