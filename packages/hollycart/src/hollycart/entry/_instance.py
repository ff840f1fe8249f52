"""An entry instance: its components, their start and shutdown."""

import os
import random
import time
from typing import Any

import eventlet

from hollycart import endpoints
from hollycart import observe
from hollycart import peers
from hollycart.entry import _admin
from hollycart.entry import _app
from hollycart.entry import _claim_service
from hollycart.entry import _claimed_calls
from hollycart.entry import _completions
from hollycart.entry import _directory
from hollycart.entry import _lifecycle
from hollycart.entry import _memory
from hollycart.entry import _order_loop
from hollycart.entry import _permit_client
from hollycart.entry import _pool_owner
from hollycart.entry import _relay
from hollycart.entry import _retry_budget
from hollycart.entry import _service_calls
from hollycart.entry import _service_sender
from hollycart.entry import _settings
from hollycart.entry import _table_sync
from hollycart.entry import _token_estimate
from hollycart_core import base
from hollycart_core import http
from hollycart_core import kv
from hollycart_core import membership
from hollycart_core import orders
from hollycart_core import table

_POOL_TICK_INTERVAL_MS = 100.0
_TABLE_PULL_INTERVAL_MS = 500.0
_METRICS_FLUSH_INTERVAL_MS = 10_000.0
_STALL_CHECK_INTERVAL_MS = 50.0
_READY_POLL_INTERVAL_MS = 100.0
_ORDER_INTERVAL_MS = 2_000.0
# An instance that starts may become the owner of pools. Within this time the
# other instances report their live permits to it.
_PERMIT_RENEWAL_WAIT_MS = 300.0


class Instance:
    """An entry instance, which serves callers and operators.

    Args:
        cfg: Settings.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self, cfg: _settings.Settings, clock: base.Clock, rng: random.Random
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.metrics = observe.Metrics(cfg.statsd_host, cfg.statsd_port)
        self.client = http.HttpClient()
        self.store = kv.EtcdStore(self.client, cfg.kv_address)
        self.bridge = peers.LoopBridge()
        self.peer_client = peers.PeerClient(self.bridge, cfg.peer_secret)
        self.lifecycle = _lifecycle.Lifecycle(clock)
        self.table_follower = table.TableFollower(self._on_table)
        self.attempt_ids = base.AttemptIdGenerator(cfg.instance_id)
        self.budget = _retry_budget.RetryBudget()
        self.engine_client = endpoints.EngineClient(self.client)
        self.view = membership.MembershipView(
            self._own_entry(), int(time.time() * 1000)
        )
        self.directory = _directory.Directory(
            membership.HttpListSource(self.client, cfg.list_address),
            self.view,
            self.peer_client,
            clock,
            self.metrics,
            rng,
            self._on_list_change,
        )
        self.owner = _pool_owner.PoolOwner(
            cfg.policy,
            cfg.short_utilization,
            self.directory,
            self.engine_client,
            self.peer_client,
            clock,
            self.metrics,
            rng,
        )
        self.permits = _permit_client.PermitClient(
            self.directory, self.owner, self.peer_client, clock, self.metrics
        )
        self.claim_service = _claim_service.ClaimService(
            self.store, self.directory, self.peer_client, clock, self.metrics
        )
        self.table_sync = _table_sync.TableSync(
            self.store,
            table.TableStore(self.store, clock),
            self.table_follower,
            self.directory,
            self.peer_client,
            clock,
            self.metrics,
        )
        self.orders = self._order_loop()
        self.memory = _memory.make_gate(cfg, clock)
        self.max_stall_ms = 0.0
        self._started_cpu_s = 0.0
        self._periodic_tasks: list[base.PeriodicTask] = []
        self._server: Any = None
        self._peer_server: Any = None
        self._drained = eventlet.event.Event()

    def start(self) -> None:
        """Starts all components.

        The instance becomes ready once it has the instance list and a limit
        table.

        Raises:
            OSError: If a port cannot be bound.
        """
        self.metrics.start()
        self.client.start()
        self.bridge.start()
        self._peer_server = peers.PeerServer(
            self.bridge,
            f"{self.cfg.host}:{self.cfg.peer_port}",
            self._handlers(),
            self.cfg.peer_secret,
        )
        self._peer_server.start()
        self._server = http.HttpServer(
            self._build_app(),
            self.cfg.host,
            self.cfg.port,
            _memory.limit_connections(self.cfg),
        )
        self._server.start()
        eventlet.spawn(self._become_ready)

    def drain(self) -> None:
        """Shuts down gracefully.

        Waits until no request is in flight, for at most `drain_timeout_ms`
        before and again after the listening socket is closed. A second call
        waits for the first.
        """
        if self.lifecycle.draining:
            self._drained.wait()
            return
        observe.log_event("draining", running=self.lifecycle.running)
        self.lifecycle.start_draining()
        self.view.leaving = True
        self.clock.sleep_ms(self.cfg.list_lag_ms)
        idle = self.lifecycle.wait_idle(self.cfg.drain_timeout_ms)
        self._server.close()
        idle = idle and self.lifecycle.wait_idle(self.cfg.drain_timeout_ms)
        observe.log_event("drained", idle=idle)
        self._drained.send()

    def close(self) -> None:
        """Stops all components."""
        for task in self._periodic_tasks:
            task.close()
        self.orders.close()
        if self._server is not None:
            self._server.close()
        if self._peer_server is not None:
            self._peer_server.close()
        self.peer_client.close()
        self.bridge.close()
        self.metrics.close()
        self.client.close()

    def status(self) -> dict[str, Any]:
        """Returns the state of the instance for operators."""
        now_ms = self.clock.now_ms()
        return {
            "instance_id": self.cfg.instance_id,
            "cell": self.cfg.cell,
            "zone": self.cfg.zone,
            "ready": self.lifecycle.ready,
            "draining": self.lifecycle.draining,
            "running": self.lifecycle.running,
            "body_bytes": self.memory.budget.held_bytes,
            "unsettled": self.claim_service.unsettled,
            "table_revision": self.table_follower.current.revision,
            "members": self.view.live(now_ms),
            "pools": {
                model: {
                    "owner": self.view.owners(f"pool/{model}", now_ms)[0],
                    "queued": self._queue_length(model),
                }
                for model in self.directory.models()
            },
            "endpoints": [
                e._asdict()
                for e in self.directory.entries.values()
                if e.kind != membership.KIND_INSTANCE
            ],
            "kv_calls": dict(self.store.calls),
            "peer_bytes_sent": self.peer_client.bytes_sent
            + self._peer_server.bytes_sent,
            "peer_bytes_received": self.peer_client.bytes_received
            + self._peer_server.bytes_received,
            "counters": dict(self.metrics.counters),
            "invariant_checks": base.invariant_checks(),
            "cpu_s": time.process_time(),
            "memory_mb": _memory_mb(),
            "max_stall_ms": self.max_stall_ms,
        }

    def _queue_length(self, model: str) -> int:
        pool = self.owner.pools.get(model)
        return pool.queue.length if pool is not None else 0

    def _own_entry(self) -> membership.ListEntry:
        cfg = self.cfg
        return membership.ListEntry(
            cfg.instance_id,
            membership.KIND_INSTANCE,
            f"{cfg.host}:{cfg.port}",
            zone=cfg.zone,
            peer_address=f"{cfg.host}:{cfg.peer_port}",
            cell=cfg.cell,
        )

    def _order_loop(self) -> _order_loop.OrderLoop:
        owner = f"{self.cfg.instance_id}/{self.attempt_ids.incarnation}"
        lease = orders.OrderLease(
            self.store, owner, self.clock, scope=self.cfg.cell
        )
        return _order_loop.OrderLoop(
            self.store,
            lease,
            orders.OrderGate(lease.timings),
            self.directory,
            self.engine_client,
            self.clock,
            self.metrics,
        )

    def _handlers(self) -> dict[peers.Method, Any]:
        return {
            peers.EXCHANGE: self.directory.handle_exchange,
            peers.ACQUIRE: self.owner.handle_acquire,
            peers.REPORT: self.owner.handle_report,
            peers.CONFIRM: self.permits.handle_confirm,
            peers.CLAIM: self.claim_service.handle_claim,
            peers.TABLE: self.table_sync.handle_query,
        }

    def _build_app(self) -> _app.EntryApp:
        cfg = self.cfg
        relay_services = _relay.RelayServices(
            self.directory,
            self.permits,
            self.engine_client,
            self.attempt_ids,
            self.budget,
            self.clock,
            self.metrics,
        )
        sender = _service_sender.ServiceSender(
            self.directory, self.client, self.budget, self.clock, self.metrics
        )
        claimed_calls = _claimed_calls.ClaimedCalls(
            sender, self.claim_service, self.clock, self.metrics
        )
        return _app.EntryApp(
            self.table_follower,
            self.directory,
            _completions.CompletionHandler(
                relay_services,
                _token_estimate.TokenEstimator(cfg.bytes_per_token),
                cfg.max_body_bytes,
                cfg.body_timeout_ms,
            ),
            _service_calls.ServiceHandler(
                sender,
                claimed_calls,
                self.attempt_ids,
                cfg.max_body_bytes,
                cfg.body_timeout_ms,
            ),
            _admin.AdminHandler(
                cfg.operator_key_digest,
                self.status,
                self.metrics.summaries,
                self.table_sync.apply_deltas,
                lambda: eventlet.spawn_n(self.drain),
            ),
            self.lifecycle,
            self.metrics,
            self.memory,
        )

    def _become_ready(self) -> None:
        cfg = self.cfg
        self._run_periodically(self.directory.refresh, cfg.list_interval_ms)
        self._run_periodically(
            self.directory.exchange, cfg.exchange_interval_ms
        )
        while not (self.directory.loaded and self.table_sync.load()):
            self.clock.sleep_ms(_READY_POLL_INTERVAL_MS)
        self._run_periodically(self.table_sync.watch_once, 0.0)
        self._run_periodically(
            self.table_sync.pull_if_behind, _TABLE_PULL_INTERVAL_MS
        )
        self._run_periodically(self.owner.tick, _POOL_TICK_INTERVAL_MS)
        self._run_periodically(self._maintain_pools, cfg.report_interval_ms)
        self._run_periodically(self.orders.step, _ORDER_INTERVAL_MS)
        self._run_periodically(self.metrics.flush, _METRICS_FLUSH_INTERVAL_MS)
        self._run_periodically(self._measure_stall, 0.0)
        self.permits.start()
        self.clock.sleep_ms(_PERMIT_RENEWAL_WAIT_MS)
        self.lifecycle.mark_ready()
        observe.log_event(
            "ready",
            instance=cfg.instance_id,
            table_revision=self.table_follower.current.revision,
        )

    def _run_periodically(self, function: Any, interval_ms: float) -> None:
        task = base.PeriodicTask(
            function, interval_ms, self.clock, self._on_task_error
        )
        task.start()
        self._periodic_tasks.append(task)

    def _maintain_pools(self) -> None:
        self.owner.ensure_pools()
        self.owner.collect_orphans()

    def _measure_stall(self) -> None:
        before_ms = self.clock.now_ms()
        self.clock.sleep_ms(_STALL_CHECK_INTERVAL_MS)
        stall_ms = self.clock.now_ms() - before_ms - _STALL_CHECK_INTERVAL_MS
        self.max_stall_ms = max(self.max_stall_ms, stall_ms)

    def _on_table(self, current: table.Table) -> None:
        self.view.table_revision = current.revision
        observe.log_event("table_in_force", revision=current.revision)

    def _on_list_change(self) -> None:
        self.owner.refresh_endpoints()

    def _on_task_error(self, exc: Exception) -> None:
        code = exc.code if isinstance(exc, base.HollycartError) else "other"
        self.metrics.count(f"task.{code}")
        if not isinstance(exc, base.HollycartError) or isinstance(
            exc, base.InvariantError
        ):
            observe.log_event(
                "task_failed", error=type(exc).__name__, detail=str(exc)[:200]
            )


def _memory_mb() -> float:
    """Returns the resident memory of the process, in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
