"""A gateway instance: its components, their start and their shutdown."""

import collections
from collections.abc import Callable
import random

from hollycart import observe
from hollycart.gateway import _address_book
from hollycart.gateway import _codec
from hollycart.gateway import _forwarder
from hollycart.gateway import _memory
from hollycart.gateway import _peers
from hollycart.gateway import _quarantine_records
from hollycart.gateway import _read_times
from hollycart.gateway import _reader
from hollycart.gateway import _registration
from hollycart.gateway import _settings
from hollycart.gateway import _state
from hollycart.gateway import _where_page
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import kv
from hollycart_core import placement

# Part of `revoke_ms`, the time after which a removed key has to be refused,
# that is kept for requests in transit and clock error.
_REVOCATION_MARGIN_MS = 600.0
# After a store outage, endpoints whose leases expired register again within
# this time.
_REREGISTRATION_MS = 2000.0
# The load balancer removes an instance after two failed readiness checks, one
# per second.
_READINESS_PROPAGATION_MS = 2600.0
# Delay of the event loop that is logged, in ms: a share of the shortest target.
_MAX_LOOP_DELAY_MS = 150.0
_CLOSE_MARGIN_MS = 500.0  # part of `grace_ms` kept for closing
_DRAIN_POLL_MS = 50.0
# Time to refuse what has arrived but was not read when the drain ends.
_FINISH_TIMEOUT_MS = 300.0
# The requests of balancers, collectors and other instances have no body.
_BODILESS = connections.ServerLimits(max_body_bytes=0)
# Lease of the record by which other instances discover this one.
_REGISTRATION_LEASE_MS = 30000.0


class Gateway:
    """A gateway instance in front of a platform's endpoints.

    Args:
        cfg: Settings.
        store: The platform's key-value store.
        codec: Translates the heads of HTTP messages.
        decoder: Decodes the contents of the store.
        log: Decision log.
        clock: Source of time; it has to advance while the machine is
            suspended, so that stale state is recognised afterwards.
        rng: Source of randomness.
    """

    def __init__(
        self,
        cfg: _settings.GatewaySettings,
        store: kv.KeyValueStore,
        codec: _codec.RequestCodec,
        decoder: _state.StateDecoder,
        log: observe.DecisionLog,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.store = store
        self.codec = codec
        self.decoder = decoder
        self.log = log
        self.metrics = observe.Metrics()
        self.clock = clock
        self.rng = rng
        self.draining = False
        self._announced = False
        self._build()

    def _build(self) -> None:
        cfg, clock = self.cfg, self.clock
        self.platform_state = _state.PlatformState(
            cfg.revoke_ms - _REVOCATION_MARGIN_MS, _REREGISTRATION_MS
        )
        self.reader = _reader.StateReader(
            cfg.name,
            self.store,
            self.decoder,
            self.platform_state,
            self.log,
            clock,
            self.rng,
            cfg.peer_port,
            _read_schedule(cfg),
        )
        view = placement.LoadView()
        health = placement.EndpointHealth()
        self.peers = _peers.PeerExchange(
            cfg.name,
            cfg.ip,
            cfg.zone,
            cfg.peer_port,
            view,
            health,
            self.log,
            clock,
            self.rng,
            self.reader.reads_store,
            self.reader.handle_query,
            self.reader.handle_reply,
            self.reader.handle_state_changed,
            self._schedule_probe,
        )
        self.forwarder = _forwarder.Forwarder(
            self.codec,
            self.platform_state,
            self.peers,
            placement.Placer(view, health, cfg.name),
            health,
            placement.SharedRetryBudget(
                cfg.retry_ratio, cfg.retry_window_ms, cfg.retry_slack
            ),
            self.log,
            self.metrics,
            clock,
            self.rng,
            cfg.zone,
            cfg.stall_ms,
            cfg.hold_max_ms,
            cfg.policy,
        )
        self._registration = _registration.Registration(
            self.store,
            self.decoder.encode_peer(
                cfg.name, _address_book.InstanceAddress(cfg.ip, cfg.zone)
            ),
            max(_REGISTRATION_LEASE_MS, cfg.lease_min_ms),
            clock,
            self.rng,
        )
        guard = self.forwarder.guard
        self.records = _quarantine_records.QuarantineRecords(
            self.peers,
            guard.quarantine,
            self.store,
            self.decoder.encode_record,
            clock,
            guard.handle_stored,
        )
        guard.on_change = self.records.record
        self.reader.on_store_restored = self._handle_restored_store
        self.memory = _memory.make_gate(cfg.policy, clock)
        self.front_server = connections.HttpExchangeServer(
            cfg.front_address,
            self.forwarder.handle,
            clock,
            memory=self.memory,
        )
        self._ready_server = self._make_server(
            cfg.ready_address, self._serve_readiness
        )
        self._peer_server = self._make_server(
            f"{cfg.ip}:{cfg.peer_port}", self._serve_state, self.memory
        )
        self._loop_watch = base.LoopWatch(clock, self._record_loop_delay)
        self._metrics_page: observe.MetricsPage | None = None
        self._where_page = _where_page.WherePage(self.forwarder)
        self._metrics_server = self._make_server(
            f"{cfg.ip}:{cfg.metrics_port}", self._serve_metrics
        )
        self._limit_connections()

    def start(self) -> None:
        """Starts all components.

        Raises:
            OSError: If an address cannot be bound.
        """
        self._add_seeds()
        self.peers.start()
        self.reader.start(self.peers)
        self._peer_server.start()
        self._ready_server.start()
        if self.cfg.metrics_port:
            self._metrics_server.start()
        self.forwarder.start()
        self.front_server.start()
        self._loop_watch.start()
        self.reader.on_change = self._apply_change
        self._registration.start()
        self.log.write(
            observe.decisions.Started(self.cfg.zone, self.cfg.front_address)
        )

    def drain(self) -> None:
        """Drains the instance.

        Requests are still served while the load balancer removes the
        instance. Returns when none is in flight after that, or shortly before
        `grace_ms` ends.
        """
        started_ms = self.clock.now_ms()
        self.draining = True
        self.peers.drain()
        self.log.write(observe.decisions.Draining(self.front_server.running))
        self.front_server.drain()
        self.forwarder.admission.start_draining(self.cfg.grace_ms)
        end_ms = started_ms + self.cfg.grace_ms - _CLOSE_MARGIN_MS
        while self.clock.now_ms() < end_ms:
            idle = self.front_server.running == 0
            if (
                idle
                and self.clock.now_ms() - started_ms > _READINESS_PROPAGATION_MS
            ):
                break
            self.clock.sleep_ms(_DRAIN_POLL_MS)
        self.forwarder.admission.stop()
        self.front_server.finish(
            min(
                _FINISH_TIMEOUT_MS,
                end_ms + _CLOSE_MARGIN_MS / 2.0 - self.clock.now_ms(),
            )
        )
        self.log.write(observe.decisions.Stopped(self.front_server.running))

    def close(self) -> None:
        """Stops all components."""
        self._loop_watch.close()
        self.front_server.close()
        self._ready_server.close()
        self._peer_server.close()
        self._metrics_server.close()
        self._registration.close()
        self.records.close()
        self.reader.close()
        self.peers.close()
        self.forwarder.close()

    def reload(self, cfg: _settings.GatewaySettings) -> None:
        """Applies changed settings, except those in `RESTART_REQUIRED`."""
        old, new = self.cfg._asdict(), cfg._asdict()
        changed = [name for name in new if new[name] != old[name]]
        if not changed:
            return
        applied = [n for n in changed if n not in _settings.RESTART_REQUIRED]
        deferred = {
            n: old[n] for n in changed if n in _settings.RESTART_REQUIRED
        }
        self.cfg = cfg._replace(**deferred)
        self._add_seeds()
        self.platform_state.freshness.max_age_ms = (
            cfg.revoke_ms - _REVOCATION_MARGIN_MS
        )
        self.reader.schedule = _read_schedule(cfg)
        self.forwarder.apply_policy(self.cfg.policy)
        self._bound_memory()
        self._limit_connections()
        budget = self.forwarder.budget
        budget.ratio = cfg.retry_ratio
        budget.window_ms = cfg.retry_window_ms
        budget.slack = cfg.retry_slack
        self.log.write(
            observe.decisions.Reloaded(tuple(applied), tuple(deferred))
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this instance."""
        return (
            not self.draining
            and self.platform_state.has_config
            and self.platform_state.freshness.is_fresh(self.clock.now_ms())
        )

    def _record_loop_delay(self, delay_ms: float) -> None:
        self.metrics.record("loop_delay", "", "", delay_ms)
        if delay_ms > _MAX_LOOP_DELAY_MS:
            self.log.write(
                observe.decisions.LoopDelayed(
                    round(delay_ms, 1), base.WorkMeter.last_name
                )
            )

    def _schedule_probe(self, endpoint: str) -> None:
        self.forwarder.monitor.schedule_probe(endpoint)

    def _add_seeds(self) -> None:
        self.peers.add_addresses(
            _address_book.InstanceAddress(ip, "") for ip in self.cfg.seed_ips
        )

    def _handle_restored_store(self) -> None:
        self._registration.handle_restored_store()
        self.records.record_restored_store()

    def _apply_change(self) -> None:
        snapshot = self.platform_state.snapshot
        self.records.apply(snapshot.records if snapshot else {})
        self.forwarder.notices.record_listed(
            self.platform_state.endpoints.values()
        )
        self.forwarder.cold.follow_state()
        self._apply_limits()
        self._apply_cells()
        self.forwarder.evacuation.refresh()
        self.forwarder.health.follow_incarnations(
            self.platform_state.endpoints.values()
        )
        self.forwarder.spill.retain_endpoints(self.platform_state.endpoints)
        if not self._announced and self.platform_state.endpoints:
            # Peers reply to the first heartbeat with theirs.
            self._announced = True
            self.peers.send_heartbeat()
            self.forwarder.survey.start()

    def _apply_cells(self) -> None:
        """Divides the fleet into cells by the engines and instances listed."""
        snapshot = self.platform_state.snapshot
        if snapshot is None or snapshot.config is None:
            return
        services = snapshot.config.services
        has_engines = any(s.engine is not None for s in services.values())
        endpoints = collections.Counter(
            e.zone
            for e in snapshot.endpoints
            if e.service in services and services[e.service].engine is not None
        )
        if has_engines and not endpoints and not self.peers.book.cell:
            return  # the platform is starting, its engines are not listed yet
        instances = collections.Counter(p.zone for p in snapshot.peers.values())
        instances[self.cfg.zone] += 1
        self.peers.set_cells(placement.group_zones(endpoints, instances))

    def _apply_limits(self) -> None:
        """Applies the configured limits on callers' requests."""
        cfg = self.platform_state.config
        if cfg is not None:
            self.front_server.limits = connections.ServerLimits(
                cfg.limits.max_header_bytes,
                cfg.limits.max_body_bytes,
                cfg.limits.header_timeout_ms,
                cfg.limits.idle_timeout_ms,
            )
            self._bound_memory()

    def _bound_memory(self) -> None:
        """Bounds what is held, by the settings and the configured limits."""
        cfg = self.platform_state.config
        _memory.apply_bounds(
            self.memory.budget,
            self.cfg.policy,
            cfg.limits.max_body_bytes if cfg is not None else 0,
        )

    def _make_server(
        self,
        address: str,
        handler: Callable[[connections.Exchange], None],
        memory: connections.MemoryGate | None = None,
    ) -> connections.HttpExchangeServer:
        """Returns a server for requests that are not of callers.

        Without `memory` it answers also while there is no room for callers.
        """
        return connections.HttpExchangeServer(
            address, handler, self.clock, _BODILESS, memory
        )

    def _limit_connections(self) -> None:
        """Bounds the connections that others open, by the settings."""
        limits = _memory.limit_connections(self.cfg.policy)
        self.front_server.max_connections = limits.front
        self._peer_server.max_connections = limits.peers
        self._ready_server.max_connections = limits.ready
        self._metrics_server.max_connections = limits.metrics

    def _serve_readiness(self, exchange: connections.Exchange) -> None:
        exchange.respond(200 if self.ready else 503, (), b"")

    def _serve_state(self, exchange: connections.Exchange) -> None:
        state = self.reader.encode_state()
        if state is None:
            exchange.respond(503, (), b"")
        else:
            exchange.respond(200, (), state)

    def _serve_metrics(self, exchange: connections.Exchange) -> None:
        if _where_page.is_query(exchange.head):
            self._where_page.serve(exchange)
            return
        if self._metrics_page is None:
            self._metrics_page = observe.MetricsPage(self.metrics, self.gauges)
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        exchange.respond(200, headers, self._metrics_page.render())

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page by name."""
        now_ms = self.clock.now_ms()
        cfg = self.platform_state.config
        raw = self.platform_state.raw
        contact = self.forwarder.reported_load.contact
        values = {
            "running": float(self.front_server.running),
            "ready": float(self.ready),
            "connections": float(self.front_server.connection_count),
            "connections_evicted": float(self.front_server.evicted),
            "connections_refused": float(self.front_server.refused),
            "peers": float(len(self.peers.live())),
            "fleet_instances": float(self.peers.fleet_size()),
            "isolated": float(contact.is_isolated),
            "instances_missing": float(contact.missing),
            "cell_zones": float(len(self.peers.book.cell)),
            "other_cells": float(len(self.peers.book.other_cells)),
            "datagrams_malformed": float(self.peers.malformed),
            "loop_faults": float(base.LoopGuard.faults),
            "load_updates_foreign": float(self.peers.foreign_updates),
            "endpoints": float(len(self.platform_state.endpoints)),
            "zones_evacuated": float(self.forwarder.evacuation.count()),
            "endpoints_restricted": float(
                sum(
                    not self.forwarder.restrictions.accepts(e, now_ms)
                    for e in self.platform_state.endpoints.values()
                )
            ),
            "endpoints_limited": float(
                sum(
                    self.forwarder.limits.find(e) is not None
                    for e in self.platform_state.endpoints.values()
                )
            ),
            "endpoints_cold": float(self.forwarder.cold.count(now_ms)),
            "traits_quarantined": float(
                self.forwarder.guard.count_quarantined()
            ),
            "endpoints_unreachable": float(
                len(self.forwarder.health.unreachable())
            ),
            "config_version": float(cfg.version if cfg else 0),
            "store_reads": float(self.reader.reads_succeeded),
            "store_era": float(raw.contents.era if raw else 0),
            "store_values_retained": float(len(raw.former) if raw else 0),
            "store_reads_failed": float(self.reader.reads_failed),
            "log_lines_dropped": float(self.log.dropped),
            "buffered_bytes": float(self.memory.budget.held_bytes),
            "buffered_responses": float(self.memory.buffered_responses),
        }
        if cfg is not None:
            values["state_age_ms"] = self.platform_state.freshness.age_ms(
                now_ms
            )
            for name in cfg.services:
                values[f"retry_budget_left_{name}"] = (
                    self.forwarder.budget.left(
                        name, now_ms, int(values["fleet_instances"])
                    )
                )
        return values


def _read_schedule(cfg: _settings.GatewaySettings) -> _read_times.ReadSchedule:
    return _read_times.ReadSchedule.for_bound(
        min(
            cfg.config_apply_ms,
            cfg.drain_ms,
            cfg.revoke_ms - _REVOCATION_MARGIN_MS,
            cfg.policy.evacuate_ms or float("inf"),
        )
    )
