"""Permits for requests to endpoints that limit their rate."""

from collections.abc import Sequence
import itertools
import random
from typing import Any

from eventlet import event

from hollycart import observe
from hollycart.gateway import _failures
from hollycart.gateway import _grantor
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
# Age of the statement in queries for an endpoint that has named no limit, in
# ms: older than all others, so that it changes nothing where it is received.
_NO_STATEMENT_AGE_MS = 1e9


class PermitExchange:
    """Asks for permits, and grants them for the endpoints in its charge.

    For each endpoint that limits its rate, one instance of the endpoint's cell
    grants the permits of all instances: the first in the order of rendezvous
    hashing over the live ones. A request needs a permit before it is sent; a
    silent grantor grants nothing. An instance grants only while its view of the
    others is recent, so that one that was paused does not act on an old one.

    A cold endpoint is limited in the same way; if it has also named a limit,
    the lower of the two counts. Its grantor has to hear more than half of the
    cell, so that no two parts of a divided cell both grant. If the share of
    each instance is large enough, no permits are needed for it.

    Args:
        peers: Exchange of datagrams with the other instances.
        notices: Limits that endpoints named.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time; it has to advance while the machine is suspended.
        rng: Source of randomness.

    Attributes:
        limits: Limits that are in force.
        grantor: Decides as the grantor of the endpoints in its charge.
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
        self.grantor = _grantor.PermitGrantor(peers, notices, clock)
        self._shares = placement.LocalShares()
        self._returns = placement.RatePermits()
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
        rate = self.notices.cold_rate(endpoint, now_ms)
        share_ms = 0.0
        if rate is not None and rate.share:
            share_ms = self._shares.wait_ms(endpoint.id, rate.share, now_ms)
        available_ms = self._available_ms.get(endpoint.id)
        if available_ms is None or not self.needs_permit(endpoint):
            return share_ms
        return max(share_ms, available_ms - now_ms)

    def needs_permit(self, endpoint: placement.Endpoint) -> bool:
        """Returns whether a request to an endpoint needs a permit."""
        if self.limits.find(endpoint) is not None:
            return True
        rate = self.notices.cold_rate(endpoint, self.clock.now_ms())
        return rate is not None and not rate.share

    def acquire(self, attempt_id: str, endpoint: placement.Endpoint) -> bool:
        """Acquires a permit for an attempt, unless it needs none or has one.

        Args:
            attempt_id: Id of the attempt.
            endpoint: The endpoint that the request is to be sent to.

        Returns:
            Whether the request may be sent. If not, `wait_ms` tells when to
            ask again.
        """
        now_ms = self.clock.now_ms()
        limit = self.limits.find(endpoint)
        rate = self.notices.cold_rate(endpoint, now_ms)
        if (
            rate is not None
            and rate.share
            and not self._shares.take(
                endpoint.id, attempt_id, rate.share, now_ms
            )
        ):
            self.metrics.count("cold_permit_share")
            self._log_refused(attempt_id, endpoint, "share", now_ms)
            return False
        if limit is None and (rate is None or rate.share):
            return True
        if self.holds(attempt_id, endpoint, now_ms):
            return True
        reply = self._ask(
            endpoint, limit, now_ms, cold_per_s=rate.per_s if rate else 0.0
        )
        if reply is not None and reply.granted:
            self.record_granted(attempt_id, endpoint.id, now_ms)
            self.metrics.count("permit_granted")
            return True
        outcome = "no_reply" if reply is None else "denied"
        self.metrics.count(f"permit_{outcome}")
        if rate is not None:
            self.metrics.count(f"cold_permit_{outcome}")
        self._shares.release(endpoint.id, attempt_id)
        answered_ms = self.clock.now_ms()
        wait_ms = max(_MIN_WAIT_MS, reply.wait_ms if reply else _SILENCE_MS)
        _remove_past(self._available_ms, answered_ms)
        self._available_ms[endpoint.id] = answered_ms + wait_ms
        self._log_refused(attempt_id, endpoint, outcome, now_ms)
        return False

    def _log_refused(
        self,
        attempt_id: str,
        endpoint: placement.Endpoint,
        outcome: str,
        asked_ms: float,
    ) -> None:
        now_ms = self.clock.now_ms()
        limit = self.limits.find(endpoint)
        rate = self.notices.cold_rate(endpoint, now_ms)
        rates = [limit.per_s or 0.0] if limit is not None else []
        if rate is not None:
            rates.append(rate.per_s)
        self.log.write(
            observe.decisions.PermitRefused(
                attempt_id,
                endpoint.id,
                outcome,
                min(rates, default=0.0),
                round(now_ms - limit.received_ms, 1) if limit else 0.0,
                round(self.wait_ms(endpoint, now_ms), 1),
                round(now_ms - asked_ms, 1),
                rate is not None,
            )
        )

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
        self,
        attempt_id: str,
        endpoint: placement.Endpoint,
        helpers: Sequence[placement.Endpoint] = (),
    ) -> None:
        """Checks just before the send that a permit is held, if one is needed.

        Args:
            attempt_id: Id of the attempt.
            endpoint: The primary.
            helpers: Endpoints that get parts of the prompt.

        Raises:
            NotExecutedError: If the endpoint limits its rate or is cold, and
                the attempt has no permit or one that has expired.
            HelperRejectedError: If a helper has become cold.
        """
        now_ms = self.clock.now_ms()
        for helper in helpers:
            if self.notices.is_cold(helper, now_ms):
                raise _failures.HelperRejectedError(
                    f"{helper.id} has become cold", helper.id
                )
        rate = self.notices.cold_rate(endpoint, now_ms)
        permitted = not self.needs_permit(endpoint) or self.holds(
            attempt_id, endpoint, now_ms
        )
        if permitted and rate is not None and rate.share:
            permitted = self._shares.send(endpoint.id, attempt_id, now_ms)
        if not permitted:
            raise base.NotExecutedError(
                f"permit for {endpoint.id} has expired or was never granted",
                _failures.RETRY_AFTER_MS,
            )

    def release(self, attempt_id: str, endpoint: placement.Endpoint) -> None:
        """Forgets the permit of an attempt that was sent or has failed."""
        self._expiry_ms.pop((attempt_id, endpoint.id), None)
        self._shares.release(endpoint.id, attempt_id)

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
        cold = [self.notices.cold_rate(e, now_ms) for e in endpoints]
        rates = [
            min(
                limit.per_s or 0.0 if limit else float("inf"),
                rate.share or rate.per_s if rate else float("inf"),
            )
            for limit, rate in zip(limits, cold, strict=True)
            if limit is not None or rate is not None
        ]
        if len(rates) < len(endpoints) or sum(rates) <= 0.0:
            return earliest_ms
        (number,) = self.rng.choices(range(len(endpoints)), rates)
        endpoint, limit, rate = endpoints[number], limits[number], cold[number]
        if limit is None and rate is not None and rate.share:
            wait_ms = self._returns.plan_return(
                endpoint.id, float(rate.share), now_ms
            )
            return max(earliest_ms, wait_ms)
        reply = self._ask(
            endpoint,
            limit,
            now_ms,
            refused=True,
            cold_per_s=rate.per_s if rate else 0.0,
        )
        if reply is None:
            return earliest_ms
        return max(earliest_ms, reply.wait_ms)

    def _ask(
        self,
        endpoint: placement.Endpoint,
        limit: placement.RateStatement | None,
        now_ms: float,
        refused: bool = False,
        cold_per_s: float = 0.0,
    ) -> _messages.PermitReply | None:
        grantor_ip = self._grantor_ip(endpoint)
        if limit is None:
            stated_ms = now_ms - _NO_STATEMENT_AGE_MS
            limit = placement.RateStatement(
                endpoint.id, endpoint.born_ms, None, stated_ms, stated_ms
            )
        query = _messages.PermitQuery(
            self.peers.name,
            next(self._query_ids),
            endpoint.zone,
            _messages.pack_limit(limit, now_ms),
            refused,
            cold_per_s=cold_per_s,
        )
        if grantor_ip == self.peers.ip:
            return self.grantor.decide(query)
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
        first = base.rendezvous_rank(_grantor.duty_key(endpoint_id), names)[0]
        if first == self.peers.name:
            return self.peers.ip
        return self.peers.ip_of(first)

    def _handle_query(self, query: _messages.PermitQuery, ip: str) -> None:
        asker_ip = query.asker_ip or ip
        grantor_ip = (
            self._grantor_in_cell(query.limit.endpoint)
            if self.peers.book.is_in_cell(query.zone)
            else None
        )
        if grantor_ip == self.peers.ip:
            reply = self.grantor.decide(query)
            if reply is not None:
                self.peers.send(reply, asker_ip)
            return
        self.grantor.drop(query.limit.endpoint)
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
