"""Simulates a load on engines under a placement policy."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import itertools
from typing import Any
from typing import NamedTuple
from typing import Protocol

from hollycart_bench.virtual import _engine
from hollycart_bench.virtual import _load
from hollycart_core import placement
from hollycart_core import routing

_PLACEMENT_RETRY_MS = 100.0  # interval for prompts that no endpoint can take
# Share of the expected decode time that is reserved before the caller's
# time-out; the gateway's endpoint chooser reserves the same.
_RESERVED_DECODE_SHARE = 0.5
_MAX_CALLER_RETRIES = 1  # after a refusal, as the users' callers do


class Policy(Protocol):
    """Places prompts; `placement.Placer` is the policy of the product."""

    def choose(
        self,
        prompt: placement.Prompt,
        model: placement.EngineModel,
        endpoints: Iterable[placement.Endpoint],
        now_ms: float,
    ) -> placement.Placement | None:
        """Returns a placement, None if no endpoint can take the prompt."""


PolicyFactory = Callable[[placement.LoadView, placement.EndpointHealth], Policy]


class PromptOutcome(NamedTuple):
    """Outcome of one prompt for its caller.

    Attributes:
        arrival: The prompt.
        time_to_first_event_ms: Time from arrival to the first event, in ms;
            infinity without one.
        predicted_ms: Predicted time from arrival to the first event, in ms.
        longest_gap_ms: Longest gap between two events, in ms.
        complete: Whether the caller got the whole answer.
        refused: Number of refusals with a time to retry after.
    """

    arrival: _load.Arrival
    time_to_first_event_ms: float
    predicted_ms: float
    longest_gap_ms: float
    complete: bool
    refused: int = 0

    @property
    def on_time(self) -> bool:
        """Whether the answer is complete and within the bounds of its kind."""
        kind = self.arrival.kind
        return (
            self.complete
            and self.time_to_first_event_ms <= kind.target_ms
            and self.longest_gap_ms <= kind.max_gap_ms
        )


class _PromptState:
    def __init__(self, arrival: _load.Arrival) -> None:
        self.arrival = arrival
        self.pending_parts = 0
        self.primary = ""
        self.context = 0
        self.time_to_first_event_ms = float("inf")
        self.predicted_ms = 0.0
        self.last_event_ms = 0.0
        self.longest_gap_so_far_ms = 0.0
        self.complete = False
        self.refused = 0


def simulate(
    arrivals: Sequence[_load.Arrival],
    parameters: routing.EngineParameters,
    engines: int,
    slowness_by_engine: dict[int, float] | None = None,
    instances: int = 1,
    propagation_delay_ms: float = 0.0,
    make_policy: PolicyFactory = placement.Placer,
) -> list[PromptOutcome]:
    """Returns the outcome of every arrival.

    Args:
        arrivals: The load.
        parameters: Step model of all engines.
        engines: Number of engines.
        slowness_by_engine: Factor on the time of each batch step, by number
            of the engine; 1 for engines that are left out.
        instances: Number of instances, which place prompts in turn.
        propagation_delay_ms: Time until the other instances know of a
            placement, in ms.
        make_policy: Makes the policy of an instance from its load view.
    """
    simulator = _Simulator(
        parameters,
        engines,
        slowness_by_engine or {},
        instances,
        propagation_delay_ms,
        make_policy,
    )
    return simulator.run(arrivals)


def share_on_time(outcomes: Sequence[PromptOutcome], kind: str) -> float:
    """Returns the share of a kind's prompts that are on time."""
    of_kind = [o for o in outcomes if o.arrival.kind.name == kind]
    return sum(o.on_time for o in of_kind) / max(1, len(of_kind))


class _Simulator:
    def __init__(
        self,
        parameters: routing.EngineParameters,
        engines: int,
        slowness_by_engine: dict[int, float],
        instances: int,
        propagation_delay_ms: float,
        make_policy: PolicyFactory,
    ) -> None:
        self.propagation_delay_ms = propagation_delay_ms
        self.model = placement.EngineModel(parameters)
        self.endpoints = [
            placement.Endpoint(
                f"e{i}", f"10.0.0.{i}:1", "s", "z", parameters.slots
            )
            for i in range(engines)
        ]
        self.engines = {
            f"e{i}": _engine.VirtualEngine(
                parameters, slowness_by_engine.get(i, 1.0)
            )
            for i in range(engines)
        }
        self.running: set[str] = set()
        health = placement.EndpointHealth()
        self.views = [placement.LoadView() for _ in range(instances)]
        self.policies = [make_policy(view, health) for view in self.views]
        self.prompts: list[_PromptState] = []
        self.events: list[tuple[float, int, str, Any]] = []
        self.event_numbers = itertools.count()

    def run(self, arrivals: Sequence[_load.Arrival]) -> list[PromptOutcome]:
        """Processes events in order of time until none is left."""
        self.prompts = [_PromptState(a) for a in arrivals]
        for number, arrival in enumerate(arrivals):
            self._schedule(arrival.at_ms, "place", number)
        while self.events:
            now_ms, _, event_kind, payload = heapq.heappop(self.events)
            if event_kind == "place":
                self._place(payload, now_ms)
            elif event_kind == "send":
                number, chosen = payload
                self._send(number, chosen, now_ms)
            elif event_kind == "announce":
                instance, chosen = payload
                self._announce(instance, chosen, now_ms)
            elif event_kind == "abandon":
                self._abandon(payload, now_ms)
            elif event_kind == "call":
                payload(now_ms)
            elif event_kind == "step":
                endpoint, result = payload
                self._end_step(endpoint, result, now_ms)
        return [
            PromptOutcome(
                p.arrival,
                p.time_to_first_event_ms,
                p.predicted_ms,
                p.longest_gap_so_far_ms,
                p.complete,
                p.refused,
            )
            for p in self.prompts
        ]

    def _schedule(self, at_ms: float, event_kind: str, payload: Any) -> None:
        heapq.heappush(
            self.events, (at_ms, next(self.event_numbers), event_kind, payload)
        )

    def _place(self, number: int, now_ms: float) -> None:
        prompt = self.prompts[number]
        arrival = prompt.arrival
        kind = arrival.kind
        # The target starts anew for a caller that retries after a refusal: the
        # placement sees a new request.
        elapsed_ms = 0.0 if prompt.refused else now_ms - arrival.at_ms
        if elapsed_ms > kind.target_ms:
            return
        remaining_ms = kind.caller_timeout_ms - (now_ms - arrival.at_ms)
        placement_prompt = placement.Prompt(
            f"{number}",
            arrival.tokens,
            arrival.output_tokens,
            kind.target_ms - elapsed_ms,
            min(
                remaining_ms
                - _RESERVED_DECODE_SHARE
                * self.model.decode_ms(arrival.output_tokens),
                kind.abandon_after_ms,
            ),
            kind.max_gap_ms,
        )
        instance = number % len(self.views)
        chosen = self._choose(instance, placement_prompt, now_ms)
        if chosen is None:
            self._schedule(now_ms + _PLACEMENT_RETRY_MS, "place", number)
            return
        retry_after_ms = chosen.retry_after_ms(placement_prompt)
        if retry_after_ms is not None:
            prompt.refused += 1
            if prompt.refused <= _MAX_CALLER_RETRIES:
                retry_after_ms = min(retry_after_ms, remaining_ms / 3)
                self._schedule(now_ms + retry_after_ms, "place", number)
            return
        if kind.abandon_after_ms < remaining_ms:
            self._schedule(now_ms + kind.abandon_after_ms, "abandon", number)
        prompt.predicted_ms = elapsed_ms + chosen.first_event_ms
        prompt.primary = chosen.endpoint.id
        prompt.pending_parts = len(chosen.assignments)
        prompt.context = chosen.assignments[0].context_tokens
        self.views[instance].add(f"{instance}", chosen.assignments)
        if len(self.views) > 1:
            self._schedule(
                now_ms + self.propagation_delay_ms,
                "announce",
                (instance, chosen),
            )
        self._schedule(now_ms + chosen.send_delay_ms, "send", (number, chosen))

    def _choose(
        self, instance: int, prompt: placement.Prompt, now_ms: float
    ) -> placement.Placement | None:
        return self.policies[instance].choose(
            prompt, self.model, self.endpoints, now_ms
        )

    def _informed(self, number: int, now_ms: float) -> list[placement.LoadView]:
        """Returns the views of the instances that learn of a prompt's end."""
        del number, now_ms
        return self.views

    def _send(
        self, number: int, chosen: placement.Placement, now_ms: float
    ) -> None:
        arrival = self.prompts[number].arrival
        for assignment in chosen.assignments:
            prefill_ms = self.model.prefill_ms(
                arrival.tokens, len(chosen.assignments)
            )
            tokens = arrival.tokens // len(chosen.assignments)
            self.engines[assignment.endpoint].add(
                _engine.PromptPart(
                    number, prefill_ms, tokens, assignment.primary
                )
            )
            self._start_step(assignment.endpoint, now_ms)

    def _abandon(self, number: int, now_ms: float) -> None:
        prompt = self.prompts[number]
        if prompt.time_to_first_event_ms != float("inf"):
            return
        own_view = self.views[number % len(self.views)]
        for assignment in own_view.of_attempt(f"{number}"):
            self.engines[assignment.endpoint].cancel(number)
        for view in self._informed(number, now_ms):
            view.remove(f"{number}")

    def _announce(
        self, instance: int, chosen: placement.Placement, now_ms: float
    ) -> None:
        number = int(chosen.assignments[0].attempt_id)
        for view in self._informed(number, now_ms):
            if (
                view is not self.views[instance]
                and not self.prompts[number].complete
            ):
                view.add(f"{instance}", chosen.assignments)
                if self.prompts[number].time_to_first_event_ms != float("inf"):
                    view.start_decoding(f"{number}")

    def _start_step(self, endpoint: str, now_ms: float) -> None:
        engine = self.engines[endpoint]
        if endpoint in self.running or not engine.busy:
            return
        self.running.add(endpoint)
        duration_ms, result = engine.run_step()
        self._schedule(now_ms + duration_ms, "step", (endpoint, result))

    def _end_step(
        self, endpoint: str, result: _engine.StepResult, now_ms: float
    ) -> None:
        self.running.discard(endpoint)
        for number in result.events:
            self._record_event(number, now_ms)
        for number in result.completed:
            self.prompts[number].complete = True
            for view in self._informed(number, now_ms):
                view.remove(f"{number}")
        for number in result.prefilled:
            prompt = self.prompts[number]
            prompt.pending_parts -= 1
            if not prompt.pending_parts:
                self._record_event(number, now_ms)
                self.engines[prompt.primary].start_decode(
                    number, prompt.arrival.output_tokens, prompt.context
                )
                self._start_step(prompt.primary, now_ms)
        self._start_step(endpoint, now_ms)

    def _record_event(self, number: int, now_ms: float) -> None:
        prompt = self.prompts[number]
        if prompt.time_to_first_event_ms == float("inf"):
            prompt.time_to_first_event_ms = now_ms - prompt.arrival.at_ms
            for view in self._informed(number, now_ms):
                view.start_decoding(f"{number}")
        else:
            prompt.longest_gap_so_far_ms = max(
                prompt.longest_gap_so_far_ms, now_ms - prompt.last_event_ms
            )
        prompt.last_event_ms = now_ms
