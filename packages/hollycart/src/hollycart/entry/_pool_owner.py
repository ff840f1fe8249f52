"""The owner's side of permits: one pool per model of the cell."""

import random

import eventlet
from eventlet import event

from hollycart import endpoints
from hollycart import observe
from hollycart import peers
from hollycart.entry import _directory
from hollycart_core import base
from hollycart_core import membership
from hollycart_core import scheduling

_ORPHAN_GRACE_MS = 1_000.0
_HOLDER_GONE_MS = 2_500.0
_IDLE_REPORT_MS = 2_500.0
_MAX_LAPSED = 10_000  # permits
_CONFIRM_TIMEOUT_MS = 1_000
_REPORT_WORKERS = 8


class PoolOwner:
    """Runs the pools that other instances ask for permits.

    Args:
        policy_name: Placement policy.
        short_utilization: Setting of the `split` policy.
        directory: Instances and endpoints.
        engine_client: Speaks to engines.
        peer_client: Calls other instances.
        clock: Source of time.
        metrics: Counters.
        rng: Breaks ties.
    """

    def __init__(
        self,
        policy_name: str,
        short_utilization: float,
        directory: _directory.Directory,
        engine_client: endpoints.EngineClient,
        peer_client: peers.PeerClient,
        clock: base.Clock,
        metrics: observe.Metrics,
        rng: random.Random,
    ) -> None:
        self.policy_name = policy_name
        self.short_utilization = short_utilization
        self.directory = directory
        self.engine_client = engine_client
        self.peer_client = peer_client
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.pools: dict[str, scheduling.Pool] = {}
        self._waiters: dict[str, event.Event] = {}
        self._read_ms: dict[str, float] = {}
        self._lapsed: dict[str, float] = {}
        self._orphan_since: dict[tuple[str, str], float] = {}

    def handle_acquire(
        self, message: peers.AcquireMessage
    ) -> peers.AcquireReply:
        """Answers a request for a permit; waits while it is queued."""
        req = message.request
        pool = self._pool(message.model)
        if not pool.endpoint_loads:
            return peers.AcquireReply(None, (), "not_found", 0.0)
        now_ms = self.clock.now_ms()
        refusals = pool.submit(req, now_ms)
        if refusals:
            self.metrics.count(f"permit.refused.{refusals[0].code}")
            return _refused(refusals[0])
        waiter = event.Event()
        self._waiters[req.permit_id] = waiter
        try:
            self._dispatch(pool)
            answer = waiter.wait(timeout=req.time_left_ms / 1000.0)
        finally:
            del self._waiters[req.permit_id]
        if answer is None:
            pool.cancel(req.permit_id)
            self.metrics.count("permit.timeout")
            return peers.AcquireReply(None, (), "deadline_exceeded", 1000.0)
        if isinstance(answer, scheduling.Refusal):
            self.metrics.count(f"permit.refused.{answer.code}")
            return _refused(answer)
        return self._granted(pool, answer)

    def handle_report(self, message: peers.ReportMessage) -> peers.Empty:
        """Takes news of permits."""
        pool = self._pool(message.model)
        now_ms = self.clock.now_ms()
        pool.renew_permits(message.live_permits, now_ms)
        for first in message.first_tokens:
            pool.mark_first_token(first.permit_id, first.cached_tokens, now_ms)
        for permit_id in message.released:
            pool.cancel(permit_id)
            pool.release(permit_id, now_ms)
        self._dispatch(pool)
        return peers.Empty()

    def refresh_endpoints(self) -> None:
        """Takes the endpoints of the directory into all pools."""
        for model, pool in self.pools.items():
            pool.set_endpoints(self._infos(model))
            self._dispatch(pool)

    def tick(self) -> None:
        """Ends lapsed permits and places waiting requests."""
        now_ms = self.clock.now_ms()
        for pool in self.pools.values():
            lapsed = pool.expire(now_ms)
            self.metrics.count("permit.lapsed", len(lapsed))
            self._note_lapsed(lapsed, now_ms)
            self._dispatch(pool)

    def _note_lapsed(self, permit_ids: list[str], now_ms: float) -> None:
        """Dates lapsed permits back to their last renewal."""
        renewed_ms = now_ms - scheduling.PERMIT_LIFETIME_MS
        for permit_id in permit_ids:
            self._lapsed[permit_id] = renewed_ms
        while len(self._lapsed) > _MAX_LAPSED:
            del self._lapsed[next(iter(self._lapsed))]

    def collect_orphans(self) -> None:
        """Compares engines with permits and cancels what nobody uses."""
        now_ms = self.clock.now_ms()
        workers = eventlet.GreenPool(_REPORT_WORKERS)
        for model, pool in list(self.pools.items()):
            order = self.directory.view.owners(f"pool/{model}", now_ms)
            if order[0] != self.directory.view.own_entry.entry_id:
                continue
            for entry in self.directory.engines(model):
                if self._report_due(pool, entry.entry_id, now_ms):
                    workers.spawn_n(self._reconcile, pool, entry)
        workers.waitall()

    def _report_due(
        self, pool: scheduling.Pool, endpoint_id: str, now_ms: float
    ) -> bool:
        """Reads an engine that holds nothing known of less often."""
        endpoint_load = pool.endpoint_loads.get(endpoint_id)
        used = endpoint_load is not None and (
            endpoint_load.requests > 0
            or endpoint_load.free_tokens < endpoint_load.info.capacity_tokens
        )
        due_ms = self._read_ms.get(endpoint_id, 0.0) + _IDLE_REPORT_MS
        if not used and now_ms < due_ms:
            return False
        self._read_ms[endpoint_id] = now_ms
        return True

    def ensure_pools(self) -> None:
        """Creates the pools that this instance owns, used or not."""
        now_ms = self.clock.now_ms()
        for model in self.directory.models():
            order = self.directory.view.owners(f"pool/{model}", now_ms)
            if order[0] == self.directory.view.own_entry.entry_id:
                self._pool(model)

    def _reconcile(
        self, pool: scheduling.Pool, entry: membership.ListEntry
    ) -> None:
        try:
            report = self.engine_client.read_report(
                entry.entry_id, entry.address
            )
        except base.HollycartError:
            self.metrics.count("report.failed")
            return
        now_ms = self.clock.now_ms()
        unknown = set(pool.reconcile(report, now_ms))
        known = [k for k in self._orphan_since if k[0] == entry.entry_id]
        for key in known:
            if key[1] not in unknown:
                del self._orphan_since[key]
        for attempt_id in sorted(unknown):
            since_ms = self._orphan_since.setdefault(
                (entry.entry_id, attempt_id),
                self._lapsed.get(attempt_id, now_ms),
            )
            if self._is_unused(attempt_id, now_ms - since_ms):
                self._cancel_orphan(entry, attempt_id)

    def _is_unused(self, attempt_id: str, age_ms: float) -> bool:
        if age_ms < _ORPHAN_GRACE_MS:
            return False
        parsed = base.AttemptId.parse(attempt_id)
        if parsed is None:
            return False  # not ours
        address = self.directory.peer_address(parsed.instance_id)
        if not address:
            return age_ms >= _HOLDER_GONE_MS
        try:
            reply = self.peer_client.call(
                address,
                peers.CONFIRM,
                peers.ConfirmMessage((attempt_id,)),
                _CONFIRM_TIMEOUT_MS,
            )
        except base.PeerUnreachableError:
            alive = self.directory.peer_alive(parsed.instance_id)
            return not alive and age_ms >= _HOLDER_GONE_MS
        return attempt_id in reply.attempt_ids

    def _cancel_orphan(
        self, entry: membership.ListEntry, attempt_id: str
    ) -> None:
        try:
            self.engine_client.cancel(entry.address, attempt_id)
        except base.HollycartError:
            return
        self.metrics.count("orphan.cancelled")
        observe.log_event(
            "orphan_cancelled", endpoint=entry.entry_id, attempt=attempt_id
        )

    def _pool(self, model: str) -> scheduling.Pool:
        pool = self.pools.get(model)
        if pool is None:
            policy = scheduling.POLICIES[self.policy_name](self.rng)
            if isinstance(policy, scheduling.SplitPolicy):
                policy.short_utilization = self.short_utilization
            pool = scheduling.Pool(policy)
            pool.set_endpoints(self._infos(model))
            if pool.endpoint_loads:
                self.pools[model] = pool
        return pool

    def _infos(self, model: str) -> list[scheduling.EndpointInfo]:
        return [
            scheduling.EndpointInfo(
                e.entry_id, e.address, e.capacity_tokens, e.leaving
            )
            for e in self.directory.engines(model)
        ]

    def _dispatch(self, pool: scheduling.Pool) -> None:
        for answer in pool.dispatch(self.clock.now_ms()):
            waiter = self._waiters.get(answer.permit_id)
            if waiter is not None and not waiter.ready():
                waiter.send(answer)
            elif isinstance(answer, scheduling.Permit):
                pool.release(answer.permit_id, self.clock.now_ms())

    def _granted(
        self, pool: scheduling.Pool, permit: scheduling.Permit
    ) -> peers.AcquireReply:
        self.metrics.count("permit.granted")
        addresses = []
        for endpoint_id in permit.endpoint_ids:
            endpoint_load = pool.endpoint_loads.get(endpoint_id)
            if endpoint_load is None:
                return peers.AcquireReply(None, (), "overloaded", 1000.0)
            addresses.append(endpoint_load.info.address)
        return peers.AcquireReply(permit, tuple(addresses))


def _refused(refusal: scheduling.Refusal) -> peers.AcquireReply:
    return peers.AcquireReply(None, (), refusal.code, refusal.retry_after_ms)
