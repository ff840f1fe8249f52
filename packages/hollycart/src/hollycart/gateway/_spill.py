"""Applies the decisions on leaving the availability zone."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import copy
import random

from hollycart import observe
from hollycart.gateway import _codec
from hollycart.gateway import _job
from hollycart.gateway import _peers
from hollycart.gateway import _settings
from hollycart_core import base
from hollycart_core import placement

# Bytes of a request and its response beside the bodies: both heads and the
# datagrams of the offer.
_OVERHEAD_BYTES = 2000
_BYTES_PER_GB = 1e9


class ZoneSpillControl:
    """Decides by gain and cost what leaves the zone, where that is asked for.

    It is in force if the deployment must bear the loss of zones or prices the
    traffic between them, and the fleet has several cells. Otherwise prompts are
    offered by fixed thresholds, and nothing of this is sent or counted.

    Args:
        peers: Exchange of datagrams with the other instances.
        policy: Returns what the deployment asks of policies.
        metrics: Receives counts.
        clock: Source of time.
        rng: Source of randomness.

    Attributes:
        rooms: Returns the room of the own cell by service, at an instant.
    """

    def __init__(
        self,
        peers: _peers.PeerExchange,
        policy: Callable[[], _settings.PolicySettings],
        metrics: observe.Metrics,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self.peers = peers
        self.policy = policy
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.rooms: Callable[[float], dict[str, placement.ServiceRoom]] = (
            lambda now_ms: {}
        )
        self._spill = placement.ZoneSpill(peers.directory)
        self._losses = placement.RecentLosses()
        self._sizes = placement.ResponseSizes()
        self._rotation = placement.ZoneRotation(peers.zone, peers.name)

    @property
    def in_force(self) -> bool:
        """Whether gain and cost decide what leaves the zone."""
        policy = self.policy()
        asked_for = (
            policy.tolerated_zones > 0 or policy.cross_zone_cost_per_gb > 0.0
        )
        return asked_for and bool(self.peers.book.other_cells)

    def preview(self) -> "ZoneSpillControl":
        """Returns a control that decides as this one, without effects on it.

        The next decision is the same, as far as chance takes part in it.
        """
        preview = copy.copy(self)
        preview.metrics = observe.Metrics()
        preview.rng = copy.copy(self.rng)
        preview._spill = self._spill.preview()
        preview._losses = copy.deepcopy(self._losses)
        preview._rotation = copy.deepcopy(self._rotation)
        return preview

    def min_offer_loss(self, prompt: placement.Prompt) -> float:
        """Returns the loss in the own cell from which others are weighed."""
        return self._spill.error(self.clock.now_ms()) * prompt.weight

    def decide(
        self,
        service: str,
        prompt: placement.Prompt,
        own: placement.Placement | None,
        cells: Iterable[str],
        body_bytes: int,
    ) -> placement.SpillOffer | None:
        """Returns the offer of a prompt to another cell; None if it stays.

        Args:
            service: Service of the prompt.
            prompt: The prompt.
            own: Best placement in the own cell; None if there is none.
            cells: Names of the cells to choose from.
            body_bytes: Bytes of the request's body.
        """
        now_ms = self.clock.now_ms()
        if self._spill.is_served_well(prompt, own, now_ms):
            return None
        room = self.rooms(now_ms).get(service, placement.ServiceRoom(0, 0))
        return self._spill.decide(
            prompt,
            service,
            own,
            placement.HomeState(room, len(self.peers.live()) + 1),
            cells,
            self.crossing_bytes(service, prompt.output_tokens, body_bytes),
            self.policy().cross_zone_cost_per_gb,
            now_ms,
            self.rng,
        )

    def record_outcome(
        self,
        offer: placement.SpillOffer,
        outcome: str,
        loss: float | None,
        wait_ms: float,
    ) -> None:
        """Records what became of an offer.

        Args:
            offer: The offer.
            outcome: `placed`, `declined` or `no_reply`.
            loss: Predicted loss in the other cell; None unless placed.
            wait_ms: Time until the reply or the timeout.
        """
        now_ms = self.clock.now_ms()
        self.metrics.count(f"spill_offered.{outcome}")
        if loss is not None:
            self._spill.record_placed(offer, loss, wait_ms, now_ms)
        elif outcome == "declined":
            self._spill.record_declined(offer, wait_ms, now_ms)
        else:
            self._spill.record_silence(offer, now_ms)

    def record_placement(
        self,
        service: str,
        prompt: placement.Prompt,
        chosen: placement.Placement,
    ) -> None:
        """Records the placement of a prompt in the own cell."""
        self._losses.record(
            service,
            chosen.predicted_loss / prompt.weight,
            self.clock.now_ms(),
        )

    def mean_loss(self, service: str, now_ms: float) -> float:
        """Returns the mean loss of recent placements in the own cell."""
        return self._losses.mean(service, now_ms)

    def crossing_bytes(
        self, service: str, output_tokens: int, body_bytes: int
    ) -> int:
        """Returns the bytes that are expected to cross for a prompt."""
        response_bytes = self._sizes.estimate(service, output_tokens)
        return body_bytes + response_bytes + _OVERHEAD_BYTES

    def with_crossing_losses(
        self, service: str, prompt: placement.Prompt, body_bytes: int
    ) -> placement.Prompt:
        """Returns a prompt with its losses in other zones of the own cell.

        The bytes are priced for the primary. The parts of helpers are not sent
        by this instance and cost a round trip.
        """
        if not self.in_force:
            return prompt
        size = self.crossing_bytes(service, prompt.output_tokens, body_bytes)
        price = self.policy().cross_zone_cost_per_gb
        return prompt._replace(
            crossing_loss=placement.CROSSING_LOSS
            + size / _BYTES_PER_GB * price,
            helper_crossing_loss=self._spill.round_trip_loss(prompt),
        )

    def choose_plain(
        self,
        endpoints: Iterable[placement.Endpoint],
        in_flight: Mapping[str, int],
        now_ms: float,
    ) -> placement.Endpoint | None:
        """Returns the endpoint for a request without a prompt, if any."""
        if not self.in_force:
            return placement.least_busy(endpoints, in_flight, self.peers.zone)
        return self._rotation.choose(endpoints, in_flight, now_ms)

    def record_load(
        self,
        endpoint: placement.Endpoint,
        response: _codec.ResponseMeta,
        in_flight: int,
    ) -> None:
        """Records the load that an endpoint of a plain service reported."""
        if self.in_force and response.running is not None:
            self._rotation.record_load(
                endpoint.id, response.running, in_flight, self.clock.now_ms()
            )

    def record_response(
        self,
        request: _job.AdmittedRequest,
        chosen: placement.Placement,
        size: int,
        complete: bool,
    ) -> None:
        """Counts what crossed between zones and learns from its size.

        Args:
            request: The request.
            chosen: Placement of the attempt.
            size: Bytes of the response that were read.
            complete: Whether the response is complete.
        """
        if not self.in_force:
            return
        if complete and request.meta.output_tokens:
            self._sizes.record(
                request.service.name, request.meta.output_tokens, size
            )
        if chosen.endpoint.zone != self.peers.zone:
            kind = "prompts" if chosen.assignments else "calls"
            self.metrics.count(f"crossed_{kind}.{chosen.endpoint.zone}")
            self.metrics.count(
                f"crossed_bytes.{chosen.endpoint.zone}",
                len(request.exchange.body) + size + _OVERHEAD_BYTES,
            )

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Forgets the load of all endpoints but those with the given ids."""
        self._rotation.retain(endpoints)


def log_terms(offer: placement.SpillOffer) -> observe.decisions.SpillTerms:
    """Returns the terms of an offer for the log."""
    return observe.decisions.SpillTerms(
        round(offer.gain, 3),
        round(offer.expected_loss, 3),
        round(offer.displaced_loss, 3),
        round(offer.round_trip_loss, 4),
        offer.crossing_bytes,
        round(offer.crossing_loss, 4),
        round(offer.error, 3),
        None if offer.slots_left is None else round(offer.slots_left, 1),
        None if offer.age_ms is None else round(offer.age_ms, 1),
    )
