"""Injects faults by signals, operator changes and proxies."""

from collections.abc import Callable
import random
import signal

import eventlet

from hollycart_bench import fleet
from hollycart_bench.soak import _configuration
from hollycart_bench.soak import _endless
from hollycart_bench.soak import _engine
from hollycart_bench.soak import _record
from hollycart_bench.soak import _slow_peers
from hollycart_bench.soak import _system
from hollycart_core import base
import hollycart_standins

_FREEZE_S = 3.0
_PROXY_FAULT_S = 3.0
_STORE_OUTAGE_S = 4.0
_REVOCATION_OUTAGE_S = 7.0  # longer than a revoked key may stay accepted
_ADDED_DELAY_MS = 200.0
_RESTART_DELAY_S = 1.0  # after a kill, and to observe a reload
_EXIT_TIMEOUT_S = 12.0
_OBSERVE_S = 4.0  # after the acknowledgement of a change
_OBSERVE_LOAD_S = 1.0
_ODD_ROUNDS = 8  # of entries of another writer
_LIMIT_S = 10.0  # the bound on a limited rate holds 3 s after it is named
_ENGINE_START_S = 3.0
_ENGINE_DOWN_S = 2.0  # at most, after a crash
_CRASHING_S = 16.0  # longer than until a crashing segment has to be known
_FAULT_INTERVAL_S = 1.5
_EVACUATION_S = 12.0  # requests have to move within 5 s
_SLOW_S = 8.0  # for which callers or engines read slowly
_SLOW_CALLERS = 40  # of each instance
_SLOW_BODIES = 4  # that each instance sends to engines that read slowly
# The kernel takes up to 2.6 MB of a body on loopback; the limit is 4 MB.
_SLOW_BODY_BYTES = 3900000
_SLOW_BYTES_PER_S = 2000
_SLOW_ENGINE_BYTES_PER_S = 50000
_RESTORE_S = 1.0  # for which the store is away before it comes back older
# Faults of instances that overlap with all other ones.
_OVERLAPPING = frozenset(("kill", "freeze", "reload", "store_cut"))


class FaultInjector:
    """Injects each kind of fault once, in random order.

    Args:
        system: System that the faults are injected into.
        record: Record that the faults are added to.
        clock: Source of time.
        rng: Random generator for order and targets.
        only: Kinds of faults to inject; None for all.
    """

    def __init__(
        self,
        system: _system.SoakSystem,
        record: _record.SoakRecord,
        clock: base.Clock,
        rng: random.Random,
        only: frozenset[str] | None = None,
    ) -> None:
        self.system = system
        self.record = record
        self.clock = clock
        self.rng = rng
        self.only = only
        self._all_cut = False

    def kinds(self) -> dict[str, Callable[[], str]]:
        """Returns the injecting function by kind of fault.

        Each function returns once the fault has ended, with the name of the
        affected instance or engine, or empty for all.
        """
        return {
            "kill": self._kill,
            "freeze": self._freeze,
            "stop": self._stop,
            "reload": self._reload,
            "engine_kill": self._engine_kill,
            "engine_freeze": self._engine_freeze,
            "engine_cut": self._engine_cut,
            "engine_reset": self._engine_reset,
            "engine_slow": self._engine_slow,
            "engine_closes_inside_event": self._engine_closes_inside_event,
            "engine_says_leaving": self._engine_says_leaving,
            "engine_pauses": self._engine_pauses,
            "engine_limits": self._engine_limits,
            "engine_endless": self._engine_endless,
            "callers_endless": self._callers_endless,
            "datagram_flood": self._datagram_flood,
            "callers_read_slowly": self._callers_read_slowly,
            "engines_read_slowly": self._engines_read_slowly,
            "store_restored": self._store_restored,
            "engines_cold": self._engines_cold,
            "engines_crash_on_segment": self._engines_crash_on_segment,
            "engines_crash_on_request": self._engines_crash_on_request,
            "engine_leaves": self._engine_leaves,
            "engine_vanishes": self._engine_vanishes,
            "odd_entries": self._odd_entries,
            "store_down": lambda: self._store_down(_STORE_OUTAGE_S),
            "store_slow": self._store_slow,
            "store_cut": self._store_cut,
            "store_resets": self._store_resets,
            "key_revoked": self._key_revoked,
            "key_revoked_while_cut": self._key_revoked_while_cut,
            "routes_moved": self._routes_moved,
            "zone_evacuated": self._zone_evacuated,
        }

    def run(self) -> None:
        """Injects each kind of fault once, those of instances beside others."""
        kinds = {
            name: inject
            for name, inject in self.kinds().items()
            if self.only is None or name in self.only
        }
        lanes = (
            [k for k in kinds if k in _OVERLAPPING],
            [k for k in kinds if k not in _OVERLAPPING],
        )
        threads = []
        for lane in lanes:
            self.rng.shuffle(lane)
            threads.append(eventlet.spawn(self._run_lane, lane, kinds))
        for thread in threads:
            thread.wait()

    def _run_lane(
        self, names: list[str], kinds: dict[str, Callable[[], str]]
    ) -> None:
        for kind in names:
            inject = kinds[kind]
            eventlet.sleep(_FAULT_INTERVAL_S)
            start_ms = self.clock.wall_ms()
            target = inject()
            self.record.faults.append(
                _record.Fault(kind, target, start_ms, self.clock.wall_ms())
            )

    def _choose_instance(self) -> str:
        return self.rng.choice(sorted(self.system.entry_instances))

    def _choose_engine(self) -> str:
        return self.rng.choice(sorted(self.system.engines))

    def _choose_model_engines(self) -> list[str]:
        """Returns the two model engines that ran most requests lately.

        A fault that shows only in responses does nothing at an idle engine.
        """
        before = self.system.journal_sizes(_configuration.MODEL_SERVICE)
        eventlet.sleep(_OBSERVE_LOAD_S)
        after = self.system.journal_sizes(_configuration.MODEL_SERVICE)
        return sorted(after, key=lambda e: before.get(e, 0) - after[e])[:2]

    def _kill(self) -> str:
        name = self._choose_instance()
        process = self.system.entry_instances[name].process
        process.kill()
        eventlet.sleep(_RESTART_DELAY_S)
        process.start()
        self.system.wait_ready(name)
        return name

    def _freeze(self) -> str:
        name = self._choose_instance()
        _freeze_process(self.system.entry_instances[name].process)
        return name

    def _stop(self) -> str:
        name = self._choose_instance()
        process = self.system.entry_instances[name].process
        process.signal(signal.SIGTERM)
        self.record.exits.append((name, process.wait(_EXIT_TIMEOUT_S)))
        process.start()
        self.system.wait_ready(name)
        return name

    def _reload(self) -> str:
        name = self._choose_instance()
        # The interpreter ends at the signal before it runs any code of ours.
        self.system.wait_ready(name)
        instance = self.system.entry_instances[name]
        cfg = instance.cfg._replace(retry_slack=instance.cfg.retry_slack - 10.0)
        instance.path.write_text(hollycart_standins.encode_settings(cfg))
        instance.process.signal(signal.SIGHUP)
        eventlet.sleep(_RESTART_DELAY_S)
        return name

    def _engine_kill(self) -> str:
        engine = self._choose_engine()
        self.system.engines[engine].kill()
        eventlet.sleep(_RESTART_DELAY_S)
        self.system.remove_endpoint(engine)
        self.system.start_engine(engine)
        return engine

    def _engine_freeze(self) -> str:
        engine = self._choose_engine()
        _freeze_process(self.system.engines[engine])
        return engine

    def _engine_cut(self) -> str:
        engine = self._choose_engine()
        proxy = self.system.proxies[engine]
        proxy.blackholed = True
        eventlet.sleep(_PROXY_FAULT_S)
        proxy.blackholed = False
        return engine

    def _engine_reset(self) -> str:
        engine = self._choose_engine()
        for _ in range(3):
            self.system.proxies[engine].reset()
            eventlet.sleep(0.3)
        return engine

    def _engine_slow(self) -> str:
        engine = self._choose_engine()
        proxy = self.system.proxies[engine]
        proxy.delay_ms = _ADDED_DELAY_MS
        eventlet.sleep(_PROXY_FAULT_S)
        proxy.delay_ms = 0.0
        return engine

    def _engine_closes_inside_event(self) -> str:
        return self._simulate(
            _engine.EngineFaults(closes_inside_event=True), _PROXY_FAULT_S
        )

    def _engine_says_leaving(self) -> str:
        """Lets engines say that they leave, while the store lists them."""
        engines = self._simulate(
            _engine.EngineFaults(says_leaving=True), _OBSERVE_S
        )
        for engine in engines.split():
            self.system.engines[engine].kill()
            self.system.remove_endpoint(engine)
            self.system.start_engine(engine)
        return engines

    def _engine_pauses(self) -> str:
        return self._simulate(
            _engine.EngineFaults(pause_s=_record.PAUSE_S),
            2.0 * _record.PAUSE_S,
        )

    def _engine_limits(self) -> str:
        return self._simulate(
            _engine.EngineFaults(limit_per_s=_record.LIMIT_PER_S),
            _LIMIT_S,
        )

    def _engine_endless(self) -> str:
        """Lets an engine of each kind send without end."""
        engines = [
            self._choose_model_engines()[0],
            min(self.system.journal_sizes(self.system.plain_service)),
        ]
        for kind in _endless.KINDS:
            for engine in engines:
                self.system.set_engine_faults(
                    engine, _engine.EngineFaults(endless=kind)
                )
            eventlet.sleep(_PROXY_FAULT_S)
        for engine in engines:
            self.system.set_engine_faults(engine, _engine.EngineFaults())
        return " ".join(engines)

    def _callers_endless(self) -> str:
        """Lets callers send requests without end to all instances."""
        pool = eventlet.GreenPool()
        for instance in self.system.entry_instances.values():
            for kind in ("head", "body"):
                pool.spawn_n(
                    _endless.request_without_end,
                    instance.cfg.front_address,
                    kind,
                    _PROXY_FAULT_S,
                )
        pool.waitall()
        return ""

    def _datagram_flood(self) -> str:
        instance = self.system.entry_instances[self._choose_instance()]
        _endless.send_datagrams(
            instance.cfg.ip, instance.cfg.peer_port, _PROXY_FAULT_S
        )
        return ""

    def _callers_read_slowly(self) -> str:
        """Lets callers of all instances read large answers slowly."""
        keys = sorted(self.system.keys.values())
        pools = [
            _slow_peers.start_callers(
                instance.cfg.front_address,
                keys,
                _SLOW_CALLERS,
                _SLOW_BYTES_PER_S,
                _SLOW_S,
                self._make_id,
            )[1]
            for instance in self.system.entry_instances.values()
        ]
        for pool in pools:
            pool.waitall()
        return ""

    def _engines_read_slowly(self) -> str:
        """Lets the engines of a service read large bodies slowly."""
        engines = sorted(self.system.journal_sizes(self.system.plain_service))
        keys = sorted(self.system.keys.values())
        for engine in engines:
            self.system.proxies[
                engine
            ].read_bytes_per_s = _SLOW_ENGINE_BYTES_PER_S
        pool = eventlet.GreenPool()
        for instance in self.system.entry_instances.values():
            for number in range(_SLOW_BODIES):
                pool.spawn_n(
                    _slow_peers.send_body,
                    instance.cfg.front_address,
                    self._make_id(),
                    keys[number % len(keys)],
                    _SLOW_BODY_BYTES,
                    _SLOW_S,
                )
        pool.waitall()
        for engine in engines:
            self.system.proxies[engine].read_bytes_per_s = 0
        return " ".join(engines)

    def _make_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def _simulate(self, faults: _engine.EngineFaults, seconds: float) -> str:
        """Returns the ids of the engines that simulated the faults."""
        engines = self._choose_model_engines()
        for engine in engines:
            self.system.set_engine_faults(engine, faults)
        eventlet.sleep(seconds)
        for engine in engines:
            self.system.set_engine_faults(engine, _engine.EngineFaults())
        return " ".join(engines)

    def _store_restored(self) -> str:
        """Restores the store to a copy that lacks the last changes.

        A key was revoked and an engine had left. An instance starts while the
        store holds the copy, before the operator writes the changes again.
        """
        engine = self._choose_engine()
        left_ms = self.system.remove_endpoint(engine)
        self.record.leaving.append((engine, left_ms))
        self._revoke_key()
        eventlet.sleep(_OBSERVE_S)
        self.system.set_store_faults(down=True)
        eventlet.sleep(_RESTORE_S)
        self.system.restore_store((_OBSERVE_S + 2.0 * _RESTORE_S) * 1000.0)
        self.system.set_store_faults()
        name = self._kill()
        eventlet.sleep(_REVOCATION_OUTAGE_S)
        self.system.put_config()
        self.system.engines[engine].kill()
        self.system.remove_endpoint(engine)
        self.system.start_engine(engine)
        return name

    def _engines_cold(self) -> str:
        """Starts all model engines again, which are cold at first."""
        self.system.cold = True
        self.system.put_config()
        eventlet.sleep(_OBSERVE_S)
        self.system.restart_engines(_configuration.MODEL_SERVICE)
        eventlet.sleep(_ENGINE_START_S + _configuration.COLD_MS / 1000.0)
        self.system.cold = False
        self.system.put_config()
        return ""

    def _engines_crash_on_segment(self) -> str:
        """Lets all model engines crash on the prompts with one segment."""
        service = _configuration.MODEL_SERVICE
        segment = f"{self.rng.getrandbits(32):08x}"
        self.system.crash_segment = segment
        self.system.restart_engines(service)
        eventlet.sleep(_ENGINE_START_S)
        self.record.crash_segment = segment
        for _ in range(round(_CRASHING_S / _ENGINE_DOWN_S)):
            eventlet.sleep(_ENGINE_DOWN_S)
            self.system.restart_crashed(service)
        self.record.crash_segment = ""
        self.system.crash_segment = ""
        self.system.restart_engines(service)
        return ""

    def _engines_crash_on_request(self) -> str:
        """Lets the engines of a route crash on one request that is repeated."""
        kind = self.rng.choice(("stream", "again", "once"))
        service = _configuration.MODEL_SERVICE
        if kind != "stream":
            service = self.system.plain_service
        body = f"{self.rng.getrandbits(32):08x}"
        revoked = {team for team, _ in self.record.revoked_teams}
        team = self.rng.choice(sorted(set(self.system.keys) - revoked))
        self.system.crash_body = body
        self.system.restart_engines(service)
        eventlet.sleep(_ENGINE_START_S)
        self.record.crashing_request = _record.CrashingRequest(kind, team, body)
        self.record.crashing_kind = kind
        for _ in range(round(_CRASHING_S / _ENGINE_DOWN_S)):
            eventlet.sleep(_ENGINE_DOWN_S)
            self.system.restart_crashed(service)
        self.record.crashing_request = None
        self.system.crash_body = ""
        self.system.restart_engines(service)
        return ""

    def _engine_leaves(self) -> str:
        engine = self._choose_engine()
        acked_ms = self.system.put_endpoint(engine, True)
        self.record.leaving.append((engine, acked_ms))
        eventlet.sleep(_OBSERVE_S)
        self.system.engines[engine].kill()
        self.system.remove_endpoint(engine)
        self.system.start_engine(engine)
        return engine

    def _engine_vanishes(self) -> str:
        engine = self._choose_engine()
        acked_ms = self.system.remove_endpoint(engine)
        self.record.leaving.append((engine, acked_ms))
        eventlet.sleep(_OBSERVE_S)
        self.system.engines[engine].kill()
        self.system.start_engine(engine)
        return engine

    def _odd_entries(self) -> str:
        """Lets another writer leave odd entries while the state changes.

        An engine leaves, and its entry is overwritten while it drains. A key
        is revoked meanwhile.
        """
        engine = self._choose_engine()
        acked_ms = self.system.put_endpoint(engine, True)
        self.record.leaving.append((engine, acked_ms))
        for _ in range(_ODD_ROUNDS):
            self.system.put_odd_entries(self.rng)
            eventlet.sleep(_OBSERVE_S / _ODD_ROUNDS)
        self.system.put_unknown_state(engine)
        self._revoke_key()
        eventlet.sleep(_OBSERVE_S)
        self.system.engines[engine].kill()
        self.system.remove_endpoint(engine)
        self.system.start_engine(engine)
        return engine

    def _store_down(self, seconds: float) -> str:
        self.system.set_store_faults(down=True)
        eventlet.sleep(seconds)
        self.system.set_store_faults()
        return ""

    def _store_slow(self) -> str:
        self.system.set_store_faults(delay_ms=_ADDED_DELAY_MS)
        eventlet.sleep(_STORE_OUTAGE_S)
        self.system.set_store_faults()
        return ""

    def _store_cut(self) -> str:
        name = self._choose_instance()
        proxy = self.system.entry_instances[name].store_proxy
        proxy.blackholed = True
        eventlet.sleep(_STORE_OUTAGE_S)
        proxy.blackholed = self._all_cut
        return name

    def _store_resets(self) -> str:
        for _ in range(10):
            for instance in self.system.entry_instances.values():
                instance.store_proxy.reset()
            eventlet.sleep(0.2)
        return ""

    def _revoke_key(self) -> None:
        team = self.rng.choice(sorted(self.system.keys)[1:])
        del self.system.keys[team]
        self.record.revoked_teams.append((team, self.system.put_config()))

    def _key_revoked(self) -> str:
        self._revoke_key()
        eventlet.sleep(_OBSERVE_S)
        return ""

    def _key_revoked_while_cut(self) -> str:
        """Revokes a key while no instance reaches the store.

        The instances must refuse the key although they cannot read the change.
        """
        proxies = [i.store_proxy for i in self.system.entry_instances.values()]
        self._all_cut = True
        for proxy in proxies:
            proxy.blackholed = True
        self._revoke_key()
        eventlet.sleep(_REVOCATION_OUTAGE_S)
        self._all_cut = False
        for proxy in proxies:
            proxy.blackholed = False
        return ""

    def _routes_moved(self) -> str:
        self.system.plain_service = _configuration.PLAIN_SERVICES[1]
        moved_ms = self.system.put_config()
        self.record.moved_services.append(
            (_configuration.PLAIN_SERVICES[0], moved_ms)
        )
        eventlet.sleep(_OBSERVE_S)
        return ""

    def _zone_evacuated(self) -> str:
        """Evacuates a zone for longer than its requests have to move."""
        zones = {e.zone for e in self.system.endpoints.values()}
        zone = self.rng.choice(sorted(zones))
        acked_ms = self.system.evacuate_zone(zone)
        eventlet.sleep(_EVACUATION_S)
        engines = tuple(
            i for i, e in self.system.endpoints.items() if e.zone == zone
        )
        until_ms = self.clock.wall_ms()
        self.system.evacuate_zone(zone, False)
        self.record.evacuations.append(
            _record.Evacuation(zone, engines, acked_ms, until_ms)
        )
        return zone


def _freeze_process(process: fleet.BenchProcess) -> None:
    process.signal(signal.SIGSTOP)
    eventlet.sleep(_FREEZE_S)
    process.signal(signal.SIGCONT)
