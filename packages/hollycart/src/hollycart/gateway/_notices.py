"""What endpoints ask for in the heads of their responses."""

from collections.abc import Callable

from hollycart import observe
from hollycart.gateway import _codec
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

_UNAVAILABLE_STATUS = 503


class EndpointNotices:
    """Records that endpoints are leaving or ask for a pause.

    An endpoint that is leaving is announced to the cell. A pause binds only the
    instance that got the response.

    Args:
        codec: Translates the platform's messages.
        restrictions: Receives what the endpoints ask for.
        platform_state: Endpoints in force.
        announce_leaving: Announces a leaving endpoint, by id and start, to the
            other instances.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        restrictions: placement.EndpointRestrictions,
        platform_state: _state.PlatformState,
        announce_leaving: Callable[[str, int], None],
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
    ) -> None:
        self.codec = codec
        self.restrictions = restrictions
        self.platform_state = platform_state
        self.announce_leaving = announce_leaving
        self.log = log
        self.metrics = metrics
        self.clock = clock

    def record(
        self, endpoint: placement.Endpoint, head: connections.ResponseHead
    ) -> _codec.ResponseMeta:
        """Records what the head of an endpoint's response asks for.

        Args:
            endpoint: The endpoint as it was listed when it was called.
            head: Head of its response.

        Returns:
            The decoded head.
        """
        response = self.codec.decode_response(head)
        if response.leaving and self.restrictions.record_leaving(
            endpoint.id, endpoint.born_ms
        ):
            self._log_leaving(endpoint.id, endpoint.born_ms, "response")
            self.announce_leaving(endpoint.id, endpoint.born_ms)
        if (
            head.status == _UNAVAILABLE_STATUS
            and response.retry_after_ms is not None
        ):
            self._record_pause(endpoint, response.retry_after_ms)
        return response

    def record_announced(
        self, endpoint_id: str, born_ms: int, sender: str
    ) -> None:
        """Records that another instance announced a leaving endpoint."""
        if self.restrictions.record_leaving(endpoint_id, born_ms):
            self._log_leaving(endpoint_id, born_ms, sender)

    def _log_leaving(self, endpoint_id: str, born_ms: int, source: str) -> None:
        listed = self.platform_state.endpoints.get(endpoint_id)
        age_ms = self.platform_state.freshness.age_ms(self.clock.now_ms())
        self.metrics.count("endpoint_leaving")
        self.log.write(
            observe.decisions.EndpointLeaving(
                endpoint_id,
                born_ms,
                source,
                listed is not None and listed.leaving,
                round(age_ms, 1),
            )
        )

    def _record_pause(
        self, endpoint: placement.Endpoint, pause_ms: float
    ) -> None:
        now_ms = self.clock.now_ms()
        if self.restrictions.record_pause(endpoint, pause_ms, now_ms):
            self.metrics.count("endpoint_paused")
            self.log.write(
                observe.decisions.EndpointPaused(
                    endpoint.id,
                    round(pause_ms, 1),
                    round(self.restrictions.pause_left_ms(endpoint, now_ms), 1),
                )
            )
