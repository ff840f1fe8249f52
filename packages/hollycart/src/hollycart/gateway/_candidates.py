"""Which endpoints may get a request, and why none may."""

from hollycart.gateway import _failures
from hollycart.gateway import _permits
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement

_OPEN = placement.ZoneAccess.OPEN
_LAST_RESORT = placement.ZoneAccess.LAST_RESORT
_CLOSED = placement.ZoneAccess.CLOSED


class Candidates:
    """Finds the endpoints of a service that may get a request.

    Args:
        platform_state: Endpoints in force.
        health: Health of the endpoints.
        restrictions: What the endpoints asked for in their responses.
        permits: Permits for endpoints that limit their rate.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        health: placement.EndpointHealth,
        restrictions: placement.EndpointRestrictions,
        permits: _permits.PermitExchange,
    ) -> None:
        self.platform_state = platform_state
        self.health = health
        self.restrictions = restrictions
        self.permits = permits

    def find(
        self, service: str, excluded: set[str], now_ms: float
    ) -> list[placement.Endpoint]:
        """Returns the endpoints to choose among, the best that there are.

        Raises:
            NoEndpointError: If the service has no endpoint left to try.
            OverloadedError: If all endpoints asked for a pause or have reached
                the limits that they named.
            ZonesEvacuatedError: If the zones of all endpoints are evacuated.
        """
        accepting = self.accepting(service, now_ms, last_resort=True)
        usable = [e for e in accepting if e.id not in excluded]
        if not accepting:
            self._check_waits(service, now_ms)
        if not usable:
            raise base.NoEndpointError(
                f"no endpoint of service {service} left to try",
                _failures.RETRY_AFTER_MS,
            )
        healthy = [e for e in usable if self.health.usable(e.id, now_ms)]
        best = healthy or usable
        if not self.platform_state.evacuations.in_force():
            return best
        return [e for e in best if self._access(e, now_ms) is _OPEN] or best

    def accepting(
        self, service: str, now_ms: float, last_resort: bool = False
    ) -> list[placement.Endpoint]:
        """Returns the endpoints of a service that accept requests now.

        Args:
            service: Name of the service.
            now_ms: Current instant.
            last_resort: Whether zones may be used that are being evacuated.
        """
        allowed = (_OPEN, _LAST_RESORT) if last_resort else (_OPEN,)
        evacuations = self.platform_state.evacuations
        closed = {
            zone
            for zone in evacuations.in_force()
            if evacuations.access(zone, now_ms) not in allowed
        }
        return [
            e
            for e in self.platform_state.endpoints.values()
            if e.service == service
            and e.zone not in closed
            and self.restrictions.accepts(e, now_ms)
            and self.permits.wait_ms(e, now_ms) == 0.0
        ]

    def primary_only(
        self, endpoints: list[placement.Endpoint], now_ms: float
    ) -> frozenset[str]:
        """Returns the endpoints that limit their rate, or are cold.

        They get whole prompts, each with a permit, but no parts of prompts and
        no reservations, which are requests of their own.
        """
        limited = {
            e.id for e in endpoints if self.permits.limits.find(e) is not None
        }
        return self.permits.notices.cold_ids(endpoints, now_ms) | limited

    def cold_ids(self, service: str, now_ms: float) -> frozenset[str]:
        """Returns the ids of a service's endpoints that are cold."""
        return self.permits.notices.cold_ids(self._listed(service), now_ms)

    def _listed(self, service: str) -> list[placement.Endpoint]:
        return [
            e
            for e in self.platform_state.endpoints.values()
            if e.service == service and not self.restrictions.is_leaving(e)
        ]

    def _access(
        self, endpoint: placement.Endpoint, now_ms: float
    ) -> placement.ZoneAccess:
        return self.platform_state.evacuations.access(endpoint.zone, now_ms)

    def _check_waits(self, service: str, now_ms: float) -> None:
        """Refuses the request if no endpoint of the service accepts any now.

        The load it answers: all engines are full, and ask for a pause or have
        reached their limits, or their zones are evacuated. A request that
        waited would only hold its caller.
        """
        listed = self._listed(service)
        if not listed:
            return
        zones = {e.zone for e in listed if self._access(e, now_ms) is _CLOSED}
        listed = [e for e in listed if e.zone not in zones]
        if not listed:
            raise _failures.ZonesEvacuatedError(
                f"all zones with endpoints of service {service} are "
                f"evacuated: {', '.join(sorted(zones))}",
                _failures.EVACUATED_RETRY_AFTER_MS,
            )
        earliest_ms = min(
            max(
                self.restrictions.pause_left_ms(e, now_ms),
                self.permits.wait_ms(e, now_ms),
            )
            for e in listed
        )
        retry_after_ms = self.permits.return_after_ms(
            listed, earliest_ms, now_ms
        )
        raise base.OverloadedError(
            f"all {len(listed)} endpoints of service {service} asked for a "
            f"pause or have reached their limits, the first accepts requests "
            f"in {earliest_ms:.0f} ms",
            max(retry_after_ms, placement.MIN_RETRY_AFTER_MS),
        )
