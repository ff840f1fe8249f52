"""Stand-ins by which a request is placed without an effect on anything."""

from collections.abc import Collection
import copy
import random

from hollycart import observe
from hollycart.gateway import _candidates
from hollycart.gateway import _chooser
from hollycart.gateway import _delegator
from hollycart.gateway import _permits
from hollycart.gateway import _spill
from hollycart_core import placement

_SEED = 0  # nothing random is decided by the stand-ins


class PermitPreview(_permits.PermitExchange):
    """Knows the waits of a permit exchange; asks for nothing.

    Args:
        permits: The permit exchange.

    Attributes:
        has_planned_return: Whether the return of a refused caller was asked
            for, which the grantor of an endpoint would plan.
    """

    def __init__(self, permits: _permits.PermitExchange) -> None:
        super().__init__(
            permits.peers,
            permits.notices,
            permits.log,
            observe.Metrics(),
            permits.clock,
            random.Random(_SEED),
        )
        self.permits = permits
        self.has_planned_return = False

    def wait_ms(self, endpoint: placement.Endpoint, now_ms: float) -> float:
        """Returns the time until an endpoint may accept a request, in ms."""
        return self.permits.wait_ms(endpoint, now_ms)

    def return_after_ms(
        self,
        endpoints: list[placement.Endpoint],
        earliest_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the earliest return of a refused caller, in ms."""
        del endpoints, now_ms
        self.has_planned_return = True
        return earliest_ms


class OfferPreview(_delegator.Delegator):
    """Offers nothing to other cells, but keeps what would be offered.

    Args:
        delegator: Offers prompts to other cells.
        spill: Decides by gain and cost where that is asked for; a preview.

    Attributes:
        own: Best placement of the prompt in the own cell; None if there is
            none.
        is_made: Whether the prompt would be offered.
    """

    def __init__(
        self,
        delegator: _delegator.Delegator,
        spill: _spill.ZoneSpillControl | None,
    ) -> None:
        super().__init__(
            delegator.peers,
            delegator.platform_state,
            delegator.restrictions,
            delegator.permits,
            delegator.log,
            delegator.clock,
            random.Random(_SEED),
            spill,
        )
        self.own: placement.Placement | None = None
        self.is_made = False

    @property
    def weighs_gain(self) -> bool:
        """Whether gain and cost decide, instead of fixed thresholds."""
        return self.spill is not None and self.spill.in_force

    def min_loss(self, prompt: placement.Prompt) -> float:
        """Returns the loss in the own cell from which others are considered."""
        if self.spill is not None and self.spill.in_force:
            return self.spill.min_offer_loss(prompt)
        return placement.min_offer_loss(prompt)

    def offer(
        self,
        request_id: str,
        service: str,
        prompt: placement.Prompt,
        excluded: Collection[str],
        own: placement.Placement | None,
        body_bytes: int = 0,
    ) -> placement.Placement | None:
        """Keeps whether the prompt would be offered; returns None."""
        del request_id, excluded
        self.own = own
        if self.spill is not None and self.spill.in_force:
            cells = sorted(self.peers.book.other_cells)
            self.is_made = (
                self.spill.decide(service, prompt, own, cells, body_bytes)
                is not None
            )
        else:
            max_loss = placement.max_remote_loss(prompt, own)
            cells = self.open_cells(self.clock.now_ms())
            self.is_made = max_loss is not None and bool(cells)
        return None


def preview_chooser(
    chooser: _chooser.EndpointChooser,
    permits: PermitPreview,
    offers: OfferPreview,
) -> _chooser.EndpointChooser:
    """Returns a chooser that chooses as another one, without effects on it."""
    preview = copy.copy(chooser)
    preview.permits = permits
    preview.candidates = _candidates.Candidates(
        chooser.platform_state, chooser.health, chooser.restrictions, permits
    )
    preview.delegator = offers
    preview.spill = offers.spill
    if chooser.share_guard is not None:
        preview.share_guard = chooser.share_guard.preview()
    return preview
