"""Stand-ins by which a request is placed without an effect on anything."""

from collections.abc import Collection
import copy
import random

from hollycart import observe
from hollycart.gateway import _chooser
from hollycart.gateway import _delegator
from hollycart.gateway import _permits
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

    Attributes:
        own: Best placement in the own cell of the prompt that the other cells
            might have been asked about; None if there is none.
        was_asked: Whether it was for the other cells to be asked.
    """

    def __init__(self, delegator: _delegator.Delegator) -> None:
        super().__init__(
            delegator.peers,
            delegator.platform_state,
            delegator.restrictions,
            delegator.permits,
            delegator.log,
            delegator.clock,
            random.Random(_SEED),
        )
        self.own: placement.Placement | None = None
        self.was_asked = False

    def offer(
        self,
        request_id: str,
        service: str,
        prompt: placement.Prompt,
        excluded: Collection[str],
        own: placement.Placement | None,
    ) -> placement.Placement | None:
        """Keeps the placement in the own cell; returns None."""
        del request_id, service, prompt, excluded
        self.own, self.was_asked = own, True
        return None


def preview_chooser(
    chooser: _chooser.EndpointChooser,
    permits: PermitPreview,
    offers: OfferPreview,
) -> _chooser.EndpointChooser:
    """Returns a chooser that chooses as another one, without effects on it."""
    preview = copy.copy(chooser)
    preview.permits = permits
    preview.delegator = offers
    if chooser.share_guard is not None:
        preview.share_guard = chooser.share_guard.preview()
    return preview
