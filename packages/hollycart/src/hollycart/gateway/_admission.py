"""Decides whether a request may be sent, and where to."""

import xxhash

from hollycart.gateway import _codec
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing

_WAIT_DEFAULT_MS = 30000.0  # for callers that name no time
# Time after the signal to stop in which streams are still taken: the pages
# excuse a cut at the end only for requests sent up to then.
_STREAMS_TAKEN_MS = 2900.0
# Other requests are taken while this much of the grace time is left; they end
# within their route's time.
_ENDING_MARGIN_MS = 1500.0


class Admission:
    """Checks requests against the configuration in force.

    Args:
        platform_state: Configuration and endpoints.
        clock: Source of time.
    """

    def __init__(
        self, platform_state: _state.PlatformState, clock: base.Clock
    ) -> None:
        self.platform_state = platform_state
        self.clock = clock
        self._stopping_since_ms: float | None = None
        self._grace_ms = 0.0

    def start_draining(self, grace_ms: float) -> None:
        """Notes the signal to stop; the instance ends after `grace_ms`."""
        self._stopping_since_ms = self.clock.now_ms()
        self._grace_ms = grace_ms

    def admit(
        self, exchange: connections.Exchange, meta: _codec.RequestMeta
    ) -> _job.Job:
        """Returns the admitted request.

        Raises:
            StoppingError: If the instance ends before the request would.
            StaleConfigError: If nothing recent enough is known.
            NotFoundError: If no route fits.
            UnauthorizedError: If the key is unknown.
        """
        cfg = self.platform_state.config
        if cfg is None:
            raise base.StaleConfigError(
                "no configuration yet", _failures.RETRY_AFTER_MS
            )
        route = cfg.find_route(meta.host, meta.path)
        if route is None:
            raise base.NotFoundError(f"no route for {meta.host}{meta.path}")
        self._check_stopping(route)
        team = self.authorize(cfg, route, meta)
        name = cfg.choose_service(route, _fraction(meta.request_id))
        service = cfg.services.get(name)
        if service is None:
            raise base.NoEndpointError(f"service {name} is not configured")
        caller_timeout_ms = (
            _WAIT_DEFAULT_MS
            if meta.caller_timeout_ms is None
            else meta.caller_timeout_ms
        )
        deadline_ms = exchange.received_ms + min(
            caller_timeout_ms, route.timeout_ms
        )
        return _job.Job(exchange, meta, route, service, team, deadline_ms)

    def _check_stopping(self, route: routing.Route) -> None:
        if self._stopping_since_ms is None:
            return
        spent_ms = self.clock.now_ms() - self._stopping_since_ms
        if route.kind is routing.RouteKind.STREAMING:
            taken_ms = _STREAMS_TAKEN_MS
        else:
            taken_ms = self._grace_ms - route.timeout_ms - _ENDING_MARGIN_MS
        if spent_ms > taken_ms:
            raise base.StoppingError(
                f"stopping since {spent_ms:.0f} ms", _failures.RETRY_AFTER_MS
            )

    def authorize(
        self,
        cfg: routing.RoutingConfig,
        route: routing.Route,
        meta: _codec.RequestMeta,
    ) -> routing.Team | None:
        """Returns the team of a key.

        Raises:
            StaleConfigError: If the key may have been removed meanwhile.
            UnauthorizedError: If the key is unknown.
        """
        if not cfg.teams or route.public:
            return None
        if not self.platform_state.freshness.is_fresh(self.clock.now_ms()):
            raise base.StaleConfigError(
                "keys are not proven to be in force", _failures.RETRY_AFTER_MS
            )
        team = cfg.find_team(meta.api_key)
        if team is None:
            raise base.UnauthorizedError("unknown API key")
        return team

    def check_before_send(
        self, job: _job.Job, endpoint: placement.Endpoint
    ) -> None:
        """Checks again just before the send what may have changed.

        Raises:
            HollycartError: If the request may not be sent to the endpoint.
        """
        cfg = self.platform_state.config
        assert cfg is not None
        if job.team is not None:
            self.authorize(cfg, job.route, job.meta)
        known = self.platform_state.endpoints.get(endpoint.id)
        if known is None or known.leaving:
            raise base.NotExecutedError(
                f"{endpoint.id} is leaving", _failures.RETRY_AFTER_MS
            )


def _fraction(request_id: str) -> float:
    """Returns a number in [0, 1) that is the same for a request everywhere."""
    return float(xxhash.xxh32_intdigest(request_id.encode())) / 2.0**32
