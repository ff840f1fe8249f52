"""Placement schemes that the simulation compares."""

from collections.abc import Iterable
from typing import NamedTuple

from hollycart_bench import virtual
from hollycart_core import placement

# Time from reading the load view for a placement until all instances know of
# the placement.
_PROPAGATION_DELAY_MS = 10.0
# Round trip of a call to the owner in another availability zone of the users.
_OWNER_ROUND_TRIP_MS = 2.8


class FewestRequests:
    """Chooses the endpoint with the fewest requests; splits no prompts.

    Args:
        view: Assignments at the endpoints.
        health: Not used; every policy gets it.
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
        """Returns a placement; None if one KV cache is too small."""
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


class PlacementScheme(NamedTuple):
    """Describes where placements are decided and by which policy.

    Attributes:
        instances: Number of instances that decide, each on its own load view.
        propagation_delay_ms: Time until the other instances know of a
            placement, in ms.
        decision_latency_ms: Time that a decision adds to each request, in ms.
        make_policy: Makes the policy of an instance from its load view.
    """

    instances: int
    propagation_delay_ms: float
    decision_latency_ms: float
    make_policy: virtual.PolicyFactory


# In "alone" and "fewest" each instance decides on its own load view; in "owner"
# one instance decides for all.
SCHEMES = {
    "alone": PlacementScheme(8, _PROPAGATION_DELAY_MS, 0.0, placement.Placer),
    "owner": PlacementScheme(1, 0.0, _OWNER_ROUND_TRIP_MS, placement.Placer),
    "fewest": PlacementScheme(8, _PROPAGATION_DELAY_MS, 0.0, FewestRequests),
}
