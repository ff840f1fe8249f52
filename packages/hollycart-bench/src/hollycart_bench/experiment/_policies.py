"""Ways to decide that are played against each other."""

from collections.abc import Iterable
from typing import NamedTuple

from hollycart_bench import virtual
from hollycart_core import placement

# Time from the view on which a placement rests until all instances know it.
_ANNOUNCED_MS = 10.0
# A call to the owner and back between two availability zones of the users.
_CALL_MS = 2.8


class FewestRequests:
    """Chooses the endpoint with the fewest requests; splits nothing.

    Args:
        view: Work at the endpoints.
        health: Not used.
    """

    def __init__(
        self, view: placement.LoadView, health: placement.EndpointHealth
    ) -> None:
        self.view = view
        self.health = health

    def choose(
        self,
        prompt: placement.Prompt,
        model: placement.EngineModel,
        endpoints: Iterable[placement.Endpoint],
        now_ms: float,
    ) -> placement.Placement | None:
        """Returns the placement, None for prompts over one memory."""
        needed = prompt.tokens + prompt.output_tokens
        if needed > model.parameters.memory_tokens:
            return None
        chosen = min(
            endpoints, key=lambda e: len(list(self.view.on_endpoint(e.id)))
        )
        prefill_ms = model.prefill_ms(prompt.tokens)
        assignment = placement.Assignment(
            prompt.attempt_id,
            chosen.id,
            True,
            False,
            prefill_ms,
            now_ms + prefill_ms,
            now_ms + prefill_ms,
            now_ms + prompt.target_ms,
            prompt.max_gap_ms,
            prompt.tokens,
            needed,
            prompt.weight,
        )
        return placement.Placement(chosen, (), (assignment,), prefill_ms, 0.0)


class Way(NamedTuple):
    """How decisions are made.

    Attributes:
        instances: Views that differ.
        propagation_delay_ms: Time until the other views know of a placement,
            in ms.
        call_ms: Time that each decision takes from its request, in ms.
        make_policy: Makes the policy of an instance.
    """

    instances: int
    propagation_delay_ms: float
    call_ms: float
    make_policy: virtual.PolicyFactory


WAYS = {
    "alone": Way(8, _ANNOUNCED_MS, 0.0, placement.Placer),
    "owner": Way(1, 0.0, _CALL_MS, placement.Placer),
    "fewest": Way(8, _ANNOUNCED_MS, 0.0, FewestRequests),
}
