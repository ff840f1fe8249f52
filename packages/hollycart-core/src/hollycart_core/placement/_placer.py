"""Chooses endpoints for prompts by predicted times."""

from collections.abc import Iterable

from hollycart_core.placement import _endpoint_state
from hollycart_core.placement import _engine_model
from hollycart_core.placement import _health
from hollycart_core.placement import _load_view
from hollycart_core.placement import _losses
from hollycart_core.placement import _search
from hollycart_core.placement import _types


class Placer:
    """Minimises the predicted loss over all prompts, one prompt at a time.

    Short answers are packed on few endpoints, since writers slow each other
    little; long prompts are split over the others, so that each part ends
    within the pauses that the writers there allow. The division follows the
    load because it is made anew with each prompt.

    Args:
        view: Work at the endpoints.
        health: Outcomes by endpoint.
    """

    def __init__(
        self, view: _load_view.LoadView, health: _health.EndpointHealth
    ) -> None:
        self.view = view
        self.health = health

    def choose(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        endpoints: Iterable[_types.Endpoint],
        now_ms: float,
    ) -> _types.Placement | None:
        """Returns the placement with the smallest loss.

        Args:
            prompt: The prompt.
            model: Step model of the service.
            endpoints: Endpoints that may be used.
            now_ms: Current instant.

        Returns:
            None if no endpoint can take the prompt.
        """
        states = [
            _endpoint_state.predict_state(
                e, self.view, self.health, model, now_ms
            )
            for e in endpoints
        ]
        total = model.parameters.memory_tokens * _search.MEMORY_SHARE
        needed = prompt.tokens + prompt.output_tokens
        search = _search.Search(
            prompt,
            model,
            now_ms,
            states,
            [s for s in states if s.memory_tokens + needed <= total],
            [s for s in states if s.helping < s.endpoint.slots],
            _losses.quick_demand(prompt, model, states),
            _losses.unseen_arrivals(model, states),
        )
        return search.run()

    def expected_decode_step_ms(
        self, endpoint: str, model: _engine_model.EngineModel
    ) -> float | None:
        """Returns the published time of a pass in which nothing is read.

        Args:
            endpoint: Id of the endpoint.
            model: Step model of its service.

        Returns:
            None while prompts are read there, since the time is not certain.
        """
        writers = context = 0
        for assignment in self.view.on_endpoint(endpoint):
            if not assignment.decoding:
                return None
            writers += 1
            context += assignment.context_tokens
        return model.decode_step_ms(writers, context) if writers else None
