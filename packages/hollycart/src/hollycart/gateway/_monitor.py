"""Finds endpoints that are gone, before requests wait for them."""

from collections.abc import Callable

from absl import logging
import eventlet

from hollycart import observe
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

# A connection takes two round trips at most; beyond this time the endpoint is
# taken as cut off.
_CHECK_TIMEOUT_MS = 150.0
_RECHECK_MS = 300.0


class EndpointMonitor:
    """Checks endpoints that an instance suspects, by connecting to them.

    A report of another instance alone condemns no endpoint: the other may be
    cut off itself.

    Args:
        platform_state: Endpoints in force.
        health: Receives the outcome.
        clock: Source of time.
        log: Receives the decisions.
        on_lost: Called with the id of an endpoint found unreachable.
        tell: Tells the other instances to check an endpoint.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        health: placement.EndpointHealth,
        clock: base.Clock,
        log: observe.DecisionLog,
        on_lost: Callable[[str], None],
        tell: Callable[[str], None],
    ) -> None:
        self.platform_state = platform_state
        self.health = health
        self.clock = clock
        self.log = log
        self.on_lost = on_lost
        self.tell = tell
        self._checking: set[str] = set()
        self._task = base.PeriodicTask(
            self._recheck, _RECHECK_MS, clock, self._note_fault
        )

    def start(self) -> None:
        """Begins to check again what was unreachable."""
        self._task.start()

    def close(self) -> None:
        """Stops."""
        self._task.close()

    def schedule_probe(self, endpoint_id: str) -> None:
        """Checks an endpoint soon, unless it is known to be unreachable."""
        known = self.platform_state.endpoints.get(endpoint_id)
        if known is None or endpoint_id in self._checking:
            return
        if endpoint_id not in self.health.unreachable():
            self._checking.add(endpoint_id)
            eventlet.spawn_n(self._check, known)

    def condemn(self, endpoint_id: str) -> None:
        """Takes an endpoint out of use that did not accept a connection."""
        if endpoint_id in self.health.unreachable():
            return
        self.log.write(observe.decisions.EndpointUnreachable(endpoint_id))
        self.health.mark_unreachable(endpoint_id)
        self.tell(endpoint_id)
        self.on_lost(endpoint_id)

    def _recheck(self) -> None:
        for endpoint_id in self.health.unreachable():
            known = self.platform_state.endpoints.get(endpoint_id)
            if known is None:
                self.health.remove(endpoint_id)
            elif endpoint_id not in self._checking:
                self._checking.add(endpoint_id)
                eventlet.spawn_n(self._check, known)

    def _note_fault(self, exc: Exception) -> None:
        logging.error("fault in checks of endpoints: %r", exc)

    def _check(self, endpoint: placement.Endpoint) -> None:
        conn = connections.ClientConnection(endpoint.address, self.clock)
        try:
            conn.start(_CHECK_TIMEOUT_MS)
        except base.EndpointUnreachableError:
            self.condemn(endpoint.id)
            return
        finally:
            conn.close()
            self._checking.discard(endpoint.id)
        if endpoint.id in self.health.unreachable():
            self.log.write(observe.decisions.EndpointReachable(endpoint.id))
            self.health.mark_reachable(endpoint.id)
