"""Chooses endpoints for requests among those in force."""

import collections

from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement
from hollycart_core import routing

# Part of an answer's expected length for which time is kept: half of the
# lengths are below the estimate, some far below.
_SURE_ANSWER = 0.5


class EndpointChooser:
    """Filters endpoints and asks the placer, or takes the least busy one.

    Args:
        platform_state: Endpoints in force.
        placer: Chooses endpoints for prompts.
        health: Outcomes by endpoint.
        zone: Availability zone of this instance.

    Attributes:
        running: Requests of this instance in progress, by endpoint.
    """

    def __init__(
        self,
        platform_state: _state.PlatformState,
        placer: placement.Placer,
        health: placement.EndpointHealth,
        zone: str,
    ) -> None:
        self.platform_state = platform_state
        self.placer = placer
        self.health = health
        self.zone = zone
        self.running: collections.Counter[str] = collections.Counter()
        self._models: dict[routing.EngineParameters, placement.EngineModel] = {}

    def choose(
        self,
        job: _job.Job,
        progress: _job.Progress,
        attempt: str,
        now_ms: float,
    ) -> placement.Placement:
        """Returns where an attempt goes.

        Raises:
            NoEndpointError: If the service has no endpoint left.
            OverloadedError: If the caller would leave before the first event.
            MemoryUnavailableError: If the prompt finds no memory now.
        """
        candidates = self._candidates(
            job.service.name, progress.excluded, now_ms
        )
        if job.service.engine is None or not job.meta.prompt_tokens:
            endpoint = placement.least_busy(candidates, self.running, self.zone)
            assert endpoint is not None
            return placement.Placement(endpoint, (), (), 0.0, 0.0)
        spent_ms = now_ms - job.exchange.received_ms
        heard_ms = progress.last_event_ms or job.exchange.received_ms
        model = self.model(job.service.engine)
        decode_ms = _SURE_ANSWER * model.decode_ms(job.meta.output_tokens)
        leaves_ms = min(
            job.deadline_ms - decode_ms, heard_ms + job.route.abandon_after_ms
        )
        prompt = placement.Prompt(
            attempt,
            job.meta.prompt_tokens,
            job.meta.output_tokens,
            job.route.target_ms - spent_ms,
            leaves_ms - now_ms,
            job.route.max_gap_ms,
            self.zone,
        )
        chosen = self.placer.choose(prompt, model, candidates, now_ms)
        if chosen is None:
            raise _failures.MemoryUnavailableError(
                "no memory free", _failures.RETRY_AFTER_MS
            )
        retry_after_ms = chosen.retry_after_ms(prompt)
        if retry_after_ms is not None and not progress.may_have_run:
            raise base.OverloadedError(
                f"first event in {chosen.first_event_ms:.0f} ms, "
                f"caller leaves in {prompt.remaining_ms:.0f} ms",
                retry_after_ms,
            )
        return chosen

    def model(
        self, parameters: routing.EngineParameters
    ) -> placement.EngineModel:
        """Returns the model of engines with these parameters."""
        model = self._models.get(parameters)
        if model is None:
            model = placement.EngineModel(parameters)
            self._models[parameters] = model
        return model

    def record_gap(
        self, job: _job.Job, endpoint: str, gap_ms: float, now_ms: float
    ) -> None:
        """Compares the pause between two events with the published time."""
        if job.service.engine is None:
            return
        expected_ms = self.placer.expected_decode_step_ms(
            endpoint, self.model(job.service.engine)
        )
        if expected_ms:
            self.health.record_slowness(endpoint, gap_ms / expected_ms, now_ms)

    def _candidates(
        self, service: str, excluded: set[str], now_ms: float
    ) -> list[placement.Endpoint]:
        usable = [
            e
            for e in self.platform_state.endpoints.values()
            if e.service == service and not e.leaving and e.id not in excluded
        ]
        if not usable:
            raise base.NoEndpointError(
                f"no endpoint of {service}", _failures.RETRY_AFTER_MS
            )
        healthy = [e for e in usable if self.health.usable(e.id, now_ms)]
        return healthy or usable
