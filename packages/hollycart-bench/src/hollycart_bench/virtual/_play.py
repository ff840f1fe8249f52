"""Plays a load through a placement and reports what callers get."""

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

_WAIT_MS = 100.0  # before a prompt without a place is placed again
# of an answer's expected length, as the product has it
_RESERVED_DECODE_SHARE = 0.5
_COMES_BACK = 1  # times that a refused caller comes back, as the users' do


class Policy(Protocol):
    """Chooses where a prompt goes; the product's placer is one."""

    def choose(
        self,
        prompt: placement.Prompt,
        model: placement.EngineModel,
        endpoints: Iterable[placement.Endpoint],
        now_ms: float,
    ) -> placement.Placement | None:
        """Returns a placement, None if no endpoint can take the prompt."""


PolicyFactory = Callable[[placement.LoadView, placement.EndpointHealth], Policy]


class Outcome(NamedTuple):
    """What a caller got.

    Attributes:
        arrival: The prompt.
        first_ms: Time to the first event; infinity without one.
        predicted_ms: Predicted time to the first event.
        longest_pause_ms: Longest pause between events.
        complete: Whether the whole answer came.
        refused: Times that the caller was told to come back.
    """

    arrival: _load.Arrival
    first_ms: float
    predicted_ms: float
    longest_pause_ms: float
    complete: bool
    refused: int = 0

    @property
    def on_time(self) -> bool:
        """Whether the answer was complete and nothing of it late."""
        kind = self.arrival.kind
        return (
            self.complete
            and self.first_ms <= kind.target_ms
            and self.longest_pause_ms <= kind.pause_ms
        )


class _Prompt:
    def __init__(self, arrival: _load.Arrival) -> None:
        self.arrival = arrival
        self.unread = 0
        self.primary = ""
        self.context = 0
        self.first_ms = float("inf")
        self.predicted_ms = 0.0
        self.last_ms = 0.0
        self.pause_ms = 0.0
        self.complete = False
        self.refused = 0


def simulate(
    arrivals: Sequence[_load.Arrival],
    parameters: routing.EngineParameters,
    engines: int,
    slow: dict[int, float] | None = None,
    instances: int = 1,
    propagation_delay_ms: float = 0.0,
    make_policy: PolicyFactory = placement.Placer,
) -> list[Outcome]:
    """Returns the outcome of every arrival.

    Args:
        arrivals: The load.
        parameters: Step model of all engines.
        engines: Number of engines.
        slow: Factors on the times of some engines, by number.
        instances: Instances that place prompts, in turn.
        propagation_delay_ms: Time until the others know of a placement, in ms.
        make_policy: Makes the policy of an instance from its view.
    """
    player = _Player(
        parameters,
        engines,
        slow or {},
        instances,
        propagation_delay_ms,
        make_policy,
    )
    return player.run(arrivals)


def share_on_time(outcomes: Sequence[Outcome], kind: str) -> float:
    """Returns the share of a kind's prompts that are on time."""
    of_kind = [o for o in outcomes if o.arrival.kind.name == kind]
    return sum(o.on_time for o in of_kind) / max(1, len(of_kind))


class _Player:
    def __init__(
        self,
        parameters: routing.EngineParameters,
        engines: int,
        slow: dict[int, float],
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
            f"e{i}": _engine.VirtualEngine(parameters, slow.get(i, 1.0))
            for i in range(engines)
        }
        self.running: set[str] = set()
        health = placement.EndpointHealth()
        self.views = [placement.LoadView() for _ in range(instances)]
        self.placers = [make_policy(view, health) for view in self.views]
        self.prompts: list[_Prompt] = []
        self.events: list[tuple[float, int, str, Any]] = []
        self.order = itertools.count()

    def run(self, arrivals: Sequence[_load.Arrival]) -> list[Outcome]:
        """Plays all arrivals to their ends."""
        self.prompts = [_Prompt(a) for a in arrivals]
        for number, arrival in enumerate(arrivals):
            self._at(arrival.at_ms, "place", number)
        while self.events:
            now_ms, _, what, subject = heapq.heappop(self.events)
            if what == "place":
                self._place(subject, now_ms)
            elif what == "send":
                number, chosen = subject
                self._send(number, chosen, now_ms)
            elif what == "announce":
                self._announce(*subject)
            elif what == "leave":
                self._leave(subject)
            elif what == "pass":
                endpoint, result = subject
                self._end_pass(endpoint, result, now_ms)
        return [
            Outcome(
                p.arrival,
                p.first_ms,
                p.predicted_ms,
                p.pause_ms,
                p.complete,
                p.refused,
            )
            for p in self.prompts
        ]

    def _at(self, at_ms: float, what: str, subject: Any) -> None:
        heapq.heappush(self.events, (at_ms, next(self.order), what, subject))

    def _place(self, number: int, now_ms: float) -> None:
        prompt = self.prompts[number]
        arrival = prompt.arrival
        kind = arrival.kind
        # A caller that comes back is a new one to the placement.
        spent_ms = 0.0 if prompt.refused else now_ms - arrival.at_ms
        if spent_ms > kind.target_ms:
            return
        remaining_ms = kind.wait_ms - (now_ms - arrival.at_ms)
        asked = placement.Prompt(
            f"{number}",
            arrival.tokens,
            arrival.output_tokens,
            kind.target_ms - spent_ms,
            min(
                remaining_ms
                - _RESERVED_DECODE_SHARE
                * self.model.decode_ms(arrival.output_tokens),
                kind.abandon_after_ms,
            ),
            kind.pause_ms,
        )
        instance = number % len(self.views)
        chosen = self.placers[instance].choose(
            asked, self.model, self.endpoints, now_ms
        )
        if chosen is None:
            self._at(now_ms + _WAIT_MS, "place", number)
            return
        retry_after_ms = chosen.retry_after_ms(asked)
        if retry_after_ms is not None:
            prompt.refused += 1
            if prompt.refused <= _COMES_BACK:
                retry_after_ms = min(retry_after_ms, remaining_ms / 3)
                self._at(now_ms + retry_after_ms, "place", number)
            return
        if kind.abandon_after_ms < remaining_ms:
            self._at(now_ms + kind.abandon_after_ms, "leave", number)
        prompt.predicted_ms = spent_ms + chosen.first_event_ms
        prompt.primary = chosen.endpoint.id
        prompt.unread = len(chosen.assignments)
        prompt.context = chosen.assignments[0].context_tokens
        self.views[instance].add(f"{instance}", chosen.assignments)
        if len(self.views) > 1:
            self._at(
                now_ms + self.propagation_delay_ms,
                "announce",
                (instance, chosen),
            )
        self._at(now_ms + chosen.send_delay_ms, "send", (number, chosen))

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
                _engine.Part(number, prefill_ms, tokens, assignment.primary)
            )
            self._start(assignment.endpoint, now_ms)

    def _leave(self, number: int) -> None:
        prompt = self.prompts[number]
        if prompt.first_ms != float("inf"):
            return
        for assignment in self.views[0].of_attempt(f"{number}"):
            self.engines[assignment.endpoint].cancel(number)
        for view in self.views:
            view.remove(f"{number}")

    def _announce(self, instance: int, chosen: placement.Placement) -> None:
        number = int(chosen.assignments[0].attempt_id)
        for other, view in enumerate(self.views):
            if other != instance and not self.prompts[number].complete:
                view.add(f"{instance}", chosen.assignments)
                if self.prompts[number].first_ms != float("inf"):
                    view.start_decoding(f"{number}")

    def _start(self, endpoint: str, now_ms: float) -> None:
        engine = self.engines[endpoint]
        if endpoint in self.running or not engine.busy:
            return
        self.running.add(endpoint)
        duration_ms, result = engine.run_pass()
        self._at(now_ms + duration_ms, "pass", (endpoint, result))

    def _end_pass(
        self, endpoint: str, result: _engine.PassResult, now_ms: float
    ) -> None:
        self.running.discard(endpoint)
        for number in result.events:
            self._event(number, now_ms)
        for number in result.ended:
            self.prompts[number].complete = True
            for view in self.views:
                view.remove(f"{number}")
        for number in result.read:
            prompt = self.prompts[number]
            prompt.unread -= 1
            if not prompt.unread:
                self._event(number, now_ms)
                self.engines[prompt.primary].write(
                    number, prompt.arrival.output_tokens, prompt.context
                )
                self._start(prompt.primary, now_ms)
        self._start(endpoint, now_ms)

    def _event(self, number: int, now_ms: float) -> None:
        prompt = self.prompts[number]
        if prompt.first_ms == float("inf"):
            prompt.first_ms = now_ms - prompt.arrival.at_ms
            for view in self.views:
                view.start_decoding(f"{number}")
        else:
            prompt.pause_ms = max(prompt.pause_ms, now_ms - prompt.last_ms)
        prompt.last_ms = now_ms
