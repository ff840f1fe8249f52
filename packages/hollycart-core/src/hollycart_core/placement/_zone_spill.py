"""When a prompt leaves its cell, by gain and cost."""

from collections.abc import Iterable
import copy
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
# Loss of such a prompt that is lost, and the length of a queue, relative to the
# slots, from which a prompt in it is lost: callers leave after about a quarter
# of the time of an answer.
_LOST_LOSS = 3.1
_LOST_QUEUE_SHARE = 0.25
# Share of a refused prompt's loss that is expected in a cell without a summary.
_UNKNOWN_LOSS_SHARE = 0.5


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
        slots_left: Free slots that are assumed to be left there for it; None
            without a summary.
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
    slots_left: float | None
    age_ms: float | None


class ZoneSpill:
    """Decides whether a prompt is offered to another cell, and to which.

    The load it answers: callers are spread unevenly over the availability
    zones, or a zone has lost its endpoints, while others have room. A prompt
    leaves if the loss that is avoided exceeds the extra round trips and the
    price of the bytes by more than the error of predictions. What is displaced
    in the other cell reduces the gain. It grows as the instances together fill
    the difference in free capacity, so that prompts of usual weight stop there
    and only larger gains go beyond. As soon as the own cell has room, the
    predicted loss there is low and nothing is gained elsewhere.

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
        if own is None or refused:
            own_loss = _losses.delay_loss(prompt, math.inf)
        else:
            own_loss = own.predicted_loss
        if self.is_served_well(prompt, own, now_ms):
            return None
        question = _Question(
            prompt,
            service,
            own_loss,
            refused,
            home,
            crossing_bytes,
            crossing_bytes / _BYTES_PER_GB * cost_per_gb,
            now_ms,
        )
        found = [self._weigh(cell, question, rng) for cell in cells]
        offers = [o for o in found if o is not None]
        if not offers:
            return None
        chosen = rng.choices(
            offers, [max(1.0, o.slots_left or 0.0) for o in offers]
        )[0]
        self._share.take(_share_key(chosen.cell, service))
        if own is None:
            return chosen._replace(max_loss=math.inf)
        return chosen

    def preview(self) -> "ZoneSpill":
        """Returns an object that decides as this one, without effects on it.

        Only what `decide` changes is copied.
        """
        preview = copy.copy(self)
        preview._share = copy.deepcopy(self._share)
        return preview

    def is_served_well(
        self,
        prompt: _types.Prompt,
        own: _types.Placement | None,
        now_ms: float,
    ) -> bool:
        """Returns whether nothing can be gained outside the own cell.

        Args:
            prompt: The prompt.
            own: Best placement in the own cell; None if there is none.
            now_ms: Current instant.
        """
        if own is None or own.retry_after_ms(prompt) is not None:
            return False
        return own.predicted_loss <= self.error(now_ms) * prompt.weight

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
        self._share.give_back(_share_key(offer.cell, offer.service))
        self._record_reply(offer, offer.max_loss, wait_ms, now_ms)

    def record_silence(self, offer: SpillOffer, now_ms: float) -> None:
        """Records that nobody replied, or that nobody could be asked.

        The cell is not asked again before a summary arrives that was made
        later, except for prompts that the own cell would refuse.
        """
        self._share.give_back(_share_key(offer.cell, offer.service))
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
        self, cell: str, question: "_Question", rng: random.Random
    ) -> SpillOffer | None:
        """Returns the offer to one cell; None if it does not pay."""
        prompt, now_ms = question.prompt, question.now_ms
        report = self.directory.find(cell, now_ms)
        silent_ms = self._silent_ms.get(cell, -math.inf)
        if report is not None and report.made_ms <= silent_ms:
            report = None
        if report is not None:
            room = report.room(question.service)
            if room.free_slots <= 0:
                return None
            slots_left = self._slots_left(report, question, rng)
            expected = prompt.weight * room.mean_loss
            displaced = _displaced_loss(room, slots_left)
            recency = report.recency(now_ms)
        elif question.refused:
            slots_left, recency = None, 1.0
            expected, displaced = _UNKNOWN_LOSS_SHARE * question.own_loss, 0.0
        else:
            return None
        round_trip_loss = _losses.extra_delay_loss(
            prompt,
            expected / prompt.weight,
            _EXTRA_ROUND_TRIPS * self.round_trip_ms(cell),
        )
        cost = round_trip_loss + question.crossing_loss
        gain = recency * (question.own_loss - expected - displaced)
        error = self.error(now_ms) * prompt.weight
        if gain - cost <= error:
            return None
        return SpillOffer(
            cell,
            question.service,
            question.own_loss - displaced - cost - _PLACEMENT_MARGIN,
            prompt.weight,
            gain,
            expected,
            displaced,
            round_trip_loss,
            question.crossing_bytes,
            question.crossing_loss,
            error,
            slots_left,
            None if report is None else now_ms - report.made_ms,
        )

    def _slots_left(
        self,
        report: _cell_directory.CellReport,
        question: "_Question",
        rng: random.Random,
    ) -> float:
        """Returns the free slots that are left if all instances act alike.

        They are used up when what the cells with less room send together
        reaches the difference in free capacity between the cell and the own.
        """
        now_ms, service = question.now_ms, question.service
        room = report.room(service)
        senders = question.home.instances + sum(
            r.instances
            for r in self.directory.recent(now_ms)
            if r.room(service).free_share < room.free_share
        )
        unseen = self._share.unseen(
            _share_key(report.cell, service), senders, now_ms, rng
        )
        own_share = 0.0 if question.refused else question.home.room.free_share
        difference = room.free_share - own_share
        if difference <= 0.0:
            return 0.0
        known = report.recency(now_ms) * room.free_slots
        return known - unseen * room.free_share / difference


class _Question(NamedTuple):
    """What is asked of each cell."""

    prompt: _types.Prompt
    service: str
    own_loss: float
    refused: bool
    home: HomeState
    crossing_bytes: int
    crossing_loss: float
    now_ms: float


def _displaced_loss(room: _zone_room.ServiceRoom, slots_left: float) -> float:
    """Returns the loss of other prompts that a prompt displaces in a cell.

    With slots left, one of them may be late. Without, one is late, and lost
    when the queue becomes long.
    """
    left = room._replace(free_slots=max(0, math.floor(slots_left)))
    late = _losses.late_loss(_USUAL_WEIGHT, left.shortage_probability)
    queue_share = max(0.0, -slots_left) / max(1, room.slots)
    lost_share = min(1.0, queue_share / _LOST_QUEUE_SHARE)
    return late + (_LOST_LOSS - late) * lost_share


def _share_key(cell: str, service: str) -> str:
    return f"{cell}/{service}"
