"""What endpoints ask for in the heads of their responses."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from absl import logging

from hollycart import observe
from hollycart.gateway import _codec
from hollycart.gateway import _cold
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

_UNAVAILABLE_STATUS = 503
_NONE: frozenset[str] = frozenset()


class EndpointNotices:
    """Records that endpoints are leaving, ask for a pause or limit their rate.

    An endpoint that is leaving, changes its limit, or has been replaced at its
    address is announced to the cell. A pause binds only the instance that got
    the response.

    Args:
        codec: Translates the platform's messages.
        restrictions: Receives what the endpoints ask for.
        limits: Receives the limits that endpoints name.
        platform_state: Endpoints in force.
        announce_leaving: Announces a leaving endpoint, by id and start, to the
            other instances.
        announce_limit: Announces a changed limit to the other instances.
        announce_replaced: Announces an endpoint whose entry is out of date to
            the other instances.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
        cold: Receives how long the endpoints stay cold; None ignores it.

    Attributes:
        on_response: Called with an endpoint and its decoded response.
    """

    def __init__(
        self,
        codec: _codec.RequestCodec,
        restrictions: placement.EndpointRestrictions,
        limits: placement.EndpointRateLimits,
        platform_state: _state.PlatformState,
        announce_leaving: Callable[[str, int], None],
        announce_limit: Callable[[placement.RateStatement], None],
        announce_replaced: Callable[[placement.Endpoint], None],
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
        cold: _cold.ColdEngines | None = None,
    ) -> None:
        self.codec = codec
        self.restrictions = restrictions
        self.limits = limits
        self.platform_state = platform_state
        self.announce_leaving = announce_leaving
        self.announce_limit = announce_limit
        self.announce_replaced = announce_replaced
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.cold = cold
        self.on_response: Callable[
            [placement.Endpoint, _codec.ResponseMeta], None
        ] = lambda endpoint, response: None

    def record(
        self,
        endpoint: placement.Endpoint,
        head: connections.ResponseHead,
        sent_ms: float,
        request_id: str = "",
        is_new: bool = True,
    ) -> _codec.ResponseMeta:
        """Records what the head of an endpoint's response asks for.

        Args:
            endpoint: The endpoint as it was listed when it was called.
            head: Head of its response.
            sent_ms: Instant at which the request was sent.
            request_id: Id of the request; empty if it had none.
            is_new: Whether the connection has carried no other response.

        Returns:
            The decoded head.
        """
        response = self.codec.decode_response(head)
        if response.leaving and self.restrictions.record_leaving(
            endpoint.id, endpoint.born_ms
        ):
            self._log_leaving(endpoint.id, endpoint.born_ms, "response")
            self.announce_leaving(endpoint.id, endpoint.born_ms)
        # The time of a response to another request is not known.
        if not response.belongs_to(request_id, is_new):
            return response
        if (
            head.status == _UNAVAILABLE_STATUS
            and response.retry_after_ms is not None
        ):
            self._record_pause(endpoint, response.retry_after_ms)
        self.on_response(endpoint, response)
        if response.sealed and self.restrictions.record_present(endpoint):
            logging.info("%s responds again under its id", endpoint.id)
        self._record_limit(endpoint, response, sent_ms)
        if self.cold is not None and response.cold_left_ms is not None:
            self.cold.record(endpoint, response.cold_left_ms, sent_ms)
        return response

    def limits_rate(self, endpoint: placement.Endpoint) -> bool:
        """Returns whether an endpoint limits its rate, or is cold."""
        return self.limits.find(endpoint) is not None or self.is_cold(
            endpoint, self.clock.now_ms()
        )

    def is_cold(self, endpoint: placement.Endpoint, now_ms: float) -> bool:
        """Returns whether an endpoint is cold."""
        return self.cold is not None and self.cold.is_cold(endpoint, now_ms)

    def cold_ids(
        self, endpoints: Sequence[placement.Endpoint], now_ms: float
    ) -> frozenset[str]:
        """Returns the ids of the endpoints that are cold."""
        return self.cold.cold_ids(endpoints, now_ms) if self.cold else _NONE

    def cold_rate(
        self, endpoint: placement.Endpoint, now_ms: float
    ) -> placement.ColdRate | None:
        """Returns how many requests a cold endpoint may get; None if warm."""
        return self.cold.rate(endpoint, now_ms) if self.cold else None

    def record_replaced(self, endpoint: placement.Endpoint) -> None:
        """Records that another endpoint responded at an endpoint's address."""
        if self.restrictions.record_replaced(
            endpoint.id, endpoint.born_ms, endpoint.written
        ):
            self._log_replaced(endpoint.id, endpoint.written, "response")
            self.announce_replaced(endpoint)

    def record_announced_replaced(
        self,
        endpoint_id: str,
        born_ms: int,
        written: tuple[int, int],
        sender: str,
    ) -> None:
        """Records an outdated entry that another instance announced."""
        if self.restrictions.record_replaced(endpoint_id, born_ms, written):
            self._log_replaced(endpoint_id, written, sender)

    def record_announced(
        self, endpoint_id: str, born_ms: int, sender: str
    ) -> None:
        """Records that another instance announced a leaving endpoint."""
        if self.restrictions.record_leaving(endpoint_id, born_ms):
            self._log_leaving(endpoint_id, born_ms, sender)

    def record_listed(self, endpoints: Iterable[placement.Endpoint]) -> None:
        """Records the endpoints that are listed as leaving.

        Their entries may be overwritten before they end.
        """
        for endpoint in endpoints:
            if endpoint.leaving:
                self.restrictions.record_leaving(endpoint.id, endpoint.born_ms)

    def record_announced_limit(
        self, statement: placement.RateStatement, sender: str
    ) -> None:
        """Records a limit that another instance announced."""
        if self.limits.record(statement):
            self._log_limit(statement, sender)

    def _record_limit(
        self,
        endpoint: placement.Endpoint,
        response: _codec.ResponseMeta,
        sent_ms: float,
    ) -> None:
        # Only a sealed response is known to be complete in its header fields.
        if response.limit_per_s is None and not response.sealed:
            return
        statement = placement.RateStatement(
            endpoint.id,
            endpoint.born_ms,
            response.limit_per_s,
            sent_ms,
            self.clock.now_ms(),
        )
        if self.limits.record(statement):
            self._log_limit(statement, "response")
            self.announce_limit(statement)

    def _log_limit(
        self, statement: placement.RateStatement, source: str
    ) -> None:
        self.metrics.count("endpoint_limited")
        self.log.write(
            observe.decisions.EndpointLimited(
                statement.endpoint,
                statement.born_ms,
                statement.per_s,
                source,
                round(self.clock.now_ms() - statement.received_ms, 1),
            )
        )

    def _log_replaced(
        self, endpoint_id: str, written: tuple[int, int], source: str
    ) -> None:
        self.metrics.count("endpoint_replaced")
        self.log.write(
            observe.decisions.EndpointReplaced(endpoint_id, *written, source)
        )

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
