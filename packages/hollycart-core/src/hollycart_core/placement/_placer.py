"""Chooses endpoints for prompts by predicted times."""

from collections.abc import Iterable

from hollycart_core.placement import _endpoint_state
from hollycart_core.placement import _engine_model
from hollycart_core.placement import _health
from hollycart_core.placement import _load_view
from hollycart_core.placement import _losses
from hollycart_core.placement import _types

# Numbers of endpoints that are tried for one prompt, and those that are tried
# next to the best of them. Few shares that disturb others say nothing of many
# short ones, so that a search by steps from one would stop too early.
_SHARE_COUNTS = (1, 2, 4, 8)
_MOST_SHARES = 17  # the one that writes and 16 that engines accept as helpers
_NEAR_COUNTS = {1: (3,), 2: (3,), 4: (3, 5, 6), 8: (5, 6, 7, 10)}
_NEAR_MOST = (10, 12, 14)
# Numbers for a prompt whose memory is reserved: engines accept a list of 16
# that includes the one that writes.
_TICKET_COUNTS = (2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
# Loss per helper: its connections and the smallest step.
_HELPER_LOSS = 0.004
# Loss, for the order of endpoints only, where no slot is free.
_FULL_LOSS = 1.0
# Part of an endpoint's memory that predictions may fill.
_MEMORY_SHARE = 0.96
# Bounds on the time of one decision: endpoints that are looked at closely.
_MAX_MAINS = 10
_MAX_CLOSE_MAINS = 3
_MAX_HELPERS = 24
# Parts below this time are not divided further: a step takes one ms.
_SMALL_PART_MS = 8.0
# Shares with which endpoints are compared before the number is known.
_ROUGH_SHARES = 4
# A shorter wait than this is not worth a held send, in ms.
_MIN_HOLD_MS = 20.0
# Part of the time left that a prompt is held at most.
_MAX_HOLD_SHARE = 0.3


class Placer:
    """Minimises the predicted loss over all prompts, one prompt at a time.

    Short answers are packed on few endpoints, since writers slow each other
    little; long prompts are split over the others, so that each part ends
    within the pauses that the writers there allow. The division follows the
    load because it is made anew with each prompt.

    Args:
        view: Work at the endpoints.
        health: Outcomes by endpoint.
    """

    def __init__(
        self, view: _load_view.LoadView, health: _health.EndpointHealth
    ) -> None:
        self.view = view
        self.health = health

    def choose(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        endpoints: Iterable[_types.Endpoint],
        now_ms: float,
    ) -> _types.Placement | None:
        """Returns the placement with the smallest loss.

        Args:
            prompt: The prompt.
            model: Step model of the service.
            endpoints: Endpoints that may be used.
            now_ms: Current instant.

        Returns:
            None if no endpoint can take the prompt.
        """
        states = [
            _endpoint_state.predict_state(
                e, self.view, self.health, model, now_ms
            )
            for e in endpoints
        ]
        mains = [s for s in states if self._fits(s, prompt, model)]
        helpers = [s for s in states if s.helping < s.endpoint.slots]
        demand = _losses.quick_demand(prompt, model, states)
        if not mains:
            return self._with_reservations(
                prompt, model, helpers, now_ms, demand
            )
        rough_ms = model.read_ms(prompt.tokens, _ROUGH_SHARES)

        if len(helpers) > _MAX_HELPERS:
            helpers = _rank(prompt, helpers, rough_ms)[:_MAX_HELPERS]
        if len(mains) > _MAX_MAINS:
            mains = _rank_mains(prompt, mains, rough_ms)[:_MAX_MAINS]
        tried: list[_types.Placement] = []

        def attempt(count: int) -> None:
            if 1 < count > len(helpers):
                return
            found = self._with_shares(
                prompt, model, mains, helpers, count, now_ms, demand, states
            )
            if found is not None:
                tried.append(found)

        most = min(_MOST_SHARES, len(helpers))
        for count in (*_SHARE_COUNTS, most):
            attempt(count)
            if model.read_ms(prompt.tokens, count) < _SMALL_PART_MS:
                break
        if not tried:
            return None
        best = len(min(tried, key=_cost).works)
        for count in _NEAR_COUNTS.get(best, _NEAR_MOST):
            if model.read_ms(prompt.tokens, count) >= _SMALL_PART_MS:
                attempt(count)
        return min(tried, key=_cost)

    def idle_pass_ms(
        self, endpoint: str, model: _engine_model.EngineModel
    ) -> float | None:
        """Returns the published time of a pass in which nothing is read.

        Args:
            endpoint: Id of the endpoint.
            model: Step model of its service.

        Returns:
            None while prompts are read there, since the time is not certain.
        """
        writers = context = 0
        for work in self.view.at(endpoint):
            if not work.writing:
                return None
            writers += 1
            context += work.context_tokens
        return model.pass_ms(writers, context) if writers else None

    def _with_shares(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        mains: list[_endpoint_state.EndpointState],
        helpers: list[_endpoint_state.EndpointState],
        count: int,
        now_ms: float,
        demand: _losses.QuickDemand | None,
        states: list[_endpoint_state.EndpointState],
    ) -> _types.Placement | None:
        part_ms = model.read_ms(prompt.tokens, count)
        ranked: list[_endpoint_state.EndpointState] = []
        if count > 1:
            ranked = _rank(prompt, helpers, part_ms)
        best: _types.Placement | None = None
        for main in _rank_mains(prompt, mains, part_ms)[:_MAX_CLOSE_MAINS]:
            others = [s for s in ranked if s.endpoint != main.endpoint]
            chosen = others[: count - 1]
            if len(chosen) < count - 1:
                continue
            crowding = _losses.crowding_loss(
                demand, states, main, chosen, part_ms
            )
            for hold in (False, True):
                found = self._schedule(
                    prompt, model, main, chosen, part_ms, now_ms, hold
                )
                if found is None:
                    continue
                found = found._replace(cost=found.cost + crowding)
                if best is None or found.cost < best.cost:
                    best = found
        return best

    def _schedule(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        main: _endpoint_state.EndpointState,
        chosen: list[_endpoint_state.EndpointState],
        part_ms: float,
        now_ms: float,
        hold: bool,
    ) -> _types.Placement | None:
        """Returns a placement that is sent at once or held for its turn."""
        everyone = [main, *chosen]
        start_ms = 0.0
        if hold:
            start_ms = max(s.wait_ms for s in everyone)
            if not chosen or start_ms < _MIN_HOLD_MS:
                return None
            if start_ms > _MAX_HOLD_SHARE * prompt.left_ms:
                return None
        # A held part finds nothing before it. Otherwise a helper's part is
        # read first, the writing endpoint's own part last.
        main_wait_ms = start_ms if hold else main.wait_ms
        ends_ms = [main.read_ms(part_ms) + main_wait_ms]
        ends_ms += [s.read_ms(part_ms) + start_ms for s in chosen]
        finish_ms = max(ends_ms) + self._slot_wait_ms(main, prompt, model)
        cost = (
            _losses.delay_loss(prompt, finish_ms)
            + _losses.main_loss(main, prompt)
            + _losses.occupation_loss(prompt, finish_ms, part_ms, len(chosen))
            + _HELPER_LOSS * len(chosen)
        )
        for state in everyone:
            same_pass_ms = 0.0 if hold else state.wait_ms
            cost += _losses.harm_loss(state, part_ms, prompt, same_pass_ms)
        if not hold:
            cost += _losses.preemption_loss(chosen, part_ms, now_ms)
        works = tuple(
            self._work(
                prompt, state, state is main, part_ms, end_ms, finish_ms, now_ms
            )
            for state, end_ms in zip(everyone, ends_ms, strict=True)
        )
        return _types.Placement(
            main.endpoint,
            tuple(s.endpoint for s in chosen),
            works,
            finish_ms,
            cost,
            start_ms=start_ms,
        )

    def _with_reservations(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        states: list[_endpoint_state.EndpointState],
        now_ms: float,
        demand: _losses.QuickDemand | None,
    ) -> _types.Placement | None:
        """Spreads the memory of a prompt that no single endpoint can take."""
        best: _types.Placement | None = None
        for count in _TICKET_COUNTS:
            if count > len(states):
                break
            found = self._spread(prompt, model, states, count, now_ms, demand)
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        return best

    def _spread(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        states: list[_endpoint_state.EndpointState],
        count: int,
        now_ms: float,
        demand: _losses.QuickDemand | None,
    ) -> _types.Placement | None:
        part_ms = model.read_ms(prompt.tokens, count)
        total = int(model.parameters.memory_tokens * _MEMORY_SHARE)

        def loss(state: _endpoint_state.EndpointState) -> float:
            return _losses.harm_loss(state, part_ms, prompt, state.wait_ms) + (
                prompt.weight * state.memory_tokens / total
            )

        chosen = sorted(states, key=loss)[:count]
        needed = prompt.tokens + prompt.output_tokens
        # Even parts first, what does not fit goes where memory is left.
        free = [max(0, total - s.memory_tokens) for s in chosen]
        if sum(free) < needed:
            return None
        tokens = [min(f, -(-needed // count)) for f in free]
        for i, room in enumerate(free):
            tokens[i] += min(room - tokens[i], needed - sum(tokens))
        with_slot = [
            i
            for i, s in enumerate(chosen)
            if s.slots_free > 0 and tokens[i] > 0
        ]
        if not with_slot:
            return None
        order = [with_slot[0], *(i for i in range(count) if i != with_slot[0])]
        best: _types.Placement | None = None
        for hold in (False, True):
            found = self._schedule(
                prompt,
                model,
                chosen[order[0]],
                [chosen[i] for i in order[1:]],
                part_ms,
                now_ms,
                hold,
            )
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        if best is None:
            return None
        main, others = chosen[order[0]], [chosen[i] for i in order[1:]]
        crowding = _losses.crowding_loss(demand, states, main, others, part_ms)
        return best._replace(
            cost=best.cost + crowding,
            works=tuple(
                work._replace(
                    memory_tokens=tokens[i],
                    context_tokens=prompt.tokens // count,
                )
                for i, work in zip(order, best.works, strict=True)
            ),
            reservations=tuple(
                _types.Reservation(chosen[i].endpoint, tokens[i])
                for i in order
                if tokens[i] > 0
            ),
        )

    def _fits(
        self,
        state: _endpoint_state.EndpointState,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
    ) -> bool:
        total = model.parameters.memory_tokens * _MEMORY_SHARE
        needed = prompt.tokens + prompt.output_tokens
        return state.memory_tokens + needed <= total

    def _slot_wait_ms(
        self,
        state: _endpoint_state.EndpointState,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
    ) -> float:
        if state.slots_free > 0:
            return 0.0
        slot_ms = model.write_ms(prompt.output_tokens) / state.endpoint.slots
        return slot_ms * (1 - state.slots_free)

    def _work(
        self,
        prompt: _types.Prompt,
        state: _endpoint_state.EndpointState,
        main: bool,
        part_ms: float,
        end_ms: float,
        finish_ms: float,
        now_ms: float,
    ) -> _types.Work:
        return _types.Work(
            attempt=prompt.attempt,
            endpoint=state.endpoint.id,
            main=main,
            writing=False,
            read_ms=part_ms * state.slowness,
            ready_ms=now_ms + end_ms,
            first_ms=now_ms + finish_ms,
            due_ms=now_ms + prompt.target_ms,
            pause_ms=prompt.pause_ms,
            context_tokens=prompt.tokens if main else 0,
            memory_tokens=prompt.tokens + prompt.output_tokens if main else 0,
            weight=prompt.weight,
        )


def _loss_of_part(
    prompt: _types.Prompt,
    state: _endpoint_state.EndpointState,
    part_ms: float,
) -> float:
    """Returns the loss if a part is read at an endpoint behind what waits."""
    return _losses.harm_loss(
        state, part_ms, prompt, state.wait_ms
    ) + _losses.delay_loss(prompt, state.finish_ms(part_ms))


def _rank(
    prompt: _types.Prompt,
    states: list[_endpoint_state.EndpointState],
    part_ms: float,
) -> list[_endpoint_state.EndpointState]:
    """Returns endpoints by what is lost if they read a part, best first."""
    return sorted(states, key=lambda s: _loss_of_part(prompt, s, part_ms))


def _rank_mains(
    prompt: _types.Prompt,
    states: list[_endpoint_state.EndpointState],
    part_ms: float,
) -> list[_endpoint_state.EndpointState]:
    """Returns endpoints by what is lost if they write the answer, too."""

    def loss(state: _endpoint_state.EndpointState) -> float:
        return (
            _loss_of_part(prompt, state, part_ms)
            + _losses.main_loss(state, prompt)
            + (0.0 if state.slots_free > 0 else _FULL_LOSS)
        )

    return sorted(states, key=loss)


def _cost(placed: _types.Placement) -> float:
    return placed.cost
