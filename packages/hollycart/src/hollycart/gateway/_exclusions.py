"""Why endpoints are not used now, from all that keeps requests away."""

from hollycart.gateway import _address_book
from hollycart.gateway import _permits
from hollycart.gateway import _state
from hollycart_core import dry_run
from hollycart_core import placement


class EndpointExclusions:
    """Names what keeps requests away from an endpoint.

    Args:
        platform_state: Evacuations in force.
        health: Health of the endpoints.
        restrictions: What the endpoints asked for in their responses.
        permits: Permits for endpoints that limit their rate or are cold.
        book: Division of the fleet into cells.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        health: placement.EndpointHealth,
        restrictions: placement.EndpointRestrictions,
        permits: _permits.PermitExchange,
        book: _address_book.AddressBook,
    ) -> None:
        self.platform_state = platform_state
        self.health = health
        self.restrictions = restrictions
        self.permits = permits
        self.book = book

    def find(
        self, endpoint: placement.Endpoint, now_ms: float, has_prompt: bool
    ) -> list[dry_run.Exclusion]:
        """Returns what keeps a request away from an endpoint.

        Args:
            endpoint: The endpoint.
            now_ms: Current instant.
            has_prompt: Whether the request has a prompt, and thus stays in its
                cell if possible.
        """
        access = self.platform_state.evacuations.access(endpoint.zone, now_ms)
        waits = self.permits.wait_ms(endpoint, now_ms) > 0.0
        notices, restrictions = self.permits.notices, self.restrictions
        is_unreachable = self.health.is_unreachable(endpoint.id)
        is_usable = self.health.usable(endpoint.id, now_ms)
        found = {
            dry_run.Exclusion.LEAVING: restrictions.is_leaving(endpoint),
            dry_run.Exclusion.REPLACED: restrictions.is_replaced(endpoint),
            dry_run.Exclusion.PAUSED: (
                restrictions.pause_left_ms(endpoint, now_ms) > 0.0
            ),
            dry_run.Exclusion.LIMITED: (
                waits and self.permits.limits.find(endpoint) is not None
            ),
            dry_run.Exclusion.COLD: waits and notices.is_cold(endpoint, now_ms),
            dry_run.Exclusion.EVACUATED: access is placement.ZoneAccess.CLOSED,
            dry_run.Exclusion.LAST_RESORT: (
                access is placement.ZoneAccess.LAST_RESORT
            ),
            dry_run.Exclusion.UNREACHABLE: is_unreachable,
            dry_run.Exclusion.EJECTED: not is_usable and not is_unreachable,
            dry_run.Exclusion.OTHER_CELL: (
                has_prompt and not self.book.is_in_cell(endpoint.zone)
            ),
        }
        return [exclusion for exclusion, applies in found.items() if applies]

    def wait_ms(self, endpoint: placement.Endpoint, now_ms: float) -> float:
        """Returns the time until an endpoint may accept a request, in ms."""
        return max(
            self.restrictions.pause_left_ms(endpoint, now_ms),
            self.permits.wait_ms(endpoint, now_ms),
        )
