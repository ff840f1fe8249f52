"""Decisions of the instance that grants the permits of an endpoint."""

from hollycart.gateway import _messages
from hollycart.gateway import _notices
from hollycart.gateway import _peers
from hollycart_core import base
from hollycart_core import placement

# Time for which an endpoint is not asked for again if its grantor hears too few
# instances, in ms.
_NO_QUORUM_WAIT_MS = 250.0


def duty_key(endpoint_id: str) -> str:
    """Returns the key by which an endpoint's grantor is chosen."""
    return f"permits/{endpoint_id}"


class PermitGrantor:
    """Answers queries for the permits of the endpoints in its charge.

    Args:
        peers: Exchange of datagrams with the other instances.
        notices: Limits that endpoints named, and which endpoints are cold.
        clock: Source of time.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        notices: _notices.EndpointNotices,
        clock: base.Clock,
    ) -> None:
        self.peers = peers
        self.notices = notices
        self.clock = clock
        self._permits = placement.RatePermits()

    def drop(self, endpoint_id: str) -> None:
        """Forgets an endpoint that another instance grants for."""
        self._permits.drop(endpoint_id)

    def decide(
        self, query: _messages.PermitQuery
    ) -> _messages.PermitReply | None:
        """Returns the reply to a query; None if this instance grants nothing.

        Args:
            query: Query for an endpoint in the charge of this instance.
        """
        now_ms = self.clock.now_ms()
        if not self.peers.is_settled(now_ms):
            # Others may have granted while this instance was not running.
            self._permits.clear()
            return None
        stated = _messages.unpack_limit(query.limit, now_ms)
        self.notices.record_announced_limit(stated, query.sender)
        known = self.notices.limits.latest(stated.endpoint) or stated
        cold_per_s = self._cold_per_s(query, now_ms)
        rates = [r for r in (known.per_s, cold_per_s) if r is not None]
        contested = None
        if cold_per_s is not None:
            contested = self._is_contested(known.endpoint)
        granted, wait_ms = not rates, 0.0
        if rates and query.refused:
            wait_ms = self._permits.plan_return(
                known.endpoint, min(rates), now_ms, contested
            )
        elif cold_per_s is not None and not self._has_quorum():
            # Others may grant in another part of the cell.
            self._permits.drop(known.endpoint)
            wait_ms = _NO_QUORUM_WAIT_MS
        elif rates:
            granted, wait_ms = self._permits.take(
                known.endpoint, min(rates), now_ms, contested
            )
        return _messages.PermitReply(
            self.peers.name,
            query.query_id,
            _messages.pack_limit(known, now_ms),
            granted,
            wait_ms,
        )

    def _cold_per_s(
        self, query: _messages.PermitQuery, now_ms: float
    ) -> float | None:
        """Returns the rate of a cold endpoint, None if it is warm.

        It is cold if it is by the view of the instance that asks, or by the
        own one.
        """
        cold = self.notices.cold
        per_s = query.cold_per_s
        if cold is not None:
            per_s = cold.granted_per_s(query.limit.endpoint, per_s, now_ms)
        return per_s if per_s > 0.0 else None

    def _has_quorum(self) -> bool:
        cold = self.notices.cold
        return cold is None or cold.has_quorum()

    def _is_contested(self, endpoint_id: str) -> bool | None:
        cold = self.notices.cold
        return cold.is_contested(duty_key(endpoint_id)) if cold else None
