"""Endpoints that are cold, as all instances come to know them."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from hollycart import observe
from hollycart.gateway import _messages
from hollycart.gateway import _peers
from hollycart.gateway import _settings
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement
from hollycart_core import routing

# Time after a change of the cell, a start or a pause for which another instance
# may still have the same duties, in ms: until all agree on one.
_AGREEMENT_MS = 4000.0


class ColdEngines:
    """Follows which endpoints are cold, and says how many requests they get.

    An endpoint that states that it is cold is announced to all instances.
    Nothing is done, and nothing is sent, unless a service in force has cold
    endpoints.

    Args:
        platform_state: Configuration and endpoints in force.
        peers: Exchange of datagrams with the other instances.
        policy: Returns what the deployment asks of policies under load.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        peers: _peers.PeerExchange,
        policy: Callable[[], _settings.PolicySettings],
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
    ) -> None:
        self.platform_state = platform_state
        self.peers = peers
        self.policy = policy
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self._cold = placement.ColdEndpoints()
        self._services: dict[str, routing.Service] = {}
        self._followed: Any = None
        self._staying: frozenset[str] = frozenset()
        self._changed_ms = float("-inf")

    def subscribe(self) -> None:
        """Sets the handlers of announcements and of new instances."""
        self.peers.subscribe(_messages.EndpointCold, self._handle_announced)
        on_new_peer = self.peers.on_new_peer

        def handle_new_peer(ip: str) -> None:
            on_new_peer(ip)
            self._send_all(ip)

        self.peers.on_new_peer = handle_new_peer
        on_heartbeat = self.peers.on_heartbeat

        def handle_heartbeat() -> None:
            on_heartbeat()
            if self._services:
                self._watch_cell()

        self.peers.on_heartbeat = handle_heartbeat

    def follow_state(self) -> None:
        """Takes over the state in force if it is another one than before.

        Cheap if it is not, so that it may precede each decision.
        """
        snapshot = self.platform_state.snapshot
        if snapshot is self._followed or snapshot is None:
            return
        self._followed = snapshot
        services = snapshot.config.services if snapshot.config else {}
        cold = {n: s for n, s in services.items() if s.cold_per_s > 0.0}
        if not cold and not self._services:
            return
        self._services = cold
        for endpoint in self._cold.follow(
            self.platform_state.endpoints.values(),
            {name: s.cold_start_ms for name, s in cold.items()},
            self.clock.now_ms(),
        ):
            self._log_cold(endpoint, self._cold.source(endpoint))

    def record(
        self, endpoint: placement.Endpoint, left_ms: float, sent_ms: float
    ) -> None:
        """Records what an endpoint stated in a response.

        Args:
            endpoint: The endpoint as it was listed when it was called.
            left_ms: Time for which it stays cold, in ms.
            sent_ms: Instant at which the request was sent.
        """
        self.follow_state()
        now_ms = self.clock.now_ms()
        change_ms = self._cold.record_statement(
            endpoint, left_ms, sent_ms, now_ms
        )
        if change_ms:
            self._log_cold(endpoint, "response")
        # The other instances learn of an earlier end by their own requests.
        if change_ms > 0.0:
            self._announce(self._make_message(endpoint, now_ms))

    def record_zone_reopened(self, zone: str, now_ms: float) -> None:
        """Records that the evacuation of an availability zone has ended.

        Args:
            zone: The zone.
            now_ms: Instant at which this instance learned of it.
        """
        self.follow_state()
        self._cold.record_zone_reopened(zone, now_ms)
        for endpoint in self._listed():
            if endpoint.zone == zone:
                self._log_cold(endpoint, self._cold.source(endpoint))

    def is_cold(self, endpoint: placement.Endpoint, now_ms: float) -> bool:
        """Returns whether an endpoint is cold."""
        self.follow_state()
        return (
            bool(self._services) and self._cold.left_ms(endpoint, now_ms) > 0.0
        )

    def cold_ids(
        self, endpoints: Iterable[placement.Endpoint], now_ms: float
    ) -> frozenset[str]:
        """Returns the ids of the endpoints that are cold."""
        self.follow_state()
        if not self._services:
            return frozenset()
        return frozenset(e.id for e in endpoints if self.is_cold(e, now_ms))

    def rate(
        self, endpoint: placement.Endpoint, now_ms: float
    ) -> placement.ColdRate | None:
        """Returns how many requests an endpoint may get; None if it is warm."""
        self.follow_state()
        # Asked for each endpoint of a service for each request.
        if not self._services or not self.is_cold(endpoint, now_ms):
            return None
        return self._rate(self._services[endpoint.service].cold_per_s)

    def granted_per_s(
        self, endpoint_id: str, asked_per_s: float, now_ms: float
    ) -> float:
        """Returns the rate that the grantor of an endpoint's permits grants.

        Args:
            endpoint_id: Id of the endpoint.
            asked_per_s: Rate by the view of the instance that asks; 0 if the
                endpoint is not cold by it.
            now_ms: Current instant.

        Returns:
            The lower one of that and of the own view; 0 if the endpoint is cold
            by neither.
        """
        endpoint = self.platform_state.endpoints.get(endpoint_id)
        own = self.rate(endpoint, now_ms) if endpoint else None
        rates = [asked_per_s] if asked_per_s > 0.0 else []
        if own is not None:
            rates.append(own.per_s)
        return min(rates, default=0.0)

    def has_quorum(self) -> bool:
        """Returns whether this instance hears more than half of its cell.

        The instances of a cell that are cut off from each other must not all
        grant permits.
        """
        known = max(len(self.peers.addresses()) + 1, len(self._registered()))
        return 2 * (len(self.peers.live()) + 1) > known

    def is_contested(self, key: str) -> bool:
        """Returns whether another instance may have the same duty.

        It may if it precedes this one in the order of rendezvous hashing and is
        registered, but not heard: others may hear it. It also may for some
        seconds after a change of the cell.

        Args:
            key: Key of the duty.
        """
        self._watch_cell()
        if self.clock.now_ms() - self._changed_ms < _AGREEMENT_MS:
            return True
        live = self.peers.live()
        ranked = base.rendezvous_rank(key, self._registered() | set(live))
        preceding = ranked[: ranked.index(self.peers.name)]
        return any(name not in live for name in preceding)

    def count(self, now_ms: float) -> int:
        """Returns the number of listed endpoints that are cold."""
        return len(self.cold_ids(self._listed(), now_ms))

    def _watch_cell(self) -> None:
        """Records when the instances that share the duties last changed."""
        now_ms = self.clock.now_ms()
        staying = frozenset(self.peers.staying())
        if staying != self._staying or not self.peers.is_settled(now_ms):
            self._staying = staying
            self._changed_ms = now_ms

    def _rate(self, cold_per_s: float) -> placement.ColdRate:
        policy = self.policy()
        snapshot = self.platform_state.snapshot
        # Registrations may lapse while the store is away; addresses are kept.
        instances = max(
            self.peers.book.size() + 1, len(snapshot.peers) if snapshot else 0
        )
        rate = placement.cold_rate(
            cold_per_s, policy.cold_overage, policy.cold_slack, instances
        )
        # After a start the other instances may not be known yet, so that the
        # share would be too large.
        if not self.peers.is_settled(self.clock.now_ms()):
            rate = rate._replace(share=0)
        return rate

    def _registered(self) -> set[str]:
        """Returns the names of the registered instances of the cell."""
        snapshot = self.platform_state.snapshot
        peers = snapshot.peers if snapshot else {}
        names = {
            n for n, a in peers.items() if self.peers.book.is_in_cell(a.zone)
        }
        return names | {self.peers.name}

    def _listed(self) -> list[placement.Endpoint]:
        if not self._services:
            return []
        return [
            e
            for e in self.platform_state.endpoints.values()
            if e.service in self._services
        ]

    def _make_message(
        self, endpoint: placement.Endpoint, now_ms: float
    ) -> _messages.EndpointCold:
        left_ms = self._cold.left_ms(endpoint, now_ms)
        return _messages.EndpointCold(
            self.peers.name, endpoint.id, endpoint.born_ms, round(left_ms, 1)
        )

    def _announce(self, message: _messages.EndpointCold) -> None:
        """Sends an announcement to the cell, and to one instance of each other.

        Instances of other cells use the endpoint if there is no other way.
        """
        for ip in self.peers.addresses():
            self.peers.send(message, ip)
        message.forward = True
        for cell in self.peers.book.other_cells:
            found = self.peers.book.of_cell(cell)
            if found:
                self.peers.send(message, found[-1])

    def _send_all(self, ip: str) -> None:
        """Tells a new instance which endpoints are cold.

        Each endpoint is announced by one instance, so that few messages are
        sent.
        """
        now_ms = self.clock.now_ms()
        for endpoint in self._listed():
            if not self.is_cold(endpoint, now_ms):
                continue
            ranked = base.rendezvous_rank(
                f"cold/{endpoint.id}", self.peers.staying()
            )
            # Two, since the new instance itself may be the first.
            if self.peers.name in ranked[:2]:
                self.peers.send(self._make_message(endpoint, now_ms), ip)

    def _handle_announced(
        self, message: _messages.EndpointCold, ip: str
    ) -> None:
        del ip
        if message.forward:
            message.forward = False
            for address in self.peers.addresses():
                self.peers.send(message, address)
        self.follow_state()
        if self._services and self._cold.record_announced(
            message.endpoint,
            message.born_ms,
            message.left_ms,
            self.clock.now_ms(),
        ):
            endpoint = self.platform_state.endpoints.get(message.endpoint)
            if endpoint is not None:
                self._log_cold(endpoint, message.sender)

    def _log_cold(self, endpoint: placement.Endpoint, source: str) -> None:
        left_ms = self._cold.left_ms(endpoint, self.clock.now_ms())
        self.metrics.count("endpoint_cold")
        self.log.write(
            observe.decisions.EndpointCold(
                endpoint.id,
                endpoint.born_ms,
                endpoint.zone,
                source,
                round(left_ms, 1),
            )
        )
