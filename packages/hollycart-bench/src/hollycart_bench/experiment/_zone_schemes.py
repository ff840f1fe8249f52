"""Ways to decide which prompts leave their zone, on simulated engines."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import NamedTuple
from typing import Protocol

from hollycart_core import placement

SERVICE = "s"
ZONES = ("a", "b", "c")
# Time between the summaries of a zone, in ms.
_SUMMARY_INTERVAL_MS = 1000.0
# Time by which a crossing delays the first event, in ms: three round trips.
_CROSSING_DELAY_MS = 6.0
# Bytes of a request for each token of the prompt, of a response for each token
# of the answer, and of both beside their bodies.
_PROMPT_TOKEN_BYTES = 4
_ANSWER_TOKEN_BYTES = 16
_OVERHEAD_BYTES = 2000
_BYTES_PER_GB = 1e9
_PENALTY = 0.1  # of the second choice, for the error of predictions
# Change of a zone's price in a summary interval for each unit of utilization
# above the one that is aimed at.
_PRICE_STEP = 1.0
_AIMED_UTILIZATION = 0.85


class ZoneView(NamedTuple):
    """What an instance knows when it places a prompt.

    Attributes:
        prompt: The prompt.
        home: Zone of the instance.
        own: Best placement there; None if there is none.
        room: Room there.
        size: Bytes that cross if the prompt leaves.
        now_ms: Current instant.
        place: Returns the best placement in a zone.
    """

    prompt: placement.Prompt
    home: str
    own: placement.Placement | None
    room: placement.ServiceRoom
    size: int
    now_ms: float
    place: Callable[[str], placement.Placement | None]


class ZoneScheme(Protocol):
    """Decides for one instance whether a prompt leaves its zone."""

    def leave(self, view: ZoneView) -> placement.Placement | None:
        """Returns the placement in another zone; None if the prompt stays."""

    def record(self, report: placement.CellReport) -> None:
        """Records the summary of a zone."""


def _others(home: str) -> list[str]:
    return [z for z in ZONES if z != home]


class FixedThresholds:
    """Offers late prompts in proportion to the open endpoints.

    Args:
        price: Not used; every scheme gets it.
        rng: Source of randomness.
    """

    def __init__(self, price: float, rng: random.Random) -> None:
        del price
        self.rng = rng
        self.directory = placement.CellDirectory()

    def record(self, report: placement.CellReport) -> None:
        """Records the summary of a zone."""
        self.directory.record(report)

    def leave(self, view: ZoneView) -> placement.Placement | None:
        """Returns the placement in another zone; None if the prompt stays."""
        max_loss = placement.max_remote_loss(view.prompt, view.own)
        if max_loss is None:
            return None
        cells = _others(view.home)
        while cells:
            cell = self.directory.choose(SERVICE, cells, view.now_ms, self.rng)
            if cell is None:
                return None
            cells.remove(cell)
            self.directory.record_offer(cell, SERVICE)
            chosen = view.place(cell)
            if chosen is not None and chosen.predicted_loss <= max_loss:
                return chosen
        return None


class Everywhere:
    """Chooses the placement with the smallest loss in all zones.

    Args:
        price: Not used; every scheme gets it.
        rng: Not used; every scheme gets it.
    """

    def __init__(self, price: float, rng: random.Random) -> None:
        del price, rng

    def record(self, report: placement.CellReport) -> None:
        """Ignores the summary: all zones are known in detail."""

    def leave(self, view: ZoneView) -> placement.Placement | None:
        """Returns the placement in another zone; None if the prompt stays."""
        found = [c for z in _others(view.home) if (c := view.place(z))]
        best = min(found, key=lambda c: c.predicted_loss, default=None)
        if best is None or view.own is None:
            return best
        better = best.predicted_loss < view.own.predicted_loss
        return best if better else None


class TwoChoices:
    """Compares the own zone with a random other one that pays a penalty.

    Args:
        price: Loss that a GB between zones is worth.
        rng: Source of randomness.
    """

    def __init__(self, price: float, rng: random.Random) -> None:
        self.price = price
        self.rng = rng

    def record(self, report: placement.CellReport) -> None:
        """Ignores the summary: the second choice is asked."""

    def leave(self, view: ZoneView) -> placement.Placement | None:
        """Returns the placement in another zone; None if the prompt stays."""
        chosen = view.place(self.rng.choice(_others(view.home)))
        if chosen is None or view.own is None:
            return chosen
        penalty = _PENALTY + view.size / _BYTES_PER_GB * self.price
        better = chosen.predicted_loss + penalty < view.own.predicted_loss
        return chosen if better else None


class DualPrices:
    """Sends prompts to the zone with the lowest price of capacity.

    The price of a zone rises while its utilization exceeds the aim.

    Args:
        price: Loss that a GB between zones is worth.
        rng: Not used; every scheme gets it.
    """

    def __init__(self, price: float, rng: random.Random) -> None:
        del rng
        self.price = price
        self._capacity_prices = dict.fromkeys(ZONES, 0.0)

    def record(self, report: placement.CellReport) -> None:
        """Raises or lowers the price of a zone."""
        excess = 1.0 - report.room(SERVICE).free_share - _AIMED_UTILIZATION
        self._capacity_prices[report.cell] = max(
            0.0, self._capacity_prices[report.cell] + _PRICE_STEP * excess
        )

    def leave(self, view: ZoneView) -> placement.Placement | None:
        """Returns the placement in another zone; None if the prompt stays."""
        prices = self._capacity_prices
        cell = min(_others(view.home), key=lambda z: prices[z])
        saved = view.prompt.weight * (prices[view.home] - prices[cell])
        if saved <= _PENALTY + view.size / _BYTES_PER_GB * self.price:
            return None
        return view.place(cell)


class GainAndCost:
    """The model of the product.

    Args:
        price: Loss that a GB between zones is worth.
        rng: Source of randomness.
    """

    def __init__(self, price: float, rng: random.Random) -> None:
        self.price = price
        self.rng = rng
        self.directory = placement.CellDirectory()
        self._spill = placement.ZoneSpill(self.directory)

    def record(self, report: placement.CellReport) -> None:
        """Records the summary of a zone."""
        self.directory.record(report)

    def leave(self, view: ZoneView) -> placement.Placement | None:
        """Returns the placement in another zone; None if the prompt stays."""
        cells = _others(view.home)
        report = self.directory.find(view.home, view.now_ms)
        instances = report.instances if report else 1
        while cells:
            offer = self._spill.decide(
                view.prompt,
                SERVICE,
                view.own,
                placement.HomeState(view.room, instances),
                cells,
                view.size,
                self.price,
                view.now_ms,
                self.rng,
            )
            if offer is None:
                return None
            cells.remove(offer.cell)
            chosen = view.place(offer.cell)
            if chosen is not None and chosen.predicted_loss <= offer.max_loss:
                self._spill.record_placed(
                    offer, chosen.predicted_loss, 2.0, view.now_ms
                )
                return chosen
            self._spill.record_declined(offer, 2.0, view.now_ms)
        return None


SCHEMES: dict[str, Callable[[float, random.Random], ZoneScheme]] = {
    "fixed": FixedThresholds,
    "everywhere": Everywhere,
    "two choices": TwoChoices,
    "dual prices": DualPrices,
    "model": GainAndCost,
}


class ZoneFleet:
    """Makes the policies of instances that are spread over zones.

    Args:
        scheme: Name of the scheme.
        price: Loss that a GB between zones is worth.
        homes: Returns the zones of all instances at an instant.
        seed: Seed of the instances' randomness.

    Attributes:
        asked: Number of placements that were sought in other zones.
        crossed: Number of prompts that left their zone.
        crossed_bytes: Bytes that crossed with them.
    """

    def __init__(
        self,
        scheme: str,
        price: float,
        homes: Callable[[float], Sequence[str]],
        seed: int,
    ) -> None:
        self.scheme = scheme
        self.price = price
        self.homes = homes
        self.seed = seed
        self.asked = 0
        self.crossed = 0
        self.crossed_bytes = 0
        self.losses = {zone: placement.RecentLosses() for zone in ZONES}
        self._policies: list[_ZonePolicy] = []
        self._summarized_ms = float("-inf")

    def make_policy(
        self, view: placement.LoadView, health: placement.EndpointHealth
    ) -> "_ZonePolicy":
        """Returns the policy of the next instance."""
        number = len(self._policies)
        rng = random.Random(self.seed * 1000 + number)
        scheme = SCHEMES[self.scheme](self.price, rng)
        placer = placement.Placer(view, health, f"i{number}")
        policy = _ZonePolicy(self, number, placer, scheme)
        self._policies.append(policy)
        return policy

    def summarize(
        self,
        placer: placement.Placer,
        by_zone: dict[str, list[placement.Endpoint]],
        now_ms: float,
    ) -> None:
        """Sends the summaries of all zones to all instances when it is time."""
        if now_ms - self._summarized_ms < _SUMMARY_INTERVAL_MS:
            return
        self._summarized_ms = now_ms
        homes = self.homes(now_ms)
        for zone, endpoints in by_zone.items():
            free, slots = placer.count_slots(endpoints)
            mean_loss = self.losses[zone].mean(SERVICE, now_ms)
            report = placement.CellReport(
                zone,
                sum(home == zone for home in homes),
                {SERVICE: placer.count_open(endpoints, now_ms)},
                now_ms,
                {SERVICE: placement.ServiceRoom(free, slots, mean_loss)},
            )
            for policy in self._policies:
                policy.scheme.record(report)


class _ZonePolicy:
    """Places prompts in the zone of an instance, or as its scheme says."""

    def __init__(
        self,
        fleet: ZoneFleet,
        number: int,
        placer: placement.Placer,
        scheme: ZoneScheme,
    ) -> None:
        self.fleet = fleet
        self.number = number
        self.placer = placer
        self.scheme = scheme

    def choose(
        self,
        prompt: placement.Prompt,
        model: placement.EngineModel,
        endpoints: Iterable[placement.Endpoint],
        now_ms: float,
    ) -> placement.Placement | None:
        """Returns a placement; None if no endpoint can take the prompt."""
        by_zone: dict[str, list[placement.Endpoint]] = {z: [] for z in ZONES}
        for number, endpoint in enumerate(endpoints):
            zone = ZONES[number % len(ZONES)]
            by_zone[zone].append(endpoint._replace(zone=zone))
        self.fleet.summarize(self.placer, by_zone, now_ms)
        home = self.fleet.homes(now_ms)[self.number]

        def place(zone: str) -> placement.Placement | None:
            self.fleet.asked += 1
            chosen = self.placer.choose(prompt, model, by_zone[zone], now_ms)
            if chosen is None or chosen.retry_after_ms(prompt) is not None:
                return None
            return chosen

        own = self.placer.choose(prompt, model, by_zone[home], now_ms)
        size = (
            prompt.tokens * _PROMPT_TOKEN_BYTES
            + prompt.output_tokens * _ANSWER_TOKEN_BYTES
            + _OVERHEAD_BYTES
        )
        room = placement.ServiceRoom(*self.placer.count_slots(by_zone[home]))
        left = self.scheme.leave(
            ZoneView(prompt, home, own, room, size, now_ms, place)
        )
        chosen = left or own
        if chosen is not None and chosen.retry_after_ms(prompt) is None:
            self.fleet.losses[chosen.endpoint.zone].record(
                SERVICE, chosen.predicted_loss / prompt.weight, now_ms
            )
        if left is None:
            return own
        self.fleet.crossed += 1
        self.fleet.crossed_bytes += size
        return left._replace(
            first_event_ms=left.first_event_ms + _CROSSING_DELAY_MS,
            send_delay_ms=left.send_delay_ms + _CROSSING_DELAY_MS,
        )
