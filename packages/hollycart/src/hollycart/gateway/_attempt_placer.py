"""Places attempts and announces them to the other instances."""

from hollycart import observe
from hollycart.gateway import _chooser
from hollycart.gateway import _delegator
from hollycart.gateway import _job
from hollycart.gateway import _peers
from hollycart.gateway import _permits
from hollycart.gateway import _reported_load
from hollycart_core import base
from hollycart_core import placement

# Endpoints that are asked for a permit in turn; each query takes a round trip.
_MAX_PERMIT_QUERIES = 8
# Cold endpoints are many at a time, as after the evacuation of a zone. Each is
# left out until it has a permit again. Queries for them end after this time, in
# ms, since their grantors may all be silent.
_MAX_COLD_QUERY_MS = 100.0


class AttemptPlacer:
    """Chooses endpoints for attempts; announces and confirms the choice.

    Args:
        chooser: Chooses the endpoints.
        delegator: Announces attempts, also those placed by other cells.
        permits: Permits for endpoints that limit their rate.
        reported_load: Learns the load of endpoints while this instance is
            isolated.
        peers: Exchange of datagrams with the other instances.
        log: Decision log.
        clock: Source of time.
    """

    def __init__(
        self,
        chooser: _chooser.EndpointChooser,
        delegator: _delegator.Delegator,
        permits: _permits.PermitExchange,
        reported_load: _reported_load.ReportedLoad,
        peers: _peers.PeerExchange,
        log: observe.DecisionLog,
        clock: base.Clock,
    ) -> None:
        self.chooser = chooser
        self.delegator = delegator
        self.permits = permits
        self.reported_load = reported_load
        self.peers = peers
        self.log = log
        self.clock = clock

    def place(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        attempt_id: str,
    ) -> placement.Placement:
        """Returns the placement of an attempt, which has been announced.

        Raises:
            HollycartError: As `EndpointChooser.choose`; nothing is announced
                then.
        """
        chosen = self._choose(request, progress, attempt_id)
        if not chosen.assignments:
            return chosen
        self.reported_load.record_placed(attempt_id)
        known = placement.attempts_at(chosen.assignments, self.peers.view)
        self.delegator.add(chosen.assignments)
        confirmed = False
        try:
            chosen = self._confirm(request, progress, chosen, known)
            confirmed = True
        finally:
            if not confirmed:
                self.delegator.remove(attempt_id)
        return chosen

    def _choose(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        attempt_id: str,
    ) -> placement.Placement:
        """Returns a placement whose primary may be sent the request now.

        An endpoint without a permit is no candidate until it has one again.
        """
        if self.reported_load.contact.is_isolated:
            preview = self.chooser.preview(
                request, progress, attempt_id, self.clock.now_ms()
            )
            if preview is not None:
                self.reported_load.refresh(preview.assignments)
        started_ms, queries = self.clock.now_ms(), 0
        while queries < _MAX_PERMIT_QUERIES:
            chosen = self.chooser.choose(
                request, progress, attempt_id, self.clock.now_ms()
            )
            is_cold = self.permits.notices.is_cold(
                chosen.endpoint, self.clock.now_ms()
            )
            queries += not is_cold
            permitted = False
            try:
                permitted = self.permits.acquire(attempt_id, chosen.endpoint)
            finally:
                if not permitted and self.delegator.holds(attempt_id):
                    self.delegator.remove(attempt_id)
            if permitted:
                return chosen
            if (
                is_cold
                and self.clock.now_ms() - started_ms > _MAX_COLD_QUERY_MS
            ):
                progress.excluded |= self.chooser.candidates.cold_ids(
                    request.service.name, self.clock.now_ms()
                )
        raise base.OverloadedError(
            f"{queries} endpoints in turn have reached their limits",
            placement.MIN_RETRY_AFTER_MS,
        )

    def _confirm(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        chosen: placement.Placement,
        known: frozenset[str],
    ) -> placement.Placement:
        """Places a prompt again if others that conflict were placed as well."""
        attempt_id = chosen.assignments[0].attempt_id
        slots, view = chosen.endpoint.slots, self.peers.view
        if self.delegator.holds(attempt_id) or not placement.needs_confirmation(
            chosen.assignments, slots, view
        ):
            return chosen
        self.clock.sleep_ms(placement.ANNOUNCEMENT_LAG_MS)
        conflicts = placement.find_conflicts(
            chosen.assignments, slots, known, view
        )
        if not conflicts:
            return chosen
        self.log.write(
            observe.decisions.PlacedAgain(
                request.meta.request_id, attempt_id, tuple(conflicts)
            )
        )
        view.remove(attempt_id)  # the prompt does not compete with itself
        chosen = self._choose(request, progress, attempt_id)
        if self.delegator.holds(attempt_id):
            self.peers.remove(attempt_id)
        else:
            self.peers.add(chosen.assignments)
        return chosen
