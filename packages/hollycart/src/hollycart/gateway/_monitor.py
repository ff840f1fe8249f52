"""Probes endpoints, so that requests do not wait for unreachable ones."""

from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import Any

from absl import logging
import eventlet

from hollycart import observe
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import placement

# A connection takes at most two round trips; an endpoint that takes longer than
# this counts as unreachable.
_PROBE_TIMEOUT_MS = 150.0
# Probes without an answer, one after the other, before the attempts that run
# there are given up. A single packet may be lost; a refusal is certain.
_SILENT_PROBES = 2
_REPROBE_INTERVAL_MS = 300.0


class _ProbeOutcome(enum.Enum):
    """What a probe found."""

    REACHED = "reached"
    REFUSED = "refused"
    SILENT = "silent"
    FAILED = "failed"  # no route, for example


class EndpointMonitor:
    """Probes suspected endpoints by connecting to them.

    A report of another instance triggers a probe, but never takes an endpoint
    out of use by itself: the network of that instance may be cut.

    Args:
        platform_state: Endpoints in force.
        health: Receives the outcomes of probes.
        clock: Source of time.
        log: Decision log.
        on_unreachable: Called with the id of an endpoint that became
            unreachable.
        on_refused: Called before that if the endpoint refused a connection:
            its process has ended.
        broadcast_suspect: Asks the other instances to probe an endpoint.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        health: placement.EndpointHealth,
        clock: base.Clock,
        log: observe.DecisionLog,
        on_unreachable: Callable[[str], None],
        on_refused: Callable[[str], None],
        broadcast_suspect: Callable[[str], None],
    ) -> None:
        self.platform_state = platform_state
        self.health = health
        self.clock = clock
        self.log = log
        self.on_unreachable = on_unreachable
        self.on_refused = on_refused
        self.broadcast_suspect = broadcast_suspect
        self._probes: dict[str, Any] = {}
        self._task = base.PeriodicTask(
            self._reprobe_unreachable,
            _REPROBE_INTERVAL_MS,
            clock,
            self._log_fault,
        )

    def start(self) -> None:
        """Starts the periodic probes of unreachable endpoints."""
        self._task.start()

    def close(self) -> None:
        """Stops the periodic probes."""
        self._task.close()

    def schedule_probe(self, endpoint_id: str) -> None:
        """Probes an endpoint in the background.

        Unreachable endpoints are left to the periodic probes.
        """
        listed = self.platform_state.endpoints.get(endpoint_id)
        if (
            listed is not None
            and endpoint_id not in self._probes
            and endpoint_id not in self.health.unreachable()
        ):
            self._probes[endpoint_id] = eventlet.spawn(self._probe, listed)

    def probe_all(self, endpoint_ids: Sequence[str]) -> None:
        """Probes endpoints at the same time and waits for the results.

        The load it answers: several engines fail at once, and a prompt that is
        split over many of them is rejected because of one. Its next placement
        should avoid all of them, not find them one by one.
        """
        for endpoint_id in endpoint_ids:
            self.schedule_probe(endpoint_id)
        for endpoint_id in endpoint_ids:
            probe = self._probes.get(endpoint_id)
            if probe is not None:
                probe.wait()

    def report_unreachable(self, endpoint_id: str, refused: bool) -> None:
        """Takes an endpoint out of use that did not accept a connection.

        Args:
            endpoint_id: Id of the endpoint.
            refused: Whether it refused the connection; otherwise it was
                silent.
        """
        if endpoint_id in self.health.unreachable():
            return
        self.log.write(observe.decisions.EndpointUnreachable(endpoint_id))
        self.health.mark_unreachable(endpoint_id)
        self.broadcast_suspect(endpoint_id)
        if refused:
            self.on_refused(endpoint_id)
        self.on_unreachable(endpoint_id)

    def _reprobe_unreachable(self) -> None:
        for endpoint_id in self.health.unreachable():
            listed = self.platform_state.endpoints.get(endpoint_id)
            if listed is None:
                self.health.remove(endpoint_id)
            elif endpoint_id not in self._probes:
                self._probes[endpoint_id] = eventlet.spawn(self._probe, listed)

    def _log_fault(self, exc: Exception) -> None:
        logging.error("unexpected error in endpoint probes: %r", exc)

    def _probe(self, endpoint: placement.Endpoint) -> None:
        outcome = _ProbeOutcome.SILENT
        try:
            for _ in range(_SILENT_PROBES):
                outcome = self._connect(endpoint)
                if outcome is not _ProbeOutcome.SILENT:
                    break
        finally:
            self._probes.pop(endpoint.id, None)
        if outcome is not _ProbeOutcome.REACHED:
            self.report_unreachable(
                endpoint.id, outcome is _ProbeOutcome.REFUSED
            )
            return
        if endpoint.id in self.health.unreachable():
            self.log.write(observe.decisions.EndpointReachable(endpoint.id))
            self.health.mark_reachable(endpoint.id)

    def _connect(self, endpoint: placement.Endpoint) -> _ProbeOutcome:
        conn = connections.ClientConnection(endpoint.address, self.clock)
        try:
            conn.start(_PROBE_TIMEOUT_MS)
        except base.EndpointUnreachableError as exc:
            if isinstance(exc.__cause__, TimeoutError):
                return _ProbeOutcome.SILENT
            if isinstance(exc.__cause__, ConnectionError):
                return _ProbeOutcome.REFUSED
            return _ProbeOutcome.FAILED
        finally:
            conn.close()
        return _ProbeOutcome.REACHED
