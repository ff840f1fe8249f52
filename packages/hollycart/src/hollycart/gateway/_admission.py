"""Admission control: checks requests against the configuration in force."""

from collections.abc import Sequence

import xxhash

from hollycart.gateway import _codec
from hollycart.gateway import _evacuation
from hollycart.gateway import _failures
from hollycart.gateway import _fingerprint
from hollycart.gateway import _job
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement
from hollycart_core import routing

_DEFAULT_CALLER_TIMEOUT_MS = 30000.0  # for callers that send no timeout
# Streams are admitted for this long after draining starts. The platform
# tolerates a stream that is cut at shutdown only if it was sent before then.
_STREAM_ADMISSION_MS = 2900.0
# Other requests are admitted while their route's timeout and this margin fit
# into the rest of the grace period.
_SHUTDOWN_MARGIN_MS = 1500.0


class Admission:
    """Admits requests and rechecks them before they are sent.

    Args:
        platform_state: Configuration and endpoints in force.
        restrictions: What the endpoints asked for in their responses.
        clock: Source of time.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        restrictions: placement.EndpointRestrictions,
        clock: base.Clock,
    ) -> None:
        self.platform_state = platform_state
        self.restrictions = restrictions
        self.clock = clock
        self._draining_since_ms: float | None = None
        self._grace_ms = 0.0
        self._stopping = False

    def start_draining(self, grace_ms: float) -> None:
        """Starts to reject requests that may not end within `grace_ms`."""
        self._draining_since_ms = self.clock.now_ms()
        self._grace_ms = grace_ms

    def stop(self) -> None:
        """Rejects all requests from now on."""
        self._stopping = True

    def admit(
        self, exchange: connections.Exchange, meta: _codec.RequestMeta
    ) -> _job.AdmittedRequest:
        """Returns the request with its route, service, team and deadline.

        Raises:
            StoppingError: If the instance may stop before the request ends.
            StaleConfigError: If there is no configuration, or the state is too
                old to accept API keys.
            NoEndpointError: If the service of the route is not configured.
            NotFoundError: If no route matches.
            UnauthorizedError: If the API key is unknown.
        """
        cfg, route = self.match(meta)
        self._check_draining(route)
        team = self.authorize(cfg, route, meta)
        return self.resolve(exchange, meta, cfg, route, team)

    def match(
        self, meta: _codec.RequestMeta
    ) -> tuple[routing.RoutingConfig, routing.Route]:
        """Returns the configuration in force and the route of a request.

        Raises:
            StaleConfigError: If there is no configuration.
            NotFoundError: If no route matches.
        """
        cfg = self.platform_state.config
        if cfg is None:
            raise base.StaleConfigError(
                "no configuration was read yet", _failures.RETRY_AFTER_MS
            )
        route = cfg.find_route(meta.host, meta.path)
        if route is None:
            raise base.NotFoundError(f"no route matches {meta.host}{meta.path}")
        return cfg, route

    def resolve(
        self,
        exchange: connections.Exchange,
        meta: _codec.RequestMeta,
        cfg: routing.RoutingConfig,
        route: routing.Route,
        team: routing.Team | None,
    ) -> _job.AdmittedRequest:
        """Returns the request with its service and deadline.

        Raises:
            NoEndpointError: If the service of the route is not configured.
        """
        name = choose_service(cfg, route, meta)
        service = cfg.services.get(name)
        if service is None:
            raise base.NoEndpointError(f"service {name} is not configured")
        caller_timeout_ms = (
            _DEFAULT_CALLER_TIMEOUT_MS
            if meta.caller_timeout_ms is None
            else meta.caller_timeout_ms
        )
        deadline_ms = exchange.received_ms + min(
            caller_timeout_ms, route.timeout_ms
        )
        return _job.AdmittedRequest(
            exchange,
            meta,
            route,
            service,
            team,
            deadline_ms,
            _fingerprint.fingerprint(
                exchange.head, meta.host, exchange.body, team
            ),
        )

    def _check_draining(self, route: routing.Route) -> None:
        if self._stopping:
            raise base.StoppingError(
                "the instance stops now", _failures.RETRY_AFTER_MS
            )
        if self._draining_since_ms is None:
            return
        draining_ms = self.clock.now_ms() - self._draining_since_ms
        if route.kind is routing.RouteKind.STREAMING:
            admission_ms = _STREAM_ADMISSION_MS
        else:
            admission_ms = (
                self._grace_ms - route.timeout_ms - _SHUTDOWN_MARGIN_MS
            )
        if draining_ms > admission_ms:
            raise base.StoppingError(
                f"draining for {draining_ms:.0f} ms, the limit for route "
                f"{route.name} is {admission_ms:.0f} ms",
                _failures.RETRY_AFTER_MS,
            )

    def authorize(
        self,
        cfg: routing.RoutingConfig,
        route: routing.Route,
        meta: _codec.RequestMeta,
    ) -> routing.Team | None:
        """Returns the team of the API key; None if the route needs no key.

        Raises:
            StaleConfigError: If the state is too old to determine whether the
                key is still valid.
            UnauthorizedError: If the API key is unknown.
        """
        if not cfg.requires_key(route):
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
        self,
        request: _job.AdmittedRequest,
        endpoints: Sequence[placement.Endpoint],
    ) -> None:
        """Checks the API key and the endpoints again just before the send.

        They may have been removed since the request was admitted, and the
        endpoints may have asked for no more requests, or be in a zone that is
        evacuated.

        Args:
            request: The admitted request.
            endpoints: Endpoints of the attempt, the primary first.

        Raises:
            HollycartError: If the request may not be sent to the endpoints.
        """
        cfg = self.platform_state.config
        assert cfg is not None
        if request.team is not None:
            self.authorize(cfg, request.route, request.meta)
        now_ms = self.clock.now_ms()
        for endpoint in endpoints:
            known = self.platform_state.endpoints.get(endpoint.id)
            if known is not None and self.restrictions.accepts(known, now_ms):
                _evacuation.check_zone(
                    self.platform_state.evacuations, known, now_ms
                )
                continue
            detail = f"{endpoint.id} is leaving, paused or no longer listed"
            if endpoint is not endpoints[0]:
                raise _failures.HelperRejectedError(detail, endpoint.id)
            raise base.NotExecutedError(detail, _failures.RETRY_AFTER_MS)


def choose_service(
    cfg: routing.RoutingConfig, route: routing.Route, meta: _codec.RequestMeta
) -> str:
    """Returns the name of the service of a request."""
    return cfg.choose_service(route, _hash_fraction(meta.request_id))


def _hash_fraction(request_id: str) -> float:
    """Returns a hash of the id, in [0, 1), that is equal on all instances."""
    return float(xxhash.xxh32_intdigest(request_id.encode())) / 2.0**32
