"""Owns pools, one per model of the cell, and grants their permits."""

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

# Age at which an attempt without a permit is checked with its instance.
_ORPHAN_GRACE_MS = 1_000.0
# Age at which it is cancelled if its instance has failed.
_HOLDER_TIMEOUT_MS = 2_500.0
_IDLE_REPORT_INTERVAL_MS = 2_500.0
_MAX_EXPIRED_PERMITS = 10_000
_CONFIRM_TIMEOUT_MS = 1_000
_MAX_CONCURRENT_REPORTS = 8


class PoolOwner:
    """Schedules the requests of all instances on the pools it owns.

    Args:
        policy_name: Name of the placement policy.
        short_utilization: Utilization target of the `split` policy.
        directory: Instances and endpoints.
        engine_client: Client for the engines' interface.
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
        self._last_report_ms: dict[str, float] = {}
        self._expired_permits: dict[str, float] = {}
        self._orphaned_since_ms: dict[tuple[str, str], float] = {}

    def handle_acquire(
        self, message: peers.AcquireMessage
    ) -> peers.AcquireReply:
        """Decides a request for a permit; blocks while it is queued."""
        req = message.request
        pool = self._pool(message.model)
        if not pool.endpoint_loads:
            return peers.AcquireReply(None, (), "not_found", 0.0)
        now_ms = self.clock.now_ms()
        refusals = pool.submit(req, now_ms)
        if refusals:
            self.metrics.count(f"permit.refused.{refusals[0].code}")
            return _refusal_reply(refusals[0])
        waiter = event.Event()
        self._waiters[req.permit_id] = waiter
        try:
            self._dispatch(pool)
            decision = waiter.wait(timeout=req.time_left_ms / 1000.0)
        finally:
            del self._waiters[req.permit_id]
        if decision is None:
            pool.cancel(req.permit_id)
            self.metrics.count("permit.timeout")
            return peers.AcquireReply(None, (), "deadline_exceeded", 1000.0)
        if isinstance(decision, scheduling.Refusal):
            self.metrics.count(f"permit.refused.{decision.code}")
            return _refusal_reply(decision)
        return self._grant_reply(pool, decision)

    def handle_report(self, message: peers.ReportMessage) -> peers.Empty:
        """Applies a report of an instance on its permits."""
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
        """Updates all pools from the endpoints of the directory."""
        for model, pool in self.pools.items():
            pool.set_endpoints(self._endpoint_infos(model))
            self._dispatch(pool)

    def tick(self) -> None:
        """Releases expired permits and dispatches queued requests."""
        now_ms = self.clock.now_ms()
        for pool in self.pools.values():
            expired_ids = pool.expire(now_ms)
            self.metrics.count("permit.lapsed", len(expired_ids))
            self._record_expired(expired_ids, now_ms)
            self._dispatch(pool)

    def _record_expired(self, permit_ids: list[str], now_ms: float) -> None:
        """Records expired permits with the instant of their last renewal.

        Memory that such an attempt still holds counts as orphaned since then.
        """
        renewed_ms = now_ms - scheduling.PERMIT_LIFETIME_MS
        for permit_id in permit_ids:
            self._expired_permits[permit_id] = renewed_ms
        while len(self._expired_permits) > _MAX_EXPIRED_PERMITS:
            del self._expired_permits[next(iter(self._expired_permits))]

    def collect_orphans(self) -> None:
        """Reads the engines' reports and cancels orphaned attempts.

        An attempt is orphaned if it holds memory at an engine without a permit
        and its instance does not use it.
        """
        now_ms = self.clock.now_ms()
        workers = eventlet.GreenPool(_MAX_CONCURRENT_REPORTS)
        for model, pool in list(self.pools.items()):
            owner_ids = self.directory.view.owners(f"pool/{model}", now_ms)
            if owner_ids[0] != self.directory.view.own_entry.entry_id:
                continue
            for entry in self.directory.engines(model):
                if self._report_due(pool, entry.entry_id, now_ms):
                    workers.spawn_n(self._reconcile, pool, entry)
        workers.waitall()

    def _report_due(
        self, pool: scheduling.Pool, endpoint_id: str, now_ms: float
    ) -> bool:
        """Returns whether the report of an engine is to be read now.

        Engines that are not known to hold memory are read less often.
        """
        endpoint_load = pool.endpoint_loads.get(endpoint_id)
        used = endpoint_load is not None and (
            endpoint_load.requests > 0
            or endpoint_load.free_tokens < endpoint_load.info.capacity_tokens
        )
        due_ms = (
            self._last_report_ms.get(endpoint_id, 0.0)
            + _IDLE_REPORT_INTERVAL_MS
        )
        if not used and now_ms < due_ms:
            return False
        self._last_report_ms[endpoint_id] = now_ms
        return True

    def ensure_pools(self) -> None:
        """Creates the pools that this instance owns, also unused ones.

        Orphaned attempts of a former owner are found only in existing pools.
        """
        now_ms = self.clock.now_ms()
        for model in self.directory.models():
            owner_ids = self.directory.view.owners(f"pool/{model}", now_ms)
            if owner_ids[0] == self.directory.view.own_entry.entry_id:
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
        tracked = [k for k in self._orphaned_since_ms if k[0] == entry.entry_id]
        for key in tracked:
            if key[1] not in unknown:
                del self._orphaned_since_ms[key]
        for attempt_id in sorted(unknown):
            since_ms = self._orphaned_since_ms.setdefault(
                (entry.entry_id, attempt_id),
                self._expired_permits.get(attempt_id, now_ms),
            )
            if self._is_orphan(attempt_id, now_ms - since_ms):
                self._cancel_orphan(entry, attempt_id)

    def _is_orphan(self, attempt_id: str, age_ms: float) -> bool:
        if age_ms < _ORPHAN_GRACE_MS:
            return False
        parsed = base.AttemptId.parse(attempt_id)
        if parsed is None:
            return False  # not an attempt of this system
        address = self.directory.peer_address(parsed.instance_id)
        if not address:
            return age_ms >= _HOLDER_TIMEOUT_MS
        try:
            reply = self.peer_client.call(
                address,
                peers.CONFIRM,
                peers.ConfirmMessage((attempt_id,)),
                _CONFIRM_TIMEOUT_MS,
            )
        except base.PeerUnreachableError:
            alive = self.directory.peer_alive(parsed.instance_id)
            return not alive and age_ms >= _HOLDER_TIMEOUT_MS
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
            pool.set_endpoints(self._endpoint_infos(model))
            if pool.endpoint_loads:
                self.pools[model] = pool
        return pool

    def _endpoint_infos(self, model: str) -> list[scheduling.EndpointInfo]:
        return [
            scheduling.EndpointInfo(
                e.entry_id, e.address, e.capacity_tokens, e.leaving
            )
            for e in self.directory.engines(model)
        ]

    def _dispatch(self, pool: scheduling.Pool) -> None:
        for decision in pool.dispatch(self.clock.now_ms()):
            waiter = self._waiters.get(decision.permit_id)
            if waiter is not None and not waiter.ready():
                waiter.send(decision)
            elif isinstance(decision, scheduling.Permit):
                pool.release(decision.permit_id, self.clock.now_ms())

    def _grant_reply(
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


def _refusal_reply(refusal: scheduling.Refusal) -> peers.AcquireReply:
    return peers.AcquireReply(None, (), refusal.code, refusal.retry_after_ms)
