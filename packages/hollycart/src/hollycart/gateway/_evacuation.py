"""Keeps requests away from the endpoints of evacuated availability zones."""

from collections.abc import Callable

from absl import logging

from hollycart import observe
from hollycart.gateway import _failures
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement

# The end of an evacuation that no state announces is noticed within this time.
_REFRESH_INTERVAL_MS = 250.0


def check_zone(
    evacuations: placement.ZoneEvacuations,
    endpoint: placement.Endpoint,
    now_ms: float,
) -> None:
    """Checks that an endpoint may be sent a request now.

    Raises:
        EndpointEvacuatedError: If its availability zone is closed.
    """
    access = evacuations.access(endpoint.zone, now_ms)
    if access is placement.ZoneAccess.CLOSED:
        raise _failures.EndpointEvacuatedError(
            f"zone {endpoint.zone} of {endpoint.id} is evacuated",
            _failures.RETRY_AFTER_MS,
        )


class EvacuationWatch:
    """Reports evacuations, and ends those that a restored store has lost.

    Args:
        platform_state: Evacuations and endpoints in force.
        log: Decision log.
        metrics: Receives counts.
        clock: Source of time.
        on_reopened: Called with a zone whose evacuation has ended, and the
            instant at which this instance learned of it.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        log: observe.DecisionLog,
        metrics: observe.Metrics,
        clock: base.Clock,
        on_reopened: Callable[[str, float], None],
    ) -> None:
        self.platform_state = platform_state
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.on_reopened = on_reopened
        self._reported: dict[str, placement.ZoneEvacuation] = {}
        self._task = base.PeriodicTask(
            self.refresh, _REFRESH_INTERVAL_MS, clock, self._log_fault
        )

    def start(self) -> None:
        """Starts to look for evacuations that end by themselves."""
        self._task.start()

    def close(self) -> None:
        """Stops to look for them."""
        self._task.close()

    def set_bound(self, evacuate_ms: float) -> None:
        """Sets the time after which evacuated zones get no request, in ms."""
        self.platform_state.evacuations.evacuate_ms = evacuate_ms

    def count(self) -> int:
        """Returns the number of evacuations in force."""
        return len(self.platform_state.evacuations.in_force())

    def refresh(self) -> None:
        """Ends lapsed evacuations and logs what has changed."""
        now_ms = self.clock.now_ms()
        evacuations = self.platform_state.evacuations
        evacuations.remove_lapsed(now_ms)
        before, after = self._reported, evacuations.in_force()
        self._reported = after
        for zone, evacuation in after.items():
            known = before.get(zone)
            if known is None:
                self._log_evacuated(evacuation, now_ms)
            lapse_ms = evacuations.lapse_ms(evacuation)
            if lapse_ms is not None and (
                known is None or known.missing_era != evacuation.missing_era
            ):
                self.log.write(
                    observe.decisions.ZoneEvacuationMissing(
                        zone,
                        evacuation.missing_era,
                        round(lapse_ms - now_ms, 1),
                    )
                )
        for zone, known in before.items():
            if zone not in after:
                self.on_reopened(zone, evacuations.ended_ms(zone) or now_ms)
                self.log.write(
                    observe.decisions.ZoneReopened(
                        zone,
                        round(now_ms - known.learned_ms, 1),
                        evacuations.lapse_ms(known) is not None,
                    )
                )

    def _log_evacuated(
        self, evacuation: placement.ZoneEvacuation, now_ms: float
    ) -> None:
        state = self.platform_state
        zone = evacuation.zone
        peers = state.snapshot.peers if state.snapshot else {}
        close_ms = state.evacuations.close_ms(evacuation)
        self.log.write(
            observe.decisions.ZoneEvacuated(
                zone,
                *evacuation.written,
                sum(e.zone == zone for e in state.endpoints.values()),
                sum(p.zone == zone for p in peers.values()),
                round(max(0.0, close_ms - now_ms), 1),
                round(state.freshness.age_ms(now_ms), 1),
            )
        )

    def record_placement(
        self, service: str, chosen: placement.Placement
    ) -> None:
        """Counts an attempt that an evacuation may have diverted.

        It counts once for each evacuated zone with endpoints of its service:
        as diverted, or as placed there as a last resort.
        """
        evacuated = self.platform_state.evacuations.in_force()
        if not evacuated:
            return
        zones = {
            e.zone
            for e in self.platform_state.endpoints.values()
            if e.service == service and e.zone in evacuated
        }
        used = {e.zone for e in (chosen.endpoint, *chosen.helpers)}
        for zone in zones:
            outcome = "last_resort" if zone in used else "diverted"
            self.metrics.count(f"evacuation_{outcome}.{zone}")

    def _log_fault(self, exc: Exception) -> None:
        logging.error("unexpected error in the watch of evacuations: %r", exc)
