"""When a prompt leaves its cell, by gain and cost."""

from collections.abc import Iterable
import math
import random
from typing import NamedTuple

from hollycart_core.placement import _cell_directory
from hollycart_core.placement import _losses
from hollycart_core.placement import _spill_share
from hollycart_core.placement import _types
from hollycart_core.placement import _zone_room

# Round trips by which the first event is later: offer, connection, request.
_EXTRA_ROUND_TRIPS = 3.0
# Round trip to another cell that is assumed before the first reply, in ms.
_ROUND_TRIP_MS = 2.0
_BYTES_PER_GB = 1e9
# Error of the expected loss, relative to the weight of a prompt: at first, and
# its bounds. The lower one is the difference of latencies that cost nobody
# anything, and above the upper one no prompt would leave that is merely late.
_ERROR = 0.1
_MIN_ERROR = 0.05
_MAX_ERROR = 0.4
_ERROR_STEP = 0.1  # part of the difference by which a reply moves the error
# Time in which a learned error returns to the first one, in ms. Otherwise a
# large error would keep the replies away that could lower it.
_ERROR_MEMORY_MS = 10000.0
# Loss by which the placement in the other cell has to be better once it is
# known: its prediction was made apart.
_PLACEMENT_MARGIN = 0.1
# Weight of a prompt of usual length, for those that are displaced.
_USUAL_WEIGHT = 2.0


class HomeState(NamedTuple):
    """State of the own cell.

    Attributes:
        room: Its room for prompts of the service.
        instances: Number of its live instances.
    """

    room: _zone_room.ServiceRoom
    instances: int


class SpillOffer(NamedTuple):
    """A prompt that should be offered to another cell, with the reasons.

    Attributes:
        cell: Name of the cell.
        service: Service of the prompt.
        max_loss: Predicted loss up to which the cell should place the prompt.
        weight: Weight of the prompt.
        gain: Loss that is expected to be avoided.
        expected_loss: Loss of the prompt that is expected in the other cell.
        displaced_loss: Expected loss of other prompts there.
        round_trip_loss: Cost of the extra round trips.
        crossing_bytes: Bytes that are expected to cross.
        crossing_loss: Cost of these bytes.
        error: Error of the gain that is allowed for.
        share: Prompts an interval that this instance may send there; None for
            a prompt that the own cell would refuse.
        age_ms: Age of the cell's summary; None without one.
    """

    cell: str
    service: str
    max_loss: float
    weight: float
    gain: float
    expected_loss: float
    displaced_loss: float
    round_trip_loss: float
    crossing_bytes: int
    crossing_loss: float
    error: float
    share: float | None
    age_ms: float | None


class ZoneSpill:
    """Decides whether a prompt is offered to another cell, and to which.

    The load it answers: callers are spread unevenly over the availability
    zones, or a zone has lost its endpoints, while others have room. A prompt
    leaves if the loss that is avoided exceeds the extra round trips and the
    price of the bytes by more than the error of predictions. How many leave
    follows the difference in free capacity. As soon as the own cell has room,
    the predicted loss there is low and nothing is gained elsewhere.

    Args:
        directory: Summaries of the other cells.
    """

    def __init__(self, directory: _cell_directory.CellDirectory) -> None:
        self.directory = directory
        self._share = _spill_share.SpillShare()
        self._error = (_ERROR, float("-inf"))
        self._round_trips_ms: dict[str, float] = {}
        self._silent_ms: dict[str, float] = {}

    def decide(
        self,
        prompt: _types.Prompt,
        service: str,
        own: _types.Placement | None,
        home: HomeState,
        cells: Iterable[str],
        crossing_bytes: int,
        cost_per_gb: float,
        now_ms: float,
        rng: random.Random,
    ) -> SpillOffer | None:
        """Returns the offer of a prompt; None if it should stay.

        Args:
            prompt: The prompt.
            service: Its service.
            own: Best placement in the own cell; None if there is none.
            home: State of the own cell.
            cells: Names of the cells to choose from.
            crossing_bytes: Bytes that are expected to cross.
            cost_per_gb: Loss that a GB between zones is worth.
            now_ms: Current instant.
            rng: Source of randomness.
        """
        refused = own is None or own.retry_after_ms(prompt) is not None
        own_loss = (
            _losses.delay_loss(prompt, math.inf)
            if own is None or refused
            else own.predicted_loss
        )
        if not refused and own_loss <= self.error(now_ms) * prompt.weight:
            return None
        offers, weights = [], []
        for cell in cells:
            offer = self._weigh(
                cell,
                prompt,
                service,
                own_loss,
                crossing_bytes,
                crossing_bytes / _BYTES_PER_GB * cost_per_gb,
                now_ms,
                refused,
            )
            if offer is None:
                continue
            if own is None:
                offer = offer._replace(max_loss=math.inf)
            weight = self._free_slots(offer, home, now_ms, refused)
            if not refused:
                share = self._own_part(offer, home, weight, now_ms)
                if not self._share.allows(
                    _share_key(offer), share, now_ms, rng
                ):
                    continue
                offer = offer._replace(share=share)
            if weight > 0.0:
                offers.append(offer)
                weights.append(weight)
        if not offers:
            return None
        chosen = rng.choices(offers, weights)[0]
        self._share.take(_share_key(chosen))
        return chosen

    def record_placed(
        self, offer: SpillOffer, loss: float, wait_ms: float, now_ms: float
    ) -> None:
        """Records that the other cell placed the prompt.

        Args:
            offer: The offer.
            loss: Predicted loss of the placement.
            wait_ms: Time until the reply.
            now_ms: Current instant.
        """
        self._record_reply(offer, loss, wait_ms, now_ms)

    def record_declined(
        self, offer: SpillOffer, wait_ms: float, now_ms: float
    ) -> None:
        """Records that the other cell did not place the prompt."""
        self._share.give_back(_share_key(offer))
        self._record_reply(offer, offer.max_loss, wait_ms, now_ms)

    def record_silence(self, offer: SpillOffer, now_ms: float) -> None:
        """Records that nobody replied, or that nobody could be asked.

        The cell is not asked again before a summary arrives that was made
        later, except for prompts that the own cell would refuse.
        """
        self._share.give_back(_share_key(offer))
        self._silent_ms[offer.cell] = now_ms

    def error(self, now_ms: float) -> float:
        """Returns the error of expected losses, relative to the weight."""
        learned, at_ms = self._error
        memory = math.exp(-max(0.0, now_ms - at_ms) / _ERROR_MEMORY_MS)
        return _ERROR + (learned - _ERROR) * memory

    def round_trip_ms(self, cell: str) -> float:
        """Returns the time until a reply of a cell."""
        return self._round_trips_ms.get(cell, _ROUND_TRIP_MS)

    def round_trip_loss(self, prompt: _types.Prompt) -> float:
        """Returns the loss of one round trip between zones of a cell."""
        return _losses.extra_delay_loss(
            prompt, _zone_room.IDLE_LOSS, _ROUND_TRIP_MS
        )

    def _record_reply(
        self, offer: SpillOffer, loss: float, wait_ms: float, now_ms: float
    ) -> None:
        known_ms = self.round_trip_ms(offer.cell)
        self._round_trips_ms[offer.cell] = known_ms + _ERROR_STEP * (
            wait_ms - known_ms
        )
        # A cell that is asked since there is no other way declines for want of
        # memory; nothing is learned from the bound on its loss.
        if math.isinf(loss):
            return
        seen = abs(loss - offer.expected_loss) / offer.weight
        error = self.error(now_ms)
        error += _ERROR_STEP * (min(_MAX_ERROR, seen) - error)
        self._error = (max(_MIN_ERROR, error), now_ms)

    def _weigh(
        self,
        cell: str,
        prompt: _types.Prompt,
        service: str,
        own_loss: float,
        crossing_bytes: int,
        crossing_loss: float,
        now_ms: float,
        refused: bool,
    ) -> SpillOffer | None:
        """Returns the offer to one cell; None if it does not pay."""
        report = self.directory.find(cell, now_ms)
        if report is None or report.made_ms <= self._silent_ms.get(
            cell, -math.inf
        ):
            if not refused:
                return None
            report = None
        expected, displaced, recency = 0.5 * own_loss, 0.0, 1.0
        if report is not None:
            room = report.room(service)
            if room.free_slots <= 0:
                return None
            expected = prompt.weight * room.mean_loss
            displaced = _losses.late_loss(
                _USUAL_WEIGHT, room.shortage_probability
            )
            recency = report.recency(now_ms)
        round_trip_loss = _losses.extra_delay_loss(
            prompt,
            expected / prompt.weight,
            _EXTRA_ROUND_TRIPS * self.round_trip_ms(cell),
        )
        cost = round_trip_loss + crossing_loss
        gain = recency * (own_loss - expected - displaced)
        error = self.error(now_ms) * prompt.weight
        if gain - cost <= error:
            return None
        return SpillOffer(
            cell,
            service,
            own_loss - displaced - cost - _PLACEMENT_MARGIN,
            prompt.weight,
            gain,
            expected,
            displaced,
            round_trip_loss,
            crossing_bytes,
            crossing_loss,
            error,
            None,
            None if report is None else now_ms - report.made_ms,
        )

    def _free_slots(
        self, offer: SpillOffer, home: HomeState, now_ms: float, refused: bool
    ) -> float:
        """Returns the free slots by which a cell has more room than the own.

        Without a summary, one slot is assumed to be free.
        """
        report = self.directory.find(offer.cell, now_ms)
        if report is None:
            return 1.0
        room = report.room(offer.service)
        own_share = 0.0 if refused else home.room.free_share
        difference = max(0.0, room.free_share - own_share)
        return difference * room.slots * report.recency(now_ms)

    def _own_part(
        self,
        offer: SpillOffer,
        home: HomeState,
        free_slots: float,
        now_ms: float,
    ) -> float:
        """Returns the part of a cell's free slots for this instance.

        They are divided among the instances of the cells with less room.
        """
        senders = home.instances
        reports = self.directory.recent(now_ms)
        target = next(r for r in reports if r.cell == offer.cell)
        limit = target.room(offer.service).free_share
        senders += sum(
            r.instances
            for r in reports
            if r.room(offer.service).free_share < limit
        )
        return _spill_share.DAMPING * free_slots / max(1, senders)


def _share_key(offer: SpillOffer) -> str:
    return f"{offer.cell}/{offer.service}"
