"""Permits for requests to endpoints that limit their rate."""

import itertools
import random
from typing import Any

from eventlet import event

from hollycart import observe
from hollycart.gateway import _failures
from hollycart.gateway import _messages
from hollycart.gateway import _notices
from hollycart.gateway import _peers
from hollycart_core import base
from hollycart_core import placement

# Time for which a reply is awaited, in ms: a few round trips between zones.
# Small beside the shortest target.
_REPLY_TIMEOUT_MS = 25.0
# Time for which an endpoint is not asked for again after its grantor was
# silent, in ms.
_SILENCE_MS = 250.0
# Shortest time for which an endpoint is not asked for again, in ms.
_MIN_WAIT_MS = 5.0
# Time after the sending of the query within which a permit must be used, in
# ms. Permits that are used late add to those of the present window.
_VALIDITY_MS = 500.0
# Number of the latest heard instances of another cell that are asked in turn.
_MAX_CONTACTS = 8
_QUERY_ID_BITS = 48
# A query that was forwarded once is answered or dropped.
_MAX_FORWARDS = 1


class PermitExchange:
    """Asks for permits, and grants them for the endpoints in its charge.

    For each endpoint that limits its rate, one instance of the endpoint's cell
    grants the permits of all instances: the first in the order of rendezvous
    hashing over the live ones. A request needs a permit before it is sent; a
    silent grantor grants nothing. An instance grants only while its view of the
    others is recent, so that one that was paused does not act on an old one.

    Args:
        peers: Exchange of datagrams with the other instances.
        notices: Limits that endpoints named.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time; it has to advance while the machine is suspended.
        rng: Source of randomness.

    Attributes:
        limits: Limits that are in force.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        notices: _notices.EndpointNotices,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.notices = notices
        self.limits = notices.limits
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self._permits = placement.RatePermits()
        self._available_ms: dict[str, float] = {}
        self._expiry_ms: dict[tuple[str, str], float] = {}
        self._awaited: dict[int, event.Event] = {}
        # A reply to a query of an earlier start must not match.
        self._query_ids = itertools.count(rng.getrandbits(_QUERY_ID_BITS))

    def subscribe(self) -> None:
        """Sets the handlers of queries, replies and announced limits."""
        self.peers.subscribe(_messages.PermitQuery, self._handle_query)
        self.peers.subscribe(_messages.PermitReply, self._handle_reply)
        self.peers.subscribe(_messages.EndpointLimited, self._handle_limited)

    def wait_ms(self, endpoint: placement.Endpoint, now_ms: float) -> float:
        """Returns the time until an endpoint may accept a request, in ms.

        Zero if it has no limit, and if only a query can tell.
        """
        available_ms = self._available_ms.get(endpoint.id)
        if available_ms is None or self.limits.find(endpoint) is None:
            return 0.0
        return max(0.0, available_ms - now_ms)

    def acquire(self, attempt_id: str, endpoint: placement.Endpoint) -> bool:
        """Acquires a permit for an attempt, unless it needs none or has one.

        Args:
            attempt_id: Id of the attempt.
            endpoint: The endpoint that the request is to be sent to.

        Returns:
            Whether the request may be sent. If not, `wait_ms` tells when to
            ask again.
        """
        limit = self.limits.find(endpoint)
        now_ms = self.clock.now_ms()
        if limit is None or self.holds(attempt_id, endpoint, now_ms):
            return True
        reply = self._ask(endpoint, limit, now_ms)
        granted = reply is not None and reply.granted
        if granted:
            self.record_granted(attempt_id, endpoint.id, now_ms)
            self.metrics.count("permit_granted")
            return True
        outcome = "no_reply" if reply is None else "denied"
        self.metrics.count(f"permit_{outcome}")
        answered_ms = self.clock.now_ms()
        wait_ms = reply.wait_ms if reply else _SILENCE_MS
        _remove_past(self._available_ms, answered_ms)
        self._available_ms[endpoint.id] = answered_ms + max(
            _MIN_WAIT_MS, wait_ms
        )
        self.log.write(
            observe.decisions.PermitRefused(
                attempt_id,
                endpoint.id,
                outcome,
                limit.per_s or 0.0,
                round(answered_ms - limit.received_ms, 1),
                round(self.wait_ms(endpoint, answered_ms), 1),
                round(answered_ms - now_ms, 1),
            )
        )
        return False

    def record_granted(
        self, attempt_id: str, endpoint_id: str, asked_ms: float
    ) -> None:
        """Records the permit of an attempt.

        Args:
            attempt_id: Id of the attempt.
            endpoint_id: Id of the endpoint.
            asked_ms: Instant at which the permit was asked for, by this
                instance or by the one that placed the attempt.
        """
        _remove_past(self._expiry_ms, self.clock.now_ms())
        self._expiry_ms[attempt_id, endpoint_id] = asked_ms + _VALIDITY_MS

    def holds(
        self, attempt_id: str, endpoint: placement.Endpoint, now_ms: float
    ) -> bool:
        """Returns whether an attempt holds a valid permit for an endpoint."""
        expiry_ms = self._expiry_ms.get((attempt_id, endpoint.id))
        return expiry_ms is not None and now_ms < expiry_ms

    def check_before_send(
        self, attempt_id: str, endpoint: placement.Endpoint
    ) -> None:
        """Checks just before the send that a permit is held, if one is needed.

        Raises:
            NotExecutedError: If the endpoint limits its rate, and the attempt
                has no permit or one that has expired.
        """
        now_ms = self.clock.now_ms()
        if self.limits.find(endpoint) is None:
            return
        if not self.holds(attempt_id, endpoint, now_ms):
            raise base.NotExecutedError(
                f"permit for {endpoint.id} has expired or was never granted",
                _failures.RETRY_AFTER_MS,
            )

    def release(self, attempt_id: str, endpoint: placement.Endpoint) -> None:
        """Forgets the permit of an attempt that has been sent or has failed."""
        self._expiry_ms.pop((attempt_id, endpoint.id), None)

    def return_after_ms(
        self,
        endpoints: list[placement.Endpoint],
        earliest_ms: float,
        now_ms: float,
    ) -> float:
        """Returns when a caller should return that was refused, in ms.

        The grantor of one of the endpoints plans the return, each of them for
        as many callers as its limit admits. Without a reply it is the earliest
        time.

        Args:
            endpoints: Endpoints of the service; none accepts a request now.
            earliest_ms: Time until the first of them does, in ms.
            now_ms: Current instant.
        """
        limits = [self.limits.find(e) for e in endpoints]
        rates = [limit.per_s or 0.0 for limit in limits if limit is not None]
        if len(rates) < len(endpoints) or sum(rates) <= 0.0:
            return earliest_ms
        (number,) = self.rng.choices(range(len(endpoints)), rates)
        endpoint, limit = endpoints[number], limits[number]
        assert limit is not None
        reply = self._ask(endpoint, limit, now_ms, refused=True)
        if reply is None:
            return earliest_ms
        return max(earliest_ms, reply.wait_ms)

    def _ask(
        self,
        endpoint: placement.Endpoint,
        limit: placement.RateStatement,
        now_ms: float,
        refused: bool = False,
    ) -> _messages.PermitReply | None:
        grantor_ip = self._grantor_ip(endpoint)
        query = _messages.PermitQuery(
            self.peers.name,
            next(self._query_ids),
            endpoint.zone,
            _messages.pack_limit(limit, now_ms),
            refused,
        )
        if grantor_ip == self.peers.ip:
            return self._decide(query)
        if grantor_ip is None:
            return None
        replied = event.Event()
        self._awaited[query.query_id] = replied
        self.peers.send(query, grantor_ip)
        try:
            reply: _messages.PermitReply | None = replied.wait(
                _REPLY_TIMEOUT_MS / 1000.0
            )
        finally:
            del self._awaited[query.query_id]
        return reply

    def _grantor_ip(self, endpoint: placement.Endpoint) -> str | None:
        """Returns the instance to ask, or None if there is none.

        In another cell any instance is asked, which forwards the query to the
        one that it knows to grant the permits.
        """
        if self.peers.book.is_in_cell(endpoint.zone):
            return self._grantor_in_cell(endpoint.id)
        for name, cell in self.peers.book.other_cells.items():
            if endpoint.zone in cell:
                contacts = self.peers.book.of_cell(name)[-_MAX_CONTACTS:]
                return self.rng.choice(contacts) if contacts else None
        return None

    def _grantor_in_cell(self, endpoint_id: str) -> str | None:
        names = self.peers.staying()
        first = base.rendezvous_rank(f"permits/{endpoint_id}", names)[0]
        if first == self.peers.name:
            return self.peers.ip
        return self.peers.ip_of(first)

    def _decide(
        self, query: _messages.PermitQuery
    ) -> _messages.PermitReply | None:
        """Returns the reply as the grantor of the endpoint's permits."""
        now_ms = self.clock.now_ms()
        if not self.peers.is_settled(now_ms):
            # Others may have granted while this instance was not running.
            self._permits.clear()
            return None
        stated = _messages.unpack_limit(query.limit, now_ms)
        self.notices.record_announced_limit(stated, query.sender)
        known = self.limits.latest(stated.endpoint) or stated
        granted, wait_ms = known.per_s is None, 0.0
        if known.per_s is not None and query.refused:
            wait_ms = self._permits.plan_return(
                known.endpoint, known.per_s, now_ms
            )
        elif known.per_s is not None:
            granted, wait_ms = self._permits.take(
                known.endpoint, known.per_s, now_ms
            )
        return _messages.PermitReply(
            self.peers.name,
            query.query_id,
            _messages.pack_limit(known, now_ms),
            granted,
            wait_ms,
        )

    def _handle_query(self, query: _messages.PermitQuery, ip: str) -> None:
        asker_ip = query.asker_ip or ip
        grantor_ip = (
            self._grantor_in_cell(query.limit.endpoint)
            if self.peers.book.is_in_cell(query.zone)
            else None
        )
        if grantor_ip == self.peers.ip:
            reply = self._decide(query)
            if reply is not None:
                self.peers.send(reply, asker_ip)
            return
        self._permits.drop(query.limit.endpoint)
        if grantor_ip is not None and query.forwards < _MAX_FORWARDS:
            query.asker_ip = asker_ip
            query.forwards += 1
            self.peers.send(query, grantor_ip)

    def _handle_reply(self, reply: _messages.PermitReply, ip: str) -> None:
        del ip
        self.notices.record_announced_limit(
            _messages.unpack_limit(reply.limit, self.clock.now_ms()),
            reply.sender,
        )
        replied = self._awaited.get(reply.query_id)
        if replied is not None and not replied.ready():
            replied.send(reply)

    def _handle_limited(
        self, message: _messages.EndpointLimited, ip: str
    ) -> None:
        del ip
        self.notices.record_announced_limit(
            _messages.unpack_limit(message.limit, self.clock.now_ms()),
            message.sender,
        )


def _remove_past(times_ms: dict[Any, float], now_ms: float) -> None:
    """Removes entries whose time has passed."""
    for key in [k for k, at_ms in times_ms.items() if at_ms <= now_ms]:
        del times_ms[key]
