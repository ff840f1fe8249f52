"""The search for one placement among predicted states."""

from collections.abc import Iterable
from typing import NamedTuple

from hollycart_core.placement import _endpoint_state
from hollycart_core.placement import _engine_model
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
MEMORY_SHARE = 0.96
# Bounds on the time of one decision: endpoints that are looked at closely.
_MAX_PRIMARIES = 10
_MAX_CLOSE_PRIMARIES = 3
_MAX_HELPERS = 24
# Parts below this time are not divided further: a step takes one ms.
_SMALL_PART_MS = 8.0
# Shares with which endpoints are compared before the number is known.
_ROUGH_SHARES = 4
# A shorter wait than this is not worth a held send, in ms.
_MIN_HOLD_MS = 20.0
# Part of the time left that a prompt is held at most.
_MAX_HOLD_SHARE = 0.3


class Search(NamedTuple):
    """One decision: the prompt and all that is predicted.

    Attributes:
        prompt: The prompt.
        model: Step model of the service.
        now_ms: Current instant.
        states: Predicted states of all endpoints.
        primaries: Those that may write the answer.
        helpers: Those that may read a part.
        demand: Expected prompts with shorter pauses.
        unseen: Prompts that others place at the same time, on average.
    """

    prompt: _types.Prompt
    model: _engine_model.EngineModel
    now_ms: float
    states: list[_endpoint_state.EndpointState]
    primaries: list[_endpoint_state.EndpointState]
    helpers: list[_endpoint_state.EndpointState]
    demand: _losses.QuickDemand | None
    unseen: float

    def run(self) -> _types.Placement | None:
        """Returns the placement with the smallest loss, None without any."""
        if not self.primaries:
            return _best(self._with_tickets(n) for n in _TICKET_COUNTS)
        rough_ms = self.model.prefill_ms(self.prompt.tokens, _ROUGH_SHARES)
        case = self
        if len(self.helpers) > _MAX_HELPERS:
            helpers = self._rank(self.helpers, rough_ms)[:_MAX_HELPERS]
            case = case._replace(helpers=helpers)
        if len(self.primaries) > _MAX_PRIMARIES:
            primaries = self._rank_primaries(rough_ms)[:_MAX_PRIMARIES]
            case = case._replace(primaries=primaries)
        return case._over_shares()

    def _over_shares(self) -> _types.Placement | None:
        found: list[_types.Placement | None] = []
        most = min(_MOST_SHARES, len(self.helpers))
        for count in (*_SHARE_COUNTS, most):
            found.append(self._with_shares(count))
            if self._part_ms(count) < _SMALL_PART_MS:
                break
        best = _best(found)
        if best is None:
            return None
        for count in _NEAR_COUNTS.get(len(best.assignments), _NEAR_MOST):
            if self._part_ms(count) >= _SMALL_PART_MS:
                found.append(self._with_shares(count))
        return _best(found)

    def _part_ms(self, count: int) -> float:
        return self.model.prefill_ms(self.prompt.tokens, count)

    def _with_shares(self, count: int) -> _types.Placement | None:
        """Returns the best placement with so many equal shares."""
        if 1 < count > len(self.helpers):
            return None
        part_ms = self._part_ms(count)
        ranked = self._rank(self.helpers, part_ms) if count > 1 else []
        found: list[_types.Placement | None] = []
        for primary in self._rank_primaries(part_ms)[:_MAX_CLOSE_PRIMARIES]:
            others = [s for s in ranked if s.endpoint != primary.endpoint]
            chosen = others[: count - 1]
            if len(chosen) == count - 1:
                found.append(self._at(primary, chosen, part_ms))
        return _best(found)

    def _at(
        self,
        primary: _endpoint_state.EndpointState,
        chosen: list[_endpoint_state.EndpointState],
        part_ms: float,
    ) -> _types.Placement | None:
        """Returns the better of a send at once and one held for its turn."""
        best = _best(
            self._schedule(primary, chosen, part_ms, hold)
            for hold in (False, True)
        )
        if best is None:
            return None
        crowding = _losses.crowding_loss(
            self.demand, self.states, primary, chosen, part_ms
        )
        return best._replace(cost=best.cost + crowding)

    def _schedule(
        self,
        primary: _endpoint_state.EndpointState,
        chosen: list[_endpoint_state.EndpointState],
        part_ms: float,
        hold: bool,
    ) -> _types.Placement | None:
        """Returns a placement that is sent at once or held for its turn."""
        prompt = self.prompt
        everyone = [primary, *chosen]
        send_delay_ms = 0.0
        if hold:
            send_delay_ms = max(s.wait_ms for s in everyone)
            if not chosen or send_delay_ms < _MIN_HOLD_MS:
                return None
            if send_delay_ms > _MAX_HOLD_SHARE * prompt.remaining_ms:
                return None
        # A held part finds nothing before it. Otherwise a helper's part is
        # read first, the writing endpoint's own part last.
        primary_wait_ms = send_delay_ms if hold else primary.wait_ms
        ends_ms = [primary.prefill_ms(part_ms) + primary_wait_ms]
        ends_ms += [s.prefill_ms(part_ms) + send_delay_ms for s in chosen]
        finish_ms = max(ends_ms) + self._slot_wait_ms(primary)
        cost = (
            _losses.delay_loss(prompt, finish_ms)
            + _losses.primary_loss(primary, prompt, self.unseen)
            + _losses.occupation_loss(prompt, finish_ms, part_ms, len(chosen))
            + _HELPER_LOSS * len(chosen)
        )
        for state in everyone:
            same_pass_ms = 0.0 if hold else state.wait_ms
            cost += _losses.harm_loss(state, part_ms, prompt, same_pass_ms)
        if not hold:
            cost += _losses.preemption_loss(chosen, part_ms, self.now_ms)
        assignments = tuple(
            self._assignment(
                state, state is primary, part_ms, end_ms, finish_ms
            )
            for state, end_ms in zip(everyone, ends_ms, strict=True)
        )
        return _types.Placement(
            primary.endpoint,
            tuple(s.endpoint for s in chosen),
            assignments,
            finish_ms,
            cost,
            send_delay_ms=send_delay_ms,
        )

    def _with_tickets(self, count: int) -> _types.Placement | None:
        """Spreads the memory of a prompt that no single endpoint can take."""
        prompt, part_ms = self.prompt, self._part_ms(count)
        total = int(self.model.parameters.memory_tokens * MEMORY_SHARE)

        def loss(state: _endpoint_state.EndpointState) -> float:
            return _losses.harm_loss(state, part_ms, prompt, state.wait_ms) + (
                prompt.weight * state.memory_tokens / total
            )

        chosen = sorted(self.helpers, key=loss)[:count]
        if len(chosen) < count:
            return None
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
        primary, others = chosen[order[0]], [chosen[i] for i in order[1:]]
        best = self._at(primary, others, part_ms)
        if best is None:
            return None
        return best._replace(
            assignments=tuple(
                assignment._replace(
                    memory_tokens=tokens[i],
                    context_tokens=prompt.tokens // count,
                )
                for i, assignment in zip(order, best.assignments, strict=True)
            ),
            reservations=tuple(
                _types.Reservation(chosen[i].endpoint, tokens[i])
                for i in order
                if tokens[i] > 0
            ),
        )

    def _slot_wait_ms(self, primary: _endpoint_state.EndpointState) -> float:
        if primary.slots_free > 0:
            return 0.0
        decode_ms = self.model.decode_ms(self.prompt.output_tokens)
        return decode_ms / primary.endpoint.slots * (1 - primary.slots_free)

    def _assignment(
        self,
        state: _endpoint_state.EndpointState,
        primary: bool,
        part_ms: float,
        end_ms: float,
        finish_ms: float,
    ) -> _types.Assignment:
        prompt, now_ms = self.prompt, self.now_ms
        return _types.Assignment(
            attempt=prompt.attempt,
            endpoint=state.endpoint.id,
            primary=primary,
            decoding=False,
            prefill_ms=part_ms * state.slowness,
            ready_ms=now_ms + end_ms,
            first_ms=now_ms + finish_ms,
            due_ms=now_ms + prompt.target_ms,
            max_gap_ms=prompt.max_gap_ms,
            context_tokens=prompt.tokens if primary else 0,
            memory_tokens=prompt.tokens + prompt.output_tokens
            if primary
            else 0,
            weight=prompt.weight,
        )

    def _loss_of_part(
        self, state: _endpoint_state.EndpointState, part_ms: float
    ) -> float:
        """Returns the loss if a part is read behind what waits there."""
        return _losses.harm_loss(
            state, part_ms, self.prompt, state.wait_ms
        ) + _losses.delay_loss(self.prompt, state.finish_ms(part_ms))

    def _rank(
        self, states: list[_endpoint_state.EndpointState], part_ms: float
    ) -> list[_endpoint_state.EndpointState]:
        """Returns endpoints by what is lost if they read a part."""
        return sorted(states, key=lambda s: self._loss_of_part(s, part_ms))

    def _rank_primaries(
        self, part_ms: float
    ) -> list[_endpoint_state.EndpointState]:
        """Returns endpoints by what is lost if they write the answer, too."""

        def loss(state: _endpoint_state.EndpointState) -> float:
            return (
                self._loss_of_part(state, part_ms)
                + _losses.primary_loss(state, self.prompt, self.unseen)
                + (0.0 if state.slots_free > 0 else _FULL_LOSS)
            )

        return sorted(self.primaries, key=loss)


def _best(
    placements: Iterable[_types.Placement | None],
) -> _types.Placement | None:
    found = [p for p in placements if p is not None]
    return min(found, key=lambda p: p.cost) if found else None
