"""Chooses endpoints for attempts."""

import collections

from hollycart.gateway import _failures
from hollycart.gateway import _job
from hollycart.gateway import _state
from hollycart_core import base
from hollycart_core import placement
from hollycart_core import routing

# Share of the expected decode time that is reserved before the deadline. Half
# of the answers are shorter than expected, some much shorter.
_RESERVED_DECODE_SHARE = 0.5


class EndpointChooser:
    """Chooses by predicted loss for prompts, by load for other requests.

    Args:
        platform_state: Endpoints in force.
        placer: Chooses endpoints for prompts.
        health: Health of the endpoints.
        zone: Availability zone of this instance.

    Attributes:
        in_flight: Attempts of this instance in flight, by endpoint.
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
                predicted first event.
            MemoryUnavailableError: If no endpoints have enough KV-cache memory
                now.
        """
        candidates = self._candidates(
            request.service.name, progress.excluded, now_ms
        )
        if request.service.engine is None or not request.meta.prompt_tokens:
            endpoint = placement.least_busy(
                candidates, self.in_flight, self.zone
            )
            assert endpoint is not None
            return placement.Placement(endpoint, (), (), 0.0, 0.0)
        elapsed_ms = now_ms - request.exchange.received_ms
        last_activity_ms = (
            progress.last_event_ms or request.exchange.received_ms
        )
        model = self.model(request.service.engine)
        decode_ms = _RESERVED_DECODE_SHARE * model.decode_ms(
            request.meta.output_tokens
        )
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
        )
        chosen = self.placer.choose(prompt, model, candidates, now_ms)
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
        return chosen

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
        usable = [
            e
            for e in self.platform_state.endpoints.values()
            if e.service == service and not e.leaving and e.id not in excluded
        ]
        if not usable:
            raise base.NoEndpointError(
                f"no endpoint of service {service} left to try",
                _failures.RETRY_AFTER_MS,
            )
        healthy = [e for e in usable if self.health.usable(e.id, now_ms)]
        return healthy or usable
