"""Simulates instances that are cut off from each other for a time."""

from collections.abc import Sequence
import random
from typing import NamedTuple

from hollycart_bench.virtual import _load
from hollycart_bench.virtual import _play
from hollycart_core import base
from hollycart_core import placement
from hollycart_core import routing

_HEARTBEAT_MS = 1000.0
_REPORT_AGE_MS = 200.0


class Strategy(NamedTuple):
    """What instances do while they are cut off from each other.

    Attributes:
        before_long: Whether an isolated instance queries endpoints before it
            places a long prompt.
        period_ms: Interval in which an isolated instance queries all
            endpoints; 0 if it does not.
        survey_ms: Interval in which the others query all endpoints while the
            load of missing ones matters; 0 if they do not.
        own_endpoints: Number of endpoints, the first by rendezvous hashing,
            that an isolated instance uses as long as prompts are on time there;
            0 if it prefers none.
        avoided_endpoints: Number of these of each missing instance that the
            others leave to it as long as prompts are on time elsewhere.
        unanswered: Share of the queries that are not answered.
    """

    before_long: bool = False
    period_ms: float = 0.0
    survey_ms: float = 0.0
    own_endpoints: int = 0
    avoided_endpoints: int = 0
    unanswered: float = 0.0


class Cut(NamedTuple):
    """Instances that are cut off from all others, and when.

    Attributes:
        instances: Numbers of the instances.
        start_ms: Start of the cut, in ms.
        end_ms: End of the cut, in ms.
    """

    instances: frozenset[int]
    start_ms: float
    end_ms: float


def simulate_cut(
    arrivals: Sequence[_load.Arrival],
    parameters: routing.EngineParameters,
    engines: int,
    instances: int,
    cut: Cut,
    strategy: Strategy,
) -> tuple[list[_play.PromptOutcome], int]:
    """Returns the outcome of every arrival, and the number of queries.

    Args:
        arrivals: The load.
        parameters: Step model of all engines.
        engines: Number of engines.
        instances: Number of instances, which place prompts in turn.
        cut: The instances that are cut off.
        strategy: What the instances do meanwhile.
    """
    simulator = _CutSimulator(parameters, engines, instances, cut, strategy)
    return simulator.run(arrivals), simulator.queries


class _CutSimulator(_play._Simulator):
    def __init__(
        self,
        parameters: routing.EngineParameters,
        engines: int,
        instances: int,
        cut: Cut,
        strategy: Strategy,
    ) -> None:
        super().__init__(
            parameters, engines, {}, instances, 10.0, placement.Placer
        )
        self.cut = cut
        self.strategy = strategy
        self.queries = 0
        self.rng = random.Random(1)
        self.policies = [
            placement.Placer(view, placement.EndpointHealth(), f"i{i}")
            for i, view in enumerate(self.views)
        ]
        self.judgements = [placement.Isolation() for _ in self.views]
        self.planned = [
            placement.LoadQueries(f"i{i}") for i in range(instances)
        ]
        self.placed_ms: dict[str, float] = {}
        self.max_gap_ms = float("inf")
        self.reports: dict[str, list[tuple[float, tuple[int, int]]]] = {
            e: [(float("-inf"), (0, 0))] for e in self.engines
        }
        ids = [e.id for e in self.endpoints]
        self.own = [
            base.rendezvous_rank(f"i{i}", ids) for i in range(instances)
        ]

    def run(
        self, arrivals: Sequence[_load.Arrival]
    ) -> list[_play.PromptOutcome]:
        """Processes events in order of time until none is left."""
        self.max_gap_ms = min(a.kind.max_gap_ms for a in arrivals)
        end_ms = arrivals[-1].at_ms
        for at_ms in range(0, int(end_ms), 50):
            self._schedule(at_ms, "call", self._sample)
        if self.cut.instances:
            lost_ms = self.cut.start_ms + placement.MISSING_MS
            self._schedule(lost_ms, "call", self._drop_lost)
            self._schedule(self.cut.end_ms, "call", self._rejoin)
        for period_ms, run in (
            (self.strategy.period_ms, self._query_periodically),
            (self.strategy.survey_ms, self._survey),
        ):
            if period_ms:
                for number in range(int(end_ms / period_ms)):
                    self._schedule(number * period_ms, "call", run)
        return super().run(arrivals)

    def _is_cut(self, instance: int, now_ms: float) -> bool:
        in_time = self.cut.start_ms <= now_ms < self.cut.end_ms
        return in_time and instance in self.cut.instances

    def _informed(self, number: int, now_ms: float) -> list[placement.LoadView]:
        owner = number % len(self.views)
        return [
            view
            for instance, view in enumerate(self.views)
            if instance == owner
            or not (
                self._is_cut(instance, now_ms) or self._is_cut(owner, now_ms)
            )
        ]

    def _drop_lost(self, now_ms: float) -> None:
        for instance, view in enumerate(self.views):
            for other in range(len(self.views)):
                if other != instance and (
                    self._is_cut(instance, now_ms)
                    or self._is_cut(other, now_ms)
                ):
                    view.replace_instance(f"{other}", ())

    def _rejoin(self, now_ms: float) -> None:
        del now_ms
        for instance, view in enumerate(self.views):
            view.clear_unaccounted()
            for other, other_view in enumerate(self.views):
                if other != instance:
                    view.replace_instance(
                        f"{other}", other_view.of_instance(f"{other}")
                    )

    def _contact(self, instance: int, now_ms: float) -> placement.CellContact:
        others = {
            f"i{o}": placement.HeardInstance(
                self.cut.start_ms
                if self._is_cut(instance, now_ms) or self._is_cut(o, now_ms)
                else now_ms // _HEARTBEAT_MS * _HEARTBEAT_MS
            )
            for o in range(len(self.views))
            if o != instance
        }
        return self.judgements[instance].update(
            others, others, now_ms >= 2000.0, False, now_ms
        )

    def _sample(self, now_ms: float) -> None:
        for endpoint, engine in self.engines.items():
            self.reports[endpoint].append((now_ms, engine.report()))

    def _query(
        self, instance: int, endpoints: list[str], now_ms: float
    ) -> dict[str, placement.UnaccountedLoad]:
        self.queries += len(endpoints)
        view = self.views[instance]
        found = {}
        for endpoint in endpoints:
            if self.rng.random() < self.strategy.unanswered:
                continue
            requests, memory_tokens = next(
                report
                for at_ms, report in reversed(self.reports[endpoint])
                if at_ms <= now_ms - _REPORT_AGE_MS
            )
            found[endpoint] = placement.unaccounted_load(
                requests,
                memory_tokens,
                view.on_endpoint(endpoint),
                self.placed_ms,
                self.max_gap_ms,
                now_ms,
            )
        return found

    def _apply(
        self,
        view: placement.LoadView,
        loads: dict[str, placement.UnaccountedLoad],
        now_ms: float,
    ) -> None:
        assumed = placement.assumed_load(
            list(loads.values()), self.max_gap_ms, now_ms
        )
        for endpoint in self.engines:
            if endpoint in loads:
                view.set_unaccounted(endpoint, loads[endpoint])
            elif loads and not view.has_recent_report(endpoint, now_ms):
                view.set_unaccounted(endpoint, assumed)

    def _query_for(
        self, instance: int, preferred: list[str], now_ms: float
    ) -> None:
        due = self.planned[instance].take(preferred, self.engines, now_ms)
        loads = self._query(instance, due, now_ms)
        self._apply(self.views[instance], loads, now_ms)

    def _query_periodically(self, now_ms: float) -> None:
        for instance in range(len(self.views)):
            if self._contact(instance, now_ms).is_isolated:
                self._query_for(instance, [], now_ms)

    def _survey(self, now_ms: float) -> None:
        connected = [
            i for i in range(len(self.views)) if not self._is_cut(i, now_ms)
        ]
        if connected and self._contact(connected[0], now_ms).misses_load:
            loads = self._query(connected[0], list(self.engines), now_ms)
            for instance in connected:
                self._apply(self.views[instance], loads, now_ms)

    def _choose(
        self, instance: int, prompt: placement.Prompt, now_ms: float
    ) -> placement.Placement | None:
        contact = self._contact(instance, now_ms)
        chosen = self._choose_preferring(instance, prompt, contact, now_ms)
        if (
            chosen is not None
            and contact.is_isolated
            and self.strategy.before_long
            and placement.needs_queries(chosen.assignments)
        ):
            preferred = [a.endpoint for a in chosen.assignments]
            self._query_for(instance, preferred, now_ms)
            chosen = self._choose_preferring(instance, prompt, contact, now_ms)
        self.placed_ms[prompt.attempt_id] = now_ms
        return chosen

    def _choose_preferring(
        self,
        instance: int,
        prompt: placement.Prompt,
        contact: placement.CellContact,
        now_ms: float,
    ) -> placement.Placement | None:
        preferred = None
        if contact.is_isolated and self.strategy.own_endpoints:
            preferred = set(self.own[instance][: self.strategy.own_endpoints])
        elif contact.missing and self.strategy.avoided_endpoints:
            preferred = set(self.engines)
            for other in self.cut.instances:
                preferred.difference_update(
                    self.own[other][: self.strategy.avoided_endpoints]
                )
        if preferred:
            chosen = self.policies[instance].choose(
                prompt,
                self.model,
                [e for e in self.endpoints if e.id in preferred],
                now_ms,
            )
            if chosen is not None and chosen.first_event_ms <= (
                0.7 * prompt.target_ms
            ):
                return chosen
        return super()._choose(instance, prompt, now_ms)
