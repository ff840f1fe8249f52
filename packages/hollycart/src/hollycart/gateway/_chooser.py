"""Chooses endpoints for attempts."""

import collections

from hollycart.gateway import _address_book
from hollycart.gateway import _delegator
from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _permits
from hollycart.gateway import _share_guard
from hollycart.gateway import _spill
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement
from hollycart_core import routing

# Share of the expected decode time that is reserved before the deadline. Half
# of the answers are shorter than expected, some much shorter.
_RESERVED_DECODE_SHARE = 0.5

_OPEN = placement.ZoneAccess.OPEN
_LAST_RESORT = placement.ZoneAccess.LAST_RESORT
_CLOSED = placement.ZoneAccess.CLOSED


class EndpointChooser:
    """Chooses by predicted loss for prompts, by load for other requests.

    Args:
        platform_state: Endpoints in force.
        placer: Chooses endpoints for prompts.
        health: Health of the endpoints.
        restrictions: What the endpoints asked for in their responses.
        permits: Permits for endpoints that limit their rate.
        book: Division of the fleet into cells.
        delegator: Offers prompts to other cells.
        zone: Availability zone of this instance.
        share_guard: Refuses late prompts of teams that exceed their share; None
            if teams do not share capacity.
        spill: Decides what leaves the zone, where that is asked for.

    Attributes:
        in_flight: Attempts of this instance in flight, by endpoint.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        placer: placement.Placer,
        health: placement.EndpointHealth,
        restrictions: placement.EndpointRestrictions,
        permits: _permits.PermitExchange,
        book: _address_book.AddressBook,
        delegator: _delegator.Delegator,
        zone: str,
        share_guard: _share_guard.ShareGuard | None = None,
        spill: _spill.ZoneSpillControl | None = None,
    ) -> None:
        self.platform_state = platform_state
        self.placer = placer
        self.health = health
        self.restrictions = restrictions
        self.permits = permits
        self.book = book
        self.delegator = delegator
        self.share_guard = share_guard
        self.zone = zone
        self.spill = spill
        self.in_flight: collections.Counter[str] = collections.Counter()
        self._models: dict[routing.EngineParameters, placement.EngineModel] = {}

    def choose(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        attempt_id: str,
        now_ms: float,
    ) -> placement.Placement:
        """Returns the placement of an attempt.

        Raises:
            NoEndpointError: If the service has no endpoint left to try.
            OverloadedError: If the caller would abandon the request before the
                predicted first event, or all endpoints asked for a pause or
                have reached the limits that they named.
            ZonesEvacuatedError: If the zones of all endpoints are evacuated.
            MemoryUnavailableError: If no endpoints have enough KV-cache memory
                now.
        """
        service = request.service
        if service.engine is None or not request.meta.prompt_tokens:
            candidates = self._candidates(
                service.name, progress.excluded, now_ms
            )
            if progress.is_isolated:
                idle = [e for e in candidates if not self.in_flight[e.id]]
                candidates = idle or candidates
            cold = self.permits.notices.cold_ids(candidates, now_ms)
            endpoint = self._choose_plain(candidates, cold, now_ms)
            assert endpoint is not None
            return placement.Placement(endpoint, (), (), 0.0, 0.0)
        model = self.model(service.engine)
        prompt = self.make_prompt(request, progress, attempt_id, now_ms)
        own = None
        if progress.is_isolated:
            busy = self._busy_endpoints(service.name)
            own = self.place_in_cell(
                service, prompt, progress.excluded | busy, now_ms
            )
        own = own or self.place_in_cell(
            service, prompt, progress.excluded, now_ms
        )
        chosen = own
        if not progress.is_isolated or own is None:
            chosen = (
                self.delegator.offer(
                    request.meta.request_id,
                    service.name,
                    prompt,
                    progress.excluded,
                    own,
                    len(request.exchange.body),
                )
                or own
            )
        chosen = self._avoid_lateness(
            service, prompt, progress.excluded, chosen, now_ms
        )
        if chosen is None:
            candidates = self._candidates(
                service.name, progress.excluded, now_ms
            )
            # The endpoints of other cells are used without knowing their load
            # only if there is no other way.
            if self.book.other_cells:
                chosen = self.placer.choose(
                    prompt,
                    model,
                    candidates,
                    now_ms,
                    self._primary_only(candidates, now_ms),
                )
        if chosen is None:
            raise _failures.MemoryUnavailableError(
                "no endpoints with KV-cache memory for "
                f"{prompt.tokens} prompt tokens",
                _failures.RETRY_AFTER_MS,
            )
        retry_after_ms = chosen.retry_after_ms(prompt)
        if retry_after_ms is not None and not progress.may_have_executed:
            raise base.OverloadedError(
                f"first event in {chosen.first_event_ms:.0f} ms, "
                f"caller leaves in {prompt.remaining_ms:.0f} ms",
                retry_after_ms,
            )
        if self.share_guard and not self.delegator.holds(attempt_id):
            self.share_guard.check(request, progress, prompt, chosen, model)
        if chosen is own:
            self.record_placement(service.name, prompt, chosen)
        return chosen

    def preview(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        attempt_id: str,
        now_ms: float,
    ) -> placement.Placement | None:
        """Returns the best placement of a prompt in the own cell, if any.

        The prompt is not offered to other cells.
        """
        if request.service.engine is None or not request.meta.prompt_tokens:
            return None
        prompt = self.make_prompt(request, progress, attempt_id, now_ms)
        return self.place_in_cell(
            request.service, prompt, progress.excluded, now_ms
        )

    def _choose_plain(
        self,
        candidates: list[placement.Endpoint],
        cold: frozenset[str],
        now_ms: float,
    ) -> placement.Endpoint | None:
        if self.spill is None or not self.spill.in_force:
            return placement.least_busy(
                candidates, self.in_flight, self.zone, cold
            )
        warm = [e for e in candidates if e.id not in cold]
        return self.spill.choose_plain(
            warm or candidates, self.in_flight, now_ms
        )

    def record_placement(
        self,
        service: str,
        prompt: placement.Prompt,
        chosen: placement.Placement,
    ) -> None:
        """Records the placement of a prompt in the own cell."""
        if self.spill is not None:
            self.spill.record_placement(service, prompt, chosen)

    def place_in_cell(
        self,
        service: routing.Service,
        prompt: placement.Prompt,
        excluded: set[str],
        now_ms: float,
        last_resort: bool = False,
    ) -> placement.Placement | None:
        """Returns the best placement in the own cell, if there is one.

        Args:
            service: Service of the prompt.
            prompt: The prompt.
            excluded: Ids of endpoints that are not to be tried.
            now_ms: Current instant.
            last_resort: Whether zones may be used that are being evacuated.
        """
        assert service.engine is not None
        usable = [
            e
            for e in self._accepting(service.name, now_ms, last_resort)
            if e.id not in excluded and self.book.is_in_cell(e.zone)
        ]
        healthy = [e for e in usable if self.health.usable(e.id, now_ms)]
        candidates = healthy or usable
        return self.placer.choose(
            prompt,
            self.model(service.engine),
            candidates,
            now_ms,
            self._primary_only(candidates, now_ms),
        )

    def _avoid_lateness(
        self,
        service: routing.Service,
        prompt: placement.Prompt,
        excluded: set[str],
        chosen: placement.Placement | None,
        now_ms: float,
    ) -> placement.Placement | None:
        """Returns a placement in zones being evacuated if it is late elsewhere.

        Args:
            service: Service of the prompt.
            prompt: The prompt.
            excluded: Ids of endpoints that are not to be tried.
            chosen: Best placement outside these zones; None if there is none.
            now_ms: Current instant.

        Returns:
            The better of the two; None if there is none.
        """
        if chosen is not None and chosen.first_event_ms <= prompt.target_ms:
            return chosen
        evacuations = self.platform_state.evacuations
        if not any(
            evacuations.access(zone, now_ms) is _LAST_RESORT
            for zone in evacuations.in_force()
        ):
            return chosen
        own = self.place_in_cell(service, prompt, excluded, now_ms, True)
        if own is None:
            return chosen
        if chosen is not None:
            if chosen.predicted_loss <= own.predicted_loss:
                return chosen
            if self.delegator.holds(prompt.attempt_id):
                self.delegator.remove(prompt.attempt_id)
        return own

    def count_open_endpoints(self, now_ms: float) -> dict[str, int]:
        """Returns the number of open endpoints of the own cell, by service."""
        cfg = self.platform_state.config
        if cfg is None:
            return {}
        return {
            name: self.placer.count_open(
                [
                    e
                    for e in self._accepting(name, now_ms)
                    if self.book.is_in_cell(e.zone)
                    and not self.permits.notices.is_cold(e, now_ms)
                ],
                now_ms,
            )
            for name, service in cfg.services.items()
            if service.engine is not None
        }

    def rooms(self, now_ms: float) -> dict[str, placement.ServiceRoom]:
        """Returns the room of the own cell for prompts, by service.

        Endpoints that get requests at a limited rate only are not counted: no
        prompts should come from other cells for them.
        """
        cfg = self.platform_state.config
        if cfg is None or self.spill is None or not self.spill.in_force:
            return {}
        found = {}
        for name, service in cfg.services.items():
            if service.engine is None:
                continue
            accepting = [
                e
                for e in self._accepting(name, now_ms)
                if self.book.is_in_cell(e.zone)
                and self.health.usable(e.id, now_ms)
            ]
            limited = self._primary_only(accepting, now_ms)
            found[name] = placement.ServiceRoom(
                *self.placer.count_slots(
                    e for e in accepting if e.id not in limited
                ),
                self.spill.mean_loss(name, now_ms),
            )
        return found

    def _busy_endpoints(self, service: str) -> set[str]:
        """Returns the ids of the endpoints that run prompts."""
        view = self.placer.view
        return {
            e.id
            for e in self.platform_state.endpoints.values()
            if e.service == service and any(view.on_endpoint(e.id))
        }

    def make_prompt(
        self,
        request: _job.AdmittedRequest,
        progress: _job.Progress,
        attempt_id: str,
        now_ms: float,
    ) -> placement.Prompt:
        """Returns what placement needs of a request to a model engine."""
        assert request.service.engine is not None
        elapsed_ms = now_ms - request.exchange.received_ms
        last_activity_ms = (
            progress.last_event_ms or request.exchange.received_ms
        )
        decode_ms = _RESERVED_DECODE_SHARE * self.model(
            request.service.engine
        ).decode_ms(request.meta.output_tokens)
        abandon_at_ms = min(
            request.deadline_ms - decode_ms,
            last_activity_ms + request.route.abandon_after_ms,
        )
        prompt = placement.Prompt(
            attempt_id,
            request.meta.prompt_tokens,
            request.meta.output_tokens,
            request.route.target_ms - elapsed_ms,
            abandon_at_ms - now_ms,
            request.route.max_gap_ms,
            self.zone,
            request.service.engine.usual_prompt_tokens,
            self.share_guard.team_of(request) if self.share_guard else "",
        )
        if self.spill is None:
            return prompt
        return self.spill.with_crossing_losses(
            request.service.name, prompt, len(request.exchange.body)
        )

    def model(
        self, parameters: routing.EngineParameters
    ) -> placement.EngineModel:
        """Returns the cached model of engines with these parameters."""
        model = self._models.get(parameters)
        if model is None:
            model = placement.EngineModel(parameters)
            self._models[parameters] = model
        return model

    def record_gap(
        self,
        request: _job.AdmittedRequest,
        endpoint: str,
        gap_ms: float,
        now_ms: float,
    ) -> None:
        """Records a gap relative to the time expected for a decode step."""
        if request.service.engine is None:
            return
        expected_ms = self.placer.expected_decode_step_ms(
            endpoint, self.model(request.service.engine)
        )
        if expected_ms:
            self.health.record_slowness(endpoint, gap_ms / expected_ms, now_ms)

    def _candidates(
        self, service: str, excluded: set[str], now_ms: float
    ) -> list[placement.Endpoint]:
        accepting = self._accepting(service, now_ms, last_resort=True)
        usable = [e for e in accepting if e.id not in excluded]
        if not accepting:
            self._check_waits(service, now_ms)
        if not usable:
            raise base.NoEndpointError(
                f"no endpoint of service {service} left to try",
                _failures.RETRY_AFTER_MS,
            )
        healthy = [e for e in usable if self.health.usable(e.id, now_ms)]
        best = healthy or usable
        if not self.platform_state.evacuations.in_force():
            return best
        return [e for e in best if self._access(e, now_ms) is _OPEN] or best

    def _access(
        self, endpoint: placement.Endpoint, now_ms: float
    ) -> placement.ZoneAccess:
        return self.platform_state.evacuations.access(endpoint.zone, now_ms)

    def cold_ids(self, service: str, now_ms: float) -> frozenset[str]:
        """Returns the ids of a service's endpoints that are cold."""
        return self.permits.notices.cold_ids(self._listed(service), now_ms)

    def _listed(self, service: str) -> list[placement.Endpoint]:
        return [
            e
            for e in self.platform_state.endpoints.values()
            if e.service == service and not self.restrictions.is_leaving(e)
        ]

    def _accepting(
        self, service: str, now_ms: float, last_resort: bool = False
    ) -> list[placement.Endpoint]:
        allowed = (_OPEN, _LAST_RESORT) if last_resort else (_OPEN,)
        evacuations = self.platform_state.evacuations
        closed = {
            zone
            for zone in evacuations.in_force()
            if evacuations.access(zone, now_ms) not in allowed
        }
        return [
            e
            for e in self.platform_state.endpoints.values()
            if e.service == service
            and e.zone not in closed
            and self.restrictions.accepts(e, now_ms)
            and self.permits.wait_ms(e, now_ms) == 0.0
        ]

    def _primary_only(
        self, endpoints: list[placement.Endpoint], now_ms: float
    ) -> frozenset[str]:
        """Returns the endpoints that limit their rate, or are cold.

        They get whole prompts, each with a permit, but no parts of prompts and
        no reservations, which are requests of their own.
        """
        limited = {
            e.id for e in endpoints if self.permits.limits.find(e) is not None
        }
        return self.permits.notices.cold_ids(endpoints, now_ms) | limited

    def _check_waits(self, service: str, now_ms: float) -> None:
        """Refuses the request if no endpoint of the service accepts any now.

        The load it answers: all engines are full, and ask for a pause or have
        reached their limits, or their zones are evacuated. A request that
        waited would only hold its caller.
        """
        listed = self._listed(service)
        if not listed:
            return
        zones = {e.zone for e in listed if self._access(e, now_ms) is _CLOSED}
        listed = [e for e in listed if e.zone not in zones]
        if not listed:
            raise _failures.ZonesEvacuatedError(
                f"all zones with endpoints of service {service} are "
                f"evacuated: {', '.join(sorted(zones))}",
                _failures.EVACUATED_RETRY_AFTER_MS,
            )
        earliest_ms = min(
            max(
                self.restrictions.pause_left_ms(e, now_ms),
                self.permits.wait_ms(e, now_ms),
            )
            for e in listed
        )
        retry_after_ms = self.permits.return_after_ms(
            listed, earliest_ms, now_ms
        )
        raise base.OverloadedError(
            f"all {len(listed)} endpoints of service {service} asked for a "
            f"pause or have reached their limits, the first accepts requests "
            f"in {earliest_ms:.0f} ms",
            max(retry_after_ms, placement.MIN_RETRY_AFTER_MS),
        )
