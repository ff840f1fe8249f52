"""Faults from outside: signals, the operator, and the proxies."""

from collections.abc import Callable
import random
import signal

import eventlet

from hollycart_bench import fleet
from hollycart_bench.soak import _configuration
from hollycart_bench.soak import _record
from hollycart_bench.soak import _system
from hollycart_core import base
import hollycart_standins

_FREEZE_S = 3.0
_CUT_S = 3.0
_OUTAGE_S = 4.0
_LONG_OUTAGE_S = 7.0  # longer than removed keys may still work
_SLOW_MS = 200.0
_DOWN_S = 1.0
_GRACE_S = 12.0
_WATCHED_S = 4.0  # from the acknowledgement of a change
_REST_S = 1.5  # between two faults


class FaultInjector:
    """Injects every kind of fault in a drawn order, one after the other.

    Args:
        system: What is harmed.
        record: Receives what was done.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        system: _system.SoakSystem,
        record: _record.SoakRecord,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.record = record
        self.clock = clock
        self.rng = rng

    def kinds(self) -> dict[str, Callable[[], str]]:
        """Returns all faults by kind; each returns what it touched."""
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
            "engine_leaves": self._engine_leaves,
            "engine_vanishes": self._engine_vanishes,
            "store_down": lambda: self._store_away(_OUTAGE_S),
            "store_slow": self._store_slow,
            "store_cut": self._store_cut,
            "store_resets": self._store_resets,
            "key_revoked": self._key_revoked,
            "key_revoked_while_cut": self._key_revoked_while_cut,
            "routes_moved": self._routes_moved,
        }

    def run(self) -> None:
        """Injects each kind once."""
        kinds = list(self.kinds().items())
        self.rng.shuffle(kinds)
        for kind, inject in kinds:
            eventlet.sleep(_REST_S)
            began_ms = self.clock.wall_ms()
            target = inject()
            self.record.faults.append(
                _record.Fault(kind, target, began_ms, self.clock.wall_ms())
            )

    def _node(self) -> str:
        return self.rng.choice(sorted(self.system.nodes))

    def _engine(self) -> str:
        return self.rng.choice(sorted(self.system.engines))

    def _kill(self) -> str:
        name = self._node()
        process = self.system.nodes[name].process
        process.kill()
        eventlet.sleep(_DOWN_S)
        process.start()
        self.system.wait_ready(name)
        return name

    def _freeze(self) -> str:
        name = self._node()
        _pause(self.system.nodes[name].process)
        return name

    def _stop(self) -> str:
        name = self._node()
        process = self.system.nodes[name].process
        process.signal(signal.SIGTERM)
        self.record.exits.append((name, process.wait(_GRACE_S)))
        process.start()
        self.system.wait_ready(name)
        return name

    def _reload(self) -> str:
        name = self._node()
        node = self.system.nodes[name]
        cfg = node.cfg._replace(retry_slack=node.cfg.retry_slack - 10.0)
        node.path.write_text(hollycart_standins.encode_settings(cfg))
        node.process.signal(signal.SIGHUP)
        eventlet.sleep(_DOWN_S)
        return name

    def _engine_kill(self) -> str:
        engine = self._engine()
        self.system.engines[engine].kill()
        eventlet.sleep(_DOWN_S)
        self.system.remove_endpoint(engine)
        self.system.start_engine(engine)
        return engine

    def _engine_freeze(self) -> str:
        engine = self._engine()
        _pause(self.system.engines[engine])
        return engine

    def _engine_cut(self) -> str:
        engine = self._engine()
        proxy = self.system.proxies[engine]
        proxy.cut = True
        eventlet.sleep(_CUT_S)
        proxy.cut = False
        return engine

    def _engine_reset(self) -> str:
        engine = self._engine()
        for _ in range(3):
            self.system.proxies[engine].reset()
            eventlet.sleep(0.3)
        return engine

    def _engine_slow(self) -> str:
        engine = self._engine()
        proxy = self.system.proxies[engine]
        proxy.delay_ms = _SLOW_MS
        eventlet.sleep(_CUT_S)
        proxy.delay_ms = 0.0
        return engine

    def _engine_leaves(self) -> str:
        engine = self._engine()
        acked_ms = self.system.put_endpoint(engine, True)
        self.record.leaving.append((engine, acked_ms))
        eventlet.sleep(_WATCHED_S)
        self.system.engines[engine].kill()
        self.system.remove_endpoint(engine)
        self.system.start_engine(engine)
        return engine

    def _engine_vanishes(self) -> str:
        engine = self._engine()
        acked_ms = self.system.remove_endpoint(engine)
        self.record.leaving.append((engine, acked_ms))
        eventlet.sleep(_WATCHED_S)
        self.system.engines[engine].kill()
        self.system.start_engine(engine)
        return engine

    def _store_away(self, seconds: float) -> str:
        self.system.harm_store(down=True)
        eventlet.sleep(seconds)
        self.system.harm_store()
        return ""

    def _store_slow(self) -> str:
        self.system.harm_store(delay_ms=_SLOW_MS)
        eventlet.sleep(_OUTAGE_S)
        self.system.harm_store()
        return ""

    def _store_cut(self) -> str:
        name = self._node()
        proxy = self.system.nodes[name].store
        proxy.cut = True
        eventlet.sleep(_OUTAGE_S)
        proxy.cut = False
        return name

    def _store_resets(self) -> str:
        for _ in range(10):
            for node in self.system.nodes.values():
                node.store.reset()
            eventlet.sleep(0.2)
        return ""

    def _revoke(self) -> None:
        team = self.rng.choice(sorted(self.system.keys)[1:])
        del self.system.keys[team]
        self.record.revoked.append((team, self.system.put_config()))

    def _key_revoked(self) -> str:
        self._revoke()
        eventlet.sleep(_WATCHED_S)
        return ""

    def _key_revoked_while_cut(self) -> str:
        """Nobody but the operator reaches the store; the key must stop."""
        proxies = [n.store for n in self.system.nodes.values()]
        for proxy in proxies:
            proxy.cut = True
        self._revoke()
        eventlet.sleep(_LONG_OUTAGE_S)
        for proxy in proxies:
            proxy.cut = False
        return ""

    def _routes_moved(self) -> str:
        self.system.plain = _configuration.PLAIN_SERVICES[1]
        moved_ms = self.system.put_config()
        self.record.moved.append((_configuration.PLAIN_SERVICES[0], moved_ms))
        eventlet.sleep(_WATCHED_S)
        return ""


def _pause(process: fleet.BenchProcess) -> None:
    process.signal(signal.SIGSTOP)
    eventlet.sleep(_FREEZE_S)
    process.signal(signal.SIGCONT)
