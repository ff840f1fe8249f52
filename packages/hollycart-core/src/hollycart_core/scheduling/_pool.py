"""The scheduler of one pool: queue, permits and memory of its endpoints."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from hollycart_core import base
from hollycart_core.scheduling import _admission
from hollycart_core.scheduling import _endpoint
from hollycart_core.scheduling import _fair_queue
from hollycart_core.scheduling import _memory_hold
from hollycart_core.scheduling import _policy
from hollycart_core.scheduling import _prefix_index
from hollycart_core.scheduling import _types

DECODE_COST = 4.0  # prompt tokens of work per answer token
PERMIT_LIFETIME_MS = 4_500.0
_RATE_WINDOW_MS = 10_000.0
_GIVE_UP_INTERVAL_MS = 100.0
_MAX_EXAMINED = 16  # rows with a longer prompt that are compared
_REORDER_TOKENS = 200_000.0  # bound on the unfairness of going out of turn
_ANY_PRIORITY = 99  # below every priority level


class _Offer(NamedTuple):
    """A request that could be placed now, and where."""

    item: _fair_queue.QueuedRequest
    chosen: list[_policy.Candidate]
    cached_share: float


class Pool:
    """Orders the load of the endpoints of one model in one cell.

    All methods take the time and do no input or output. A permit only orders
    load: two owners of one pool at once cost quality, never correctness.

    Args:
        policy: The placement policy.

    Example:
        >>> import random
        >>> pool = Pool(_policy.SplitPolicy(random.Random(1)))
        >>> pool.set_endpoints([_types.EndpointInfo("e", "h:1", 9000)])
        >>> ask = _types.PermitRequest("1", "i", "t", "k", 1, 0, 99, 9, 5e3)
        >>> pool.submit(ask, now_ms=0.0)
        []
        >>> [answer.endpoint_ids for answer in pool.dispatch(now_ms=0.0)]
        [('e',)]
    """

    def __init__(self, policy: _policy.PlacementPolicy) -> None:
        self.policy = policy
        self.queue = _fair_queue.FairQueue()
        self.index = _prefix_index.PrefixIndex()
        self.endpoint_loads: dict[str, _endpoint.EndpointLoad] = {}
        self._hold = _memory_hold.MemoryHold()
        self._admission = _admission.Admission(policy, self.queue)
        self._live: dict[str, _types.LivePermit] = {}
        self._expires: dict[str, float] = {}
        self._running: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._short_tokens: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._short_sum = 0
        self._gave_up_ms = -_GIVE_UP_INTERVAL_MS

    @property
    def live_permits(self) -> dict[str, _types.LivePermit]:
        """Live permits by id."""
        return self._live

    def set_endpoints(self, infos: Iterable[_types.EndpointInfo]) -> None:
        """Replaces the endpoints; accounts of those that stay are kept."""
        wanted = {info.endpoint_id: info for info in infos}
        for gone in set(self.endpoint_loads) - set(wanted):
            del self.endpoint_loads[gone]
            self.index.forget_endpoint(gone)
        for endpoint_id, info in wanted.items():
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is None:
                endpoint_load = _endpoint.EndpointLoad(info)
                self.endpoint_loads[endpoint_id] = endpoint_load
                self._restore(endpoint_load)
            endpoint_load.info = info

    def submit(
        self, req: _types.PermitRequest, now_ms: float
    ) -> list[_types.Refusal]:
        """Queues a request or refuses it at once.

        Returns:
            The refusal, if any; a queued request is answered by `dispatch`.
        """
        refusal = self._admission.check(
            req, self.endpoint_loads.values(), now_ms
        )
        if refusal is not None:
            return [refusal]
        if req.is_short:
            self._short_tokens.append((now_ms, req.prompt_tokens))
            self._short_sum += req.prompt_tokens
        item = _fair_queue.QueuedRequest(
            req, _work(req), now_ms + req.time_left_ms, now_ms
        )
        self.queue.push(item)
        return []

    def dispatch(self, now_ms: float) -> list[_types.Answer]:
        """Places waiting requests and gives up on those out of time.

        Returns:
            Permits and refusals in the order of the decisions.
        """
        answers: list[_types.Answer] = list(self._give_up(now_ms))
        while self.queue.length:
            offer = self._next_offer(now_ms)
            if offer is None:
                break
            self.queue.take(offer.item)
            self._hold.release(offer.item.req.permit_id)
            answers.append(self._grant(offer.item.req, offer.chosen, now_ms))
        return answers

    def cancel(self, permit_id: str) -> None:
        """Forgets a waiting request."""
        self._hold.release(permit_id)
        self.queue.remove_if(lambda item: item.req.permit_id == permit_id)

    def mark_first_token(
        self, permit_id: str, cached_tokens: int, now_ms: float
    ) -> None:
        """Notes that the first token of a permit has been seen."""
        live = self._live.get(permit_id)
        if live is None or live.first_token_seen:
            return
        self._live[permit_id] = live._replace(first_token_seen=True)
        for endpoint_id in live.permit.endpoint_ids:
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is None:
                continue
            endpoint_load.mark_first_token(permit_id, now_ms)
            if len(live.permit.endpoint_ids) == 1:
                self.index.correct(
                    endpoint_id,
                    live.request.prefix_hashes,
                    cached_tokens,
                    now_ms,
                )

    def release(self, permit_id: str, now_ms: float) -> None:
        """Ends a permit; unknown ids are ignored."""
        live = self._live.pop(permit_id, None)
        self._expires.pop(permit_id, None)
        if live is None:
            return
        self._running[live.request.team, live.request.kind] -= 1
        for endpoint_id in live.permit.endpoint_ids:
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is not None:
                endpoint_load.remove(permit_id, now_ms)

    def renew_permits(
        self, lives: Iterable[_types.LivePermit], now_ms: float
    ) -> None:
        """Renews permits; those of a former owner are taken over."""
        for live in lives:
            permit_id = live.permit.permit_id
            self._expires[permit_id] = now_ms + PERMIT_LIFETIME_MS
            if permit_id not in self._live:
                self._add(live, now_ms)
            elif live.first_token_seen:
                self.mark_first_token(
                    permit_id, live.permit.cached_tokens, now_ms
                )

    def expire(self, now_ms: float) -> list[str]:
        """Ends permits that were not renewed and returns their ids."""
        lapsed = [k for k, at in self._expires.items() if at <= now_ms]
        for permit_id in lapsed:
            self.release(permit_id, now_ms)
        return lapsed

    def reconcile(
        self, report: _types.EndpointReport, now_ms: float
    ) -> list[str]:
        """Corrects an account by the endpoint's report.

        Returns:
            Attempt ids held by the endpoint without a permit.
        """
        endpoint_load = self.endpoint_loads.get(report.endpoint_id)
        if endpoint_load is None:
            return []
        return endpoint_load.reconcile(report, now_ms)

    def _give_up(self, now_ms: float) -> list[_types.Refusal]:
        if not self.policy.queues:
            return []
        if now_ms - self._gave_up_ms < _GIVE_UP_INTERVAL_MS:
            return []
        self._gave_up_ms = now_ms
        endpoint_loads = self.endpoint_loads.values()
        late = self.queue.remove_if(
            lambda i: (
                now_ms + _admission.service_ms(i.req, endpoint_loads)
                > i.deadline_ms
            )
        )
        for item in late:
            self._hold.release(item.req.permit_id)
        retry_ms = self._admission.retry_after_ms(endpoint_loads)
        return [
            _types.Refusal(i.req.permit_id, "overloaded", retry_ms)
            for i in late
        ]

    def _next_offer(self, now_ms: float) -> _Offer | None:
        """Returns what to place next.

        Short requests go in the order of the queue. Among the others that
        are nearly due, the one with the largest share of its prompt in the
        cache of an endpoint that is free now goes first.
        """
        best: _Offer | None = None
        endpoint_loads = self.endpoint_loads.values()
        for endpoint_load in endpoint_loads:
            endpoint_load.advance(now_ms)
        room = self.policy.has_room_for_medium(
            endpoint_loads, self._load(now_ms)
        )
        examined = 0
        for head in self.queue.heads():
            if best is not None and head.lag > _REORDER_TOKENS:
                break
            band = head.item.req.size_band
            if band == 1 and not room:
                continue
            examined += band > 0
            if band > 0 and examined > _MAX_EXAMINED:
                continue
            offer = self._offer(head.item, now_ms)
            if offer is None:
                continue
            if head.item.req.is_short:
                return offer
            if best is None or offer.cached_share > best.cached_share:
                best = offer
        return best

    def _offer(
        self, item: _fair_queue.QueuedRequest, now_ms: float
    ) -> _Offer | None:
        req = item.req
        if self._running[req.team, req.kind] >= req.max_running:
            return None
        shares = _admission.share_count(req, self.endpoint_loads.values())
        need = -(-req.memory_tokens // shares)
        candidates = self._candidates(req, need, now_ms)
        if len(candidates) < shares:
            self._hold.consider(item, self._usable(req), shares, need, now_ms)
            return None
        if shares > 1:
            return _Offer(item, _choose_shares(candidates, shares), 0.0)
        chosen = self.policy.choose(req, candidates, self._load(now_ms))
        if chosen is None:
            return None
        return _Offer(item, [chosen], chosen.cached_tokens / req.prompt_tokens)

    def _usable(
        self, req: _types.PermitRequest
    ) -> list[_endpoint.EndpointLoad]:
        """Returns endpoints that may take a request.

        Endpoints that failed it are avoided unless the others are too few.
        """
        staying = [
            a for a in self.endpoint_loads.values() if not a.info.leaving
        ]
        others = [a for a in staying if a.info.endpoint_id not in req.excluded]
        shares = _admission.share_count(req, self.endpoint_loads.values())
        return others if len(others) >= shares else staying

    def _candidates(
        self, req: _types.PermitRequest, need: int, now_ms: float
    ) -> list[_policy.Candidate]:
        found = []
        for endpoint_load in self._usable(req):
            if self.policy.queues and endpoint_load.free_tokens < need:
                continue
            if not self._hold.allows(req, endpoint_load, need):
                continue
            endpoint_load.advance(now_ms)
            hit = self.index.match(
                endpoint_load.info.endpoint_id, req.prefix_hashes, now_ms
            )
            found.append(
                _policy.Candidate(endpoint_load, min(hit, req.prompt_tokens))
            )
        return found

    def _grant(
        self,
        req: _types.PermitRequest,
        chosen: list[_policy.Candidate],
        now_ms: float,
    ) -> _types.Permit:
        permit = _types.Permit(
            req.permit_id,
            tuple(c.endpoint_load.info.endpoint_id for c in chosen),
            self.policy.engine_priority(req),
            min(c.cached_tokens for c in chosen),
        )
        base.check_invariant(
            "pool.no_grant_to_leaving",
            not any(c.endpoint_load.info.leaving for c in chosen),
            req.permit_id,
        )
        self._add(_types.LivePermit(req, permit, False), now_ms)
        self._expires[req.permit_id] = now_ms + PERMIT_LIFETIME_MS
        if len(permit.endpoint_ids) == 1:
            self.index.add(permit.endpoint_ids[0], req.prefix_hashes, now_ms)
        for endpoint_id in permit.endpoint_ids:
            free = self.endpoint_loads[endpoint_id].free_tokens
            self.index.shrink(endpoint_id, free)
        return permit

    def _add(self, live: _types.LivePermit, now_ms: float) -> None:
        permit_id = live.permit.permit_id
        base.check_invariant(
            "pool.permit_once", permit_id not in self._live, permit_id
        )
        self._live[permit_id] = live
        self._running[live.request.team, live.request.kind] += 1
        for endpoint_id in live.permit.endpoint_ids:
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is not None:
                endpoint_load.add(live, live.permit.cached_tokens, now_ms)

    def _restore(self, endpoint_load: _endpoint.EndpointLoad) -> None:
        endpoint_id = endpoint_load.info.endpoint_id
        for live in self._live.values():
            if endpoint_id in live.permit.endpoint_ids:
                endpoint_load.add(live, live.permit.cached_tokens, 0.0)

    def _load(self, now_ms: float) -> _policy.PoolLoad:
        window = self._short_tokens
        while window and window[0][0] < now_ms - _RATE_WINDOW_MS:
            self._short_sum -= window.popleft()[1]
        usable = [a for a in self.endpoint_loads.values() if not a.info.leaving]
        rate = sum(a.rate for a in usable) / max(1, len(usable))
        return _policy.PoolLoad(
            self._short_sum / _RATE_WINDOW_MS, len(usable), rate
        )


def _work(req: _types.PermitRequest) -> float:
    return req.prompt_tokens + DECODE_COST * req.output_tokens


def _choose_shares(
    candidates: list[_policy.Candidate], shares: int
) -> list[_policy.Candidate]:
    """Returns the endpoints with the least prefill, in one fixed order."""
    candidates.sort(key=lambda c: c.endpoint_load.prefill_ahead(_ANY_PRIORITY))
    chosen = candidates[:shares]
    chosen.sort(key=lambda c: c.endpoint_load.info.endpoint_id)
    return chosen
