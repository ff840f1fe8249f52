"""The scheduler of one pool: queue, permits and memory of the endpoints."""

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

DECODE_COST = 4.0  # cost of an output token, in prompt tokens
PERMIT_LIFETIME_MS = 4_500.0
_ARRIVAL_RATE_WINDOW_MS = 10_000.0
_DEADLINE_CHECK_INTERVAL_MS = 100.0
# Bound on the rows whose medium or long prompts are compared for a placement.
# It limits the work of the owner when many rows have queued requests.
_MAX_COMPARED_ROWS = 16
# Bound on the unfairness of serving a row with a cached prefix before the row
# that is due, in tokens of work divided by weight.
_MAX_REORDER_LEAD = 200_000.0
_LOWEST_PRIORITY = 99  # less urgent than every priority level in use


class _PlacementOption(NamedTuple):
    """A queued request that can be placed now.

    Attributes:
        item: The request.
        chosen: The endpoints for it, in the order of the permit.
        cached_share: Part of the prompt that is expected in the prefix cache.
    """

    item: _fair_queue.QueuedRequest
    chosen: list[_policy.Candidate]
    cached_share: float


class Pool:
    """Schedules requests on the endpoints of one model in one cell.

    The methods do no input or output and take the time as an argument. A
    permit only shapes load: two concurrent owners of a pool degrade placement
    but never correctness.

    Args:
        policy: The placement policy.

    Example:
        >>> import random
        >>> pool = Pool(_policy.SplitPolicy(random.Random(1)))
        >>> pool.set_endpoints([_types.EndpointInfo("e", "h:1", 9000)])
        >>> req = _types.PermitRequest("1", "i", "t", "k", 1, 0, 99, 9, 5e3)
        >>> pool.submit(req, now_ms=0.0)
        []
        >>> [permit.endpoint_ids for permit in pool.dispatch(now_ms=0.0)]
        [('e',)]
    """

    def __init__(self, policy: _policy.PlacementPolicy) -> None:
        self.policy = policy
        self.queue = _fair_queue.FairQueue()
        self.index = _prefix_index.PrefixIndex()
        self.endpoint_loads: dict[str, _endpoint.EndpointLoad] = {}
        self._hold = _memory_hold.MemoryHold()
        self._admission = _admission.Admission(policy, self.queue)
        self._live_permits: dict[str, _types.LivePermit] = {}
        self._expiry_ms: dict[str, float] = {}
        self._running_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._short_arrivals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._short_arrival_tokens = 0
        self._deadline_check_ms = -_DEADLINE_CHECK_INTERVAL_MS

    @property
    def live_permits(self) -> dict[str, _types.LivePermit]:
        """Live permits by permit id."""
        return self._live_permits

    def set_endpoints(self, infos: Iterable[_types.EndpointInfo]) -> None:
        """Replaces the endpoints; the loads of those that remain are kept."""
        wanted = {info.endpoint_id: info for info in infos}
        for removed_id in set(self.endpoint_loads) - set(wanted):
            del self.endpoint_loads[removed_id]
            self.index.remove_endpoint(removed_id)
        for endpoint_id, info in wanted.items():
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is None:
                endpoint_load = _endpoint.EndpointLoad(info)
                self.endpoint_loads[endpoint_id] = endpoint_load
                self._restore_permits(endpoint_load)
            endpoint_load.info = info

    def submit(
        self, req: _types.PermitRequest, now_ms: float
    ) -> list[_types.Refusal]:
        """Queues a request, or refuses it on arrival.

        Returns:
            The refusal, if any. `dispatch` decides on a queued request later.
        """
        refusal = self._admission.check(
            req, self.endpoint_loads.values(), now_ms
        )
        if refusal is not None:
            return [refusal]
        if req.is_short:
            self._short_arrivals.append((now_ms, req.prompt_tokens))
            self._short_arrival_tokens += req.prompt_tokens
        item = _fair_queue.QueuedRequest(
            req, _work_tokens(req), now_ms + req.time_left_ms, now_ms
        )
        self.queue.push(item)
        return []

    def dispatch(self, now_ms: float) -> list[_types.PermitDecision]:
        """Places queued requests and refuses those that run out of time.

        Returns:
            Permits and refusals, in the order of the decisions.
        """
        decisions: list[_types.PermitDecision] = list(
            self._refuse_late_requests(now_ms)
        )
        while self.queue.length:
            option = self._next_option(now_ms)
            if option is None:
                break
            self.queue.dequeue(option.item)
            self._hold.release(option.item.req.permit_id)
            decisions.append(
                self._grant(option.item.req, option.chosen, now_ms)
            )
        return decisions

    def cancel(self, permit_id: str) -> None:
        """Removes a queued request; unknown ids are ignored."""
        self._hold.release(permit_id)
        self.queue.remove_if(lambda item: item.req.permit_id == permit_id)

    def mark_first_token(
        self, permit_id: str, cached_tokens: int, now_ms: float
    ) -> None:
        """Records the first token of a permit, which ends its prefill."""
        live_permit = self._live_permits.get(permit_id)
        if live_permit is None or live_permit.first_token_seen:
            return
        self._live_permits[permit_id] = live_permit._replace(
            first_token_seen=True
        )
        for endpoint_id in live_permit.permit.endpoint_ids:
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is None:
                continue
            endpoint_load.mark_first_token(permit_id, now_ms)
            if len(live_permit.permit.endpoint_ids) == 1:
                self.index.record_hit(
                    endpoint_id,
                    live_permit.request.prefix_hashes,
                    cached_tokens,
                    now_ms,
                )

    def release(self, permit_id: str, now_ms: float) -> None:
        """Ends a permit; unknown ids are ignored."""
        live_permit = self._live_permits.pop(permit_id, None)
        self._expiry_ms.pop(permit_id, None)
        if live_permit is None:
            return
        self._running_counts[
            live_permit.request.team, live_permit.request.kind
        ] -= 1
        for endpoint_id in live_permit.permit.endpoint_ids:
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is not None:
                endpoint_load.remove(permit_id, now_ms)

    def renew_permits(
        self, renewed: Iterable[_types.LivePermit], now_ms: float
    ) -> None:
        """Renews permits and adds those granted by a former owner.

        Args:
            renewed: Live permits reported by an instance.
            now_ms: Monotonic time, in ms.
        """
        for live_permit in renewed:
            permit_id = live_permit.permit.permit_id
            self._expiry_ms[permit_id] = now_ms + PERMIT_LIFETIME_MS
            if permit_id not in self._live_permits:
                self._add_permit(live_permit, now_ms)
            elif live_permit.first_token_seen:
                self.mark_first_token(
                    permit_id, live_permit.permit.cached_tokens, now_ms
                )

    def expire(self, now_ms: float) -> list[str]:
        """Releases permits that were not renewed in time.

        Returns:
            Ids of the expired permits.
        """
        expired_ids = [
            k for k, expiry_ms in self._expiry_ms.items() if expiry_ms <= now_ms
        ]
        for permit_id in expired_ids:
            self.release(permit_id, now_ms)
        return expired_ids

    def reconcile(
        self, report: _types.EndpointReport, now_ms: float
    ) -> list[str]:
        """Corrects the load of an endpoint by the endpoint's report.

        Returns:
            Ids of attempts that hold memory at the endpoint without a permit.
        """
        endpoint_load = self.endpoint_loads.get(report.endpoint_id)
        if endpoint_load is None:
            return []
        return endpoint_load.reconcile(report, now_ms)

    def _refuse_late_requests(self, now_ms: float) -> list[_types.Refusal]:
        if not self.policy.queues_requests:
            return []
        if now_ms - self._deadline_check_ms < _DEADLINE_CHECK_INTERVAL_MS:
            return []
        self._deadline_check_ms = now_ms
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

    def _next_option(self, now_ms: float) -> _PlacementOption | None:
        """Returns the request to place next, or None if none can be placed.

        Short requests are placed in the order of the queue. Among the other
        requests within `_MAX_REORDER_LEAD` of the due row, the one with the
        largest cached share of its prompt on a free endpoint goes first.
        """
        best: _PlacementOption | None = None
        endpoint_loads = self.endpoint_loads.values()
        for endpoint_load in endpoint_loads:
            endpoint_load.advance(now_ms)
        has_room = self.policy.has_room_for_medium(
            endpoint_loads, self._pool_load(now_ms)
        )
        num_compared = 0
        for head in self.queue.heads():
            if best is not None and head.lead > _MAX_REORDER_LEAD:
                break
            head_class = head.item.req.size_class
            if head_class == 1 and not has_room:
                continue
            num_compared += head_class > 0
            if head_class > 0 and num_compared > _MAX_COMPARED_ROWS:
                continue
            option = self._find_option(head.item, now_ms)
            if option is None:
                continue
            if head.item.req.is_short:
                return option
            if best is None or option.cached_share > best.cached_share:
                best = option
        return best

    def _find_option(
        self, item: _fair_queue.QueuedRequest, now_ms: float
    ) -> _PlacementOption | None:
        req = item.req
        if self._running_counts[req.team, req.kind] >= req.max_running:
            return None
        shares = _admission.share_count(req, self.endpoint_loads.values())
        need_tokens = -(-req.memory_tokens // shares)
        candidates = self._candidates(req, need_tokens, now_ms)
        if len(candidates) < shares:
            self._hold.try_hold(
                item, self._eligible_endpoints(req), shares, need_tokens, now_ms
            )
            return None
        if shares > 1:
            return _PlacementOption(
                item, _choose_share_endpoints(candidates, shares), 0.0
            )
        chosen = self.policy.choose(req, candidates, self._pool_load(now_ms))
        if chosen is None:
            return None
        return _PlacementOption(
            item, [chosen], chosen.cached_tokens / req.prompt_tokens
        )

    def _eligible_endpoints(
        self, req: _types.PermitRequest
    ) -> list[_endpoint.EndpointLoad]:
        """Returns the endpoints that may serve a request.

        Endpoints that failed earlier attempts of the request are excluded
        unless too few others remain.
        """
        available = [
            e for e in self.endpoint_loads.values() if not e.info.leaving
        ]
        not_excluded = [
            e for e in available if e.info.endpoint_id not in req.excluded
        ]
        shares = _admission.share_count(req, self.endpoint_loads.values())
        return not_excluded if len(not_excluded) >= shares else available

    def _candidates(
        self, req: _types.PermitRequest, need_tokens: int, now_ms: float
    ) -> list[_policy.Candidate]:
        found = []
        for endpoint_load in self._eligible_endpoints(req):
            if (
                self.policy.queues_requests
                and endpoint_load.free_tokens < need_tokens
            ):
                continue
            if not self._hold.allows(req, endpoint_load, need_tokens):
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
        self._add_permit(_types.LivePermit(req, permit, False), now_ms)
        self._expiry_ms[req.permit_id] = now_ms + PERMIT_LIFETIME_MS
        if len(permit.endpoint_ids) == 1:
            self.index.add(permit.endpoint_ids[0], req.prefix_hashes, now_ms)
        for endpoint_id in permit.endpoint_ids:
            free = self.endpoint_loads[endpoint_id].free_tokens
            self.index.shrink(endpoint_id, free)
        return permit

    def _add_permit(
        self, live_permit: _types.LivePermit, now_ms: float
    ) -> None:
        permit_id = live_permit.permit.permit_id
        base.check_invariant(
            "pool.permit_once", permit_id not in self._live_permits, permit_id
        )
        self._live_permits[permit_id] = live_permit
        self._running_counts[
            live_permit.request.team, live_permit.request.kind
        ] += 1
        for endpoint_id in live_permit.permit.endpoint_ids:
            endpoint_load = self.endpoint_loads.get(endpoint_id)
            if endpoint_load is not None:
                endpoint_load.add(
                    live_permit, live_permit.permit.cached_tokens, now_ms
                )

    def _restore_permits(self, endpoint_load: _endpoint.EndpointLoad) -> None:
        endpoint_id = endpoint_load.info.endpoint_id
        for live_permit in self._live_permits.values():
            if endpoint_id in live_permit.permit.endpoint_ids:
                endpoint_load.add(
                    live_permit, live_permit.permit.cached_tokens, 0.0
                )

    def _pool_load(self, now_ms: float) -> _policy.PoolLoad:
        window = self._short_arrivals
        while window and window[0][0] < now_ms - _ARRIVAL_RATE_WINDOW_MS:
            self._short_arrival_tokens -= window.popleft()[1]
        eligible = [
            e for e in self.endpoint_loads.values() if not e.info.leaving
        ]
        rate = sum(e.prefill_tokens_per_ms for e in eligible) / max(
            1, len(eligible)
        )
        return _policy.PoolLoad(
            self._short_arrival_tokens / _ARRIVAL_RATE_WINDOW_MS,
            len(eligible),
            rate,
        )


def _work_tokens(req: _types.PermitRequest) -> float:
    return req.prompt_tokens + DECODE_COST * req.output_tokens


def _choose_share_endpoints(
    candidates: list[_policy.Candidate], shares: int
) -> list[_policy.Candidate]:
    """Returns endpoints with the least pending prefill, ordered by id."""
    candidates.sort(
        key=lambda c: c.endpoint_load.prefill_ahead(_LOWEST_PRIORITY)
    )
    chosen = candidates[:shares]
    chosen.sort(key=lambda c: c.endpoint_load.info.endpoint_id)
    return chosen
