"""Chooses endpoints for prompts by predicted times."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from hollycart_core.placement import _engine_model
from hollycart_core.placement import _health
from hollycart_core.placement import _load_view
from hollycart_core.placement import _types

# Numbers of endpoints that are tried for one prompt.
_SHARE_COUNTS = (1, 2, 3, 4, 6, 8, 10, 12, 14, 17)
# Part of a pause that predictions may fill; the rest covers their error.
_PAUSE_SHARE = 0.85
# Part of the target from which a prompt counts as partly late.
_SAFE_SHARE = 0.5
# Loss per use of the whole target, so that sooner is better.
_SOONER = 0.1
# Loss where a short answer begins to occupy an endpoint without such answers:
# it keeps long prompts from being read there.
_OPEN_LOSS = 0.04
# Loss per helper: its connections and the smallest step.
_HELPER_LOSS = 0.004
# Loss for leaving the availability zone of the instance.
_ZONE_LOSS = 0.002
# Part of an endpoint's memory that predictions may fill.
_MEMORY_SHARE = 0.96
# Part of the loss of a prompt that is late but still answered.
_LATE_LOSS = 0.75
# Bounds on the time of one decision: endpoints that are looked at closely, and
# numbers of shares tried without a gain.
_MAX_MAINS = 10
_MAX_HELPERS = 24
_MAX_WORSE = 3
# Parts below this time are not divided further: a step takes one ms.
_SMALL_PART_MS = 8.0
# Shares with which endpoints are compared before the number is known.
_ROUGH_SHARES = 4
# A shorter wait than this is not worth a held send, in ms.
_MIN_HOLD_MS = 20.0
# Part of the time left that a prompt is held at most.
_MAX_HOLD_SHARE = 0.3
# Length of a quick answer, in tokens: the mean that both users publish.
_QUICK_ANSWER_TOKENS = 1500
# Loss of an answer that another prompt makes late, in losses of one that is
# late by itself: who is being answered is not disturbed lightly.
_HARM_FACTOR = 2.0
# A prompt whose first event is overdue is taken to need this part of its
# reading again, at least this long, in ms.
_OVERDUE_SHARE = 0.2
_OVERDUE_MS = 10.0


class _State(NamedTuple):
    """What is predicted for an endpoint before the prompt is added."""

    endpoint: _types.Endpoint
    wait_ms: float
    pass_ms: float
    slowness: float
    writers: tuple[_types.Work, ...]
    readers: tuple[_types.Work, ...]
    slots_used: int
    helping: int
    memory_tokens: int

    @property
    def slots_free(self) -> int:
        return self.endpoint.slots - self.slots_used


class _QuickDemand(NamedTuple):
    """Prompts with shorter pauses that are expected beside a long one.

    Attributes:
        per_ms: Expected arrivals in a ms.
        pause_ms: Pause that they accept.
        weight: Importance of one.
    """

    per_ms: float
    pause_ms: float
    weight: float


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
        states = [self._state(e, model, now_ms) for e in endpoints]
        mains = [s for s in states if self._fits(s, prompt, model)]
        helpers = [s for s in states if s.helping < s.endpoint.slots]
        if not mains:
            demand = self._quick_demand(prompt, model, states)
            return self._with_reservations(
                prompt, model, helpers, now_ms, demand
            )
        demand = self._quick_demand(prompt, model, states)
        rough_ms = model.read_ms(prompt.tokens, _ROUGH_SHARES)

        def rough_loss(state: _State) -> float:
            return self._harm(
                state, rough_ms, prompt, state.wait_ms
            ) + self._delay_loss(prompt, self._finish_ms(state, rough_ms))

        if len(helpers) > _MAX_HELPERS:
            helpers = sorted(helpers, key=rough_loss)[:_MAX_HELPERS]
        if len(mains) > _MAX_MAINS:
            mains = sorted(
                mains,
                key=lambda s: (
                    rough_loss(s)
                    + self._main_loss(s, prompt)
                    + (0.0 if s.slots_free > 0 else 1.0)
                ),
            )[:_MAX_MAINS]
        best: _types.Placement | None = None
        worse = 0
        for count in _SHARE_COUNTS:
            if count > 1 and count > len(helpers):
                break
            found = self._with_shares(
                prompt, model, mains, helpers, count, now_ms, demand
            )
            if found is not None and (best is None or found.cost < best.cost):
                best = found
                worse = 0
            else:
                worse += 1
            small = model.read_ms(prompt.tokens, count) < _SMALL_PART_MS
            if small or worse >= _MAX_WORSE:
                break
        return best

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
        mains: list[_State],
        helpers: list[_State],
        count: int,
        now_ms: float,
        demand: _QuickDemand | None,
    ) -> _types.Placement | None:
        part_ms = model.read_ms(prompt.tokens, count)
        ranked: list[_State] = []
        if count > 1:
            ranked = sorted(
                helpers,
                key=lambda s: (
                    self._harm(s, part_ms, prompt, s.wait_ms)
                    + self._delay_loss(prompt, self._finish_ms(s, part_ms))
                ),
            )
        best: _types.Placement | None = None
        for main in self._main_candidates(prompt, mains, part_ms):
            others = [s for s in ranked if s.endpoint != main.endpoint]
            chosen = others[: count - 1]
            if len(chosen) < count - 1:
                continue
            crowding = self._crowding(demand, helpers, main, chosen, part_ms)
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
        main: _State,
        chosen: list[_State],
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
        ends_ms = [self._read_ms(main, part_ms) + main_wait_ms]
        ends_ms += [self._read_ms(s, part_ms) + start_ms for s in chosen]
        finish_ms = max(ends_ms) + self._slot_wait_ms(main, prompt, model)
        cost = (
            self._delay_loss(prompt, finish_ms)
            + self._main_loss(main, prompt)
            + _HELPER_LOSS * len(chosen)
        )
        for state in everyone:
            same_pass_ms = 0.0 if hold else state.wait_ms
            cost += self._harm(state, part_ms, prompt, same_pass_ms)
        if not hold:
            cost += self._preemption(chosen, part_ms, now_ms)
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

    def _quick_demand(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        states: list[_State],
    ) -> _QuickDemand | None:
        """Returns what is expected of prompts with shorter pauses."""
        quick = [
            w
            for s in states
            for w in (*s.writers, *s.readers)
            if w.main and w.pause_ms < prompt.pause_ms
        ]
        if not quick:
            return None
        # In a steady state as many come as end in the time of an answer.
        answer_ms = model.write_ms(_QUICK_ANSWER_TOKENS)
        return _QuickDemand(
            (len(quick) + 1) / answer_ms,
            min(w.pause_ms for w in quick),
            sum(w.weight for w in quick) / len(quick),
        )

    def _crowding(
        self,
        demand: _QuickDemand | None,
        states: list[_State],
        main: _State,
        chosen: list[_State],
        part_ms: float,
    ) -> float:
        """Returns the loss of quick prompts that find no endpoint free."""
        if demand is None:
            return 0.0
        allowed_ms = demand.pause_ms * _PAUSE_SHARE
        taken = {s.endpoint.id for s in chosen}
        taken.add(main.endpoint.id)
        free = 0
        blocked_ms = 0.0
        for state in states:
            before_ms = state.pass_ms + state.wait_ms
            if state.endpoint.id not in taken:
                if before_ms < allowed_ms:
                    free += max(0, state.slots_free)
            elif before_ms + part_ms > allowed_ms:
                blocked_ms = max(blocked_ms, state.wait_ms + part_ms)
            else:
                free += max(0, state.slots_free)
        missing = max(0.0, demand.per_ms * blocked_ms + 1.0 - free)
        if not blocked_ms:
            return 0.0
        return missing * demand.weight * _LATE_LOSS

    def _with_reservations(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        states: list[_State],
        now_ms: float,
        demand: _QuickDemand | None,
    ) -> _types.Placement | None:
        """Spreads the memory of a prompt that no single endpoint can take."""
        best: _types.Placement | None = None
        for count in _SHARE_COUNTS[1:]:
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
        states: list[_State],
        count: int,
        now_ms: float,
        demand: _QuickDemand | None,
    ) -> _types.Placement | None:
        part_ms = model.read_ms(prompt.tokens, count)
        total = int(model.parameters.memory_tokens * _MEMORY_SHARE)

        def loss(state: _State) -> float:
            return self._harm(state, part_ms, prompt, state.wait_ms) + (
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
        crowding = self._crowding(demand, states, main, others, part_ms)
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

    def _main_candidates(
        self,
        prompt: _types.Prompt,
        mains: list[_State],
        part_ms: float,
    ) -> list[_State]:
        """Returns the few mains that are worth a full evaluation."""

        def loss(state: _State) -> float:
            return (
                self._harm(state, part_ms, prompt, state.wait_ms)
                + self._delay_loss(prompt, self._finish_ms(state, part_ms))
                + self._main_loss(state, prompt)
                + (0.0 if state.slots_free > 0 else 1.0)
            )

        return sorted(mains, key=loss)[:3]

    def _state(
        self,
        endpoint: _types.Endpoint,
        model: _engine_model.EngineModel,
        now_ms: float,
    ) -> _State:
        writers: list[_types.Work] = []
        readers: list[_types.Work] = []
        wait_ms = 0.0
        slots = helping = memory = context = 0
        for work in self.view.at(endpoint.id):
            if work.main:
                slots += 1
            else:
                helping += 1
            memory += work.memory_tokens
            if work.writing:
                writers.append(work)
                context += work.context_tokens
                continue
            readers.append(work)
            left_ms = work.ready_ms - now_ms
            if left_ms < 0:
                left_ms = max(_OVERDUE_MS, _OVERDUE_SHARE * work.read_ms)
            wait_ms = max(wait_ms, left_ms)
        slowness = self.health.slowness(endpoint.id, now_ms)
        return _State(
            endpoint,
            wait_ms,
            model.pass_ms(len(writers), context) * slowness,
            slowness,
            tuple(writers),
            tuple(readers),
            slots,
            helping,
            memory,
        )

    def _fits(
        self,
        state: _State,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
    ) -> bool:
        total = model.parameters.memory_tokens * _MEMORY_SHARE
        needed = prompt.tokens + prompt.output_tokens
        return state.memory_tokens + needed <= total

    def _finish_ms(self, state: _State, part_ms: float) -> float:
        """Returns when a part would be read, in ms from now.

        A pass in progress is half done on average; the part is read in the
        next one, and the first event follows at its end.
        """
        return state.wait_ms + self._read_ms(state, part_ms)

    def _read_ms(self, state: _State, part_ms: float) -> float:
        """Returns the same as if nothing waited to be read before it."""
        return 1.5 * state.pass_ms + part_ms * state.slowness

    def _slot_wait_ms(
        self,
        state: _State,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
    ) -> float:
        if state.slots_free > 0:
            return 0.0
        slot_ms = model.write_ms(prompt.output_tokens) / state.endpoint.slots
        return slot_ms * (1 - state.slots_free)

    def _delay_loss(self, prompt: _types.Prompt, finish_ms: float) -> float:
        """Returns the prompt's own loss if it is read in `finish_ms`."""
        used = finish_ms / max(1.0, prompt.target_ms)
        late = min(1.0, max(0.0, (used - _SAFE_SHARE) / (1.0 - _SAFE_SHARE)))
        over = min(1.0, finish_ms / max(1.0, prompt.left_ms))
        return prompt.weight * (
            _LATE_LOSS * late
            + (1.0 - _LATE_LOSS) * over
            + _SOONER * min(used, 10.0)
        )

    def _harm(
        self,
        state: _State,
        part_ms: float,
        prompt: _types.Prompt,
        wait_ms: float,
    ) -> float:
        """Returns the loss of those who write where a part is read.

        Args:
            state: The endpoint.
            part_ms: Time to read the part.
            prompt: The prompt.
            wait_ms: What is read in the same pass.
        """
        before_ms = state.pass_ms + wait_ms
        after_ms = before_ms + part_ms * state.slowness
        loss = 0.0
        for work in state.writers:
            allowed_ms = work.pause_ms * _PAUSE_SHARE
            if before_ms <= allowed_ms < after_ms:
                loss += work.weight * _LATE_LOSS * _HARM_FACTOR
        # A pass that is too long for the prompt's own events.
        if state.pass_ms > prompt.pause_ms * _PAUSE_SHARE:
            loss += prompt.weight * _LATE_LOSS
        return loss

    def _preemption(
        self, chosen: list[_State], part_ms: float, now_ms: float
    ) -> float:
        """Returns the loss of prompts that helpers' parts are read ahead of.

        A prompt that is read at several of the endpoints loses once.
        """
        losses: dict[str, float] = {}
        for state in chosen:
            for work in state.readers:
                slack_ms = work.due_ms - max(now_ms, work.first_ms)
                if slack_ms < part_ms:
                    loss = work.weight * (_LATE_LOSS if slack_ms >= 0 else 0.1)
                else:
                    loss = work.weight * _SOONER * part_ms / slack_ms
                losses[work.attempt] = max(loss, losses.get(work.attempt, 0.0))
        return sum(losses.values())

    def _main_loss(self, state: _State, prompt: _types.Prompt) -> float:
        """Returns the loss of writing the answer at an endpoint."""
        loss = 0.0
        if prompt.zone and state.endpoint.zone != prompt.zone:
            loss += _ZONE_LOSS
        alike = any(w.pause_ms <= prompt.pause_ms for w in state.writers)
        alike = alike or any(
            w.main and w.pause_ms <= prompt.pause_ms for w in state.readers
        )
        if not alike:
            loss += _OPEN_LOSS
        return loss

    def _work(
        self,
        prompt: _types.Prompt,
        state: _State,
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


def least_busy(
    endpoints: Iterable[_types.Endpoint],
    running: Mapping[str, int],
    zone: str,
) -> _types.Endpoint | None:
    """Returns the endpoint with the smallest share of its slots in use.

    Args:
        endpoints: Endpoints that may be used.
        running: Requests in progress by endpoint.
        zone: Preferred availability zone where the shares are equal.

    Example:
        >>> a = _types.Endpoint("a", "1:1", "s", "z", 2)
        >>> b = _types.Endpoint("b", "1:2", "s", "z", 2)
        >>> least_busy([a, b], {"a": 1}, "z").id
        'b'
    """
    return min(
        endpoints,
        key=lambda e: (
            running.get(e.id, 0) / max(1, e.slots),
            e.zone != zone,
            e.id,
        ),
        default=None,
    )
