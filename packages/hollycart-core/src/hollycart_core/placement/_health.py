"""Health of endpoints, from the outcomes of requests."""

from collections.abc import Iterable
from typing import NamedTuple

from hollycart_core.placement import _types

_BASE_EJECTION_MS = 400.0  # longer than the retransmission of a lost packet
_MAX_EJECTION_MS = 4000.0  # bounds how long a recovered endpoint is unused
_FAILURE_EWMA_WEIGHT = 0.25  # of the newest outcome
_EJECTION_FAILURE_RATE = 0.55  # three failures in a row, from a rate of 0
_SLOWNESS_EWMA_WEIGHT = 0.2  # of the newest observation
_MAX_SLOWNESS = 20.0
# Without observations, the slowness in excess of 1 halves in this time, so that
# an endpoint that receives no requests is tried again.
_SLOWNESS_HALF_LIFE_MS = 3000.0


class _State(NamedTuple):
    unreachable: bool = False
    ejections: int = 0
    ejected_until_ms: float = 0.0
    failure_rate: float = 0.0
    slowness: float = 1.0
    slowness_updated_ms: float = 0.0


class EndpointHealth:
    """Decides which endpoints may receive requests.

    An unreachable endpoint is usable again once a connection succeeds. An
    endpoint that fails requests is ejected. Each ejection lasts twice as long
    as the one before, up to a maximum, until a request succeeds.

    Example:
        >>> health = EndpointHealth()
        >>> health.record_timeout("e", 0.0)
        >>> health.usable("e", 100.0), health.usable("e", 500.0)
        (False, True)
    """

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}
        self._born_ms: dict[str, int] = {}

    def record_success(self, endpoint: str) -> None:
        """Records a complete response, which ends an ejection."""
        state = self._states.get(endpoint)
        if state is None:
            return
        rate = state.failure_rate * (1.0 - _FAILURE_EWMA_WEIGHT)
        self._states[endpoint] = state._replace(
            unreachable=False,
            ejections=0,
            ejected_until_ms=0.0,
            failure_rate=rate,
        )

    def record_failure(self, endpoint: str, now_ms: float) -> None:
        """Records a failed or truncated response.

        The endpoint is ejected if its failure rate is too high or if no request
        has succeeded since its last ejection.
        """
        state = self._states.get(endpoint, _State())
        rate = state.failure_rate + _FAILURE_EWMA_WEIGHT * (
            1.0 - state.failure_rate
        )
        state = state._replace(failure_rate=rate)
        if rate >= _EJECTION_FAILURE_RATE or state.ejections:
            state = self._eject(state, now_ms)
        self._states[endpoint] = state

    def record_timeout(self, endpoint: str, now_ms: float) -> None:
        """Ejects an endpoint that did not respond in time."""
        state = self._states.get(endpoint, _State())
        self._states[endpoint] = self._eject(state, now_ms)

    def mark_unreachable(self, endpoint: str) -> None:
        """Records that no connection could be made."""
        state = self._states.get(endpoint, _State())
        self._states[endpoint] = state._replace(unreachable=True)

    def mark_reachable(self, endpoint: str) -> None:
        """Records that a connection could be made."""
        state = self._states.get(endpoint)
        if state is not None:
            self._states[endpoint] = state._replace(unreachable=False)

    def record_slowness(
        self, endpoint: str, ratio: float, now_ms: float
    ) -> None:
        """Records how much longer a batch step took than predicted.

        Args:
            endpoint: Id of the endpoint.
            ratio: Observed time divided by predicted time.
            now_ms: Instant of the observation.
        """
        before = self.slowness(endpoint, now_ms)
        if before == 1.0 and ratio <= 1.0:
            return
        ratio = min(_MAX_SLOWNESS, max(1.0, ratio))
        after = before + _SLOWNESS_EWMA_WEIGHT * (ratio - before)
        state = self._states.get(endpoint, _State())
        self._states[endpoint] = state._replace(
            slowness=after, slowness_updated_ms=now_ms
        )

    def slowness(self, endpoint: str, now_ms: float) -> float:
        """Returns the factor by which an endpoint is slower than published.

        It is an EWMA of the recorded ratios, at least 1, and decays to 1.
        """
        state = self._states.get(endpoint)
        if state is None or state.slowness == 1.0:
            return 1.0
        half_lives = (
            now_ms - state.slowness_updated_ms
        ) / _SLOWNESS_HALF_LIFE_MS
        return 1.0 + (state.slowness - 1.0) * 0.5**half_lives

    def slow_endpoints(
        self, now_ms: float, min_slowness: float
    ) -> dict[str, float]:
        """Returns the slowness by endpoint id, from `min_slowness` upwards."""
        factors = {e: self.slowness(e, now_ms) for e in self._states}
        return {e: round(f, 2) for e, f in factors.items() if f >= min_slowness}

    def usable(self, endpoint: str, now_ms: float) -> bool:
        """Returns whether requests may be sent to an endpoint."""
        state = self._states.get(endpoint)
        if state is None:
            return True
        return not state.unreachable and now_ms >= state.ejected_until_ms

    def is_unreachable(self, endpoint: str) -> bool:
        """Returns whether no connection to an endpoint could be made."""
        state = self._states.get(endpoint)
        return state is not None and state.unreachable

    def unreachable(self) -> list[str]:
        """Returns the endpoints to which no connection could be made."""
        return [e for e, s in self._states.items() if s.unreachable]

    def remove(self, endpoint: str) -> None:
        """Removes the record of an endpoint."""
        self._states.pop(endpoint, None)

    def follow_incarnations(self, endpoints: Iterable[_types.Endpoint]) -> None:
        """Removes the records of endpoints that started again.

        Args:
            endpoints: All listed endpoints.
        """
        born_ms = {e.id: e.born_ms for e in endpoints}
        for endpoint_id, started_ms in born_ms.items():
            if self._born_ms.get(endpoint_id, started_ms) < started_ms:
                self.remove(endpoint_id)
        self._born_ms = born_ms

    def _eject(self, state: _State, now_ms: float) -> _State:
        ejection_ms = min(
            _MAX_EJECTION_MS, _BASE_EJECTION_MS * 2.0**state.ejections
        )
        return state._replace(
            ejections=min(state.ejections + 1, 10),
            ejected_until_ms=now_ms + ejection_ms,
        )
