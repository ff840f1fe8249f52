"""Search for the placement of one prompt."""

from collections.abc import Iterable
from typing import NamedTuple

from hollycart_core.placement import _endpoint_state
from hollycart_core.placement import _engine_model
from hollycart_core.placement import _losses
from hollycart_core.placement import _types

# Numbers of shares that a prompt is split into: coarse candidates, and fine
# ones around the best coarse one. A few long shares may interfere with decode
# where many short ones do not, so that a hill climb from one share would stop
# too early.
_COARSE_SHARE_COUNTS = (1, 2, 4, 8)
_MAX_SHARES = 17  # the primary and the 16 helpers that engines accept
_FINE_SHARE_COUNTS = {1: (3,), 2: (3,), 4: (3, 5, 6), 8: (5, 6, 7, 10)}
_FINE_COUNTS_NEAR_MAX = (10, 12, 14)
# Numbers of shares of a prompt whose memory is reserved on several endpoints.
# Engines accept a list of 16 reservations, the primary's included.
_RESERVATION_COUNTS = (2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
# Loss per helper, for its connections and the smallest batch step.
_HELPER_LOSS = 0.004
# Loss of a primary without a free slot, used only to rank the candidates.
_NO_FREE_SLOT_LOSS = 1.0
# Share of an endpoint's memory that predictions may fill.
USABLE_MEMORY_SHARE = 0.96
# Bounds on the time of one decision: ranked primaries, primaries that are
# evaluated for each number of shares, and helpers.
_MAX_PRIMARIES = 10
_MAX_EVALUATED_PRIMARIES = 3
_MAX_HELPERS = 24
# Prefill time below which parts are not split further, in ms; a batch step
# of one token takes 1 ms.
_MIN_PART_MS = 8.0
# Number of shares for which candidates are ranked before the number is chosen.
_RANKING_SHARES = 4
# Shortest delay of a send, in ms. A shorter one gains too little.
_MIN_SEND_DELAY_MS = 20.0
# Largest share of the prompt's remaining time by which its send is delayed.
_MAX_SEND_DELAY_SHARE = 0.3


class Search(NamedTuple):
    """One placement decision with its input.

    Attributes:
        prompt: The prompt.
        model: Step model of the service.
        now_ms: Current instant.
        states: Predicted states of all endpoints.
        primaries: Candidates for the primary.
        helpers: Candidates for helpers.
        demand: Expected interactive prompts, None if none is in flight.
        concurrent: Mean number of concurrent placements by other instances.
        whole_only: Ids of endpoints that get whole prompts only.
    """

    prompt: _types.Prompt
    model: _engine_model.EngineModel
    now_ms: float
    states: list[_endpoint_state.EndpointState]
    primaries: list[_endpoint_state.EndpointState]
    helpers: list[_endpoint_state.EndpointState]
    demand: _losses.InteractiveDemand | None
    concurrent: float
    whole_only: frozenset[str] = frozenset()

    def run(self) -> _types.Placement | None:
        """Returns the valid placement with the smallest loss, if any."""
        if not self.primaries:
            return _best(
                self._place_with_reservations(n) for n in _RESERVATION_COUNTS
            )
        ranking_part_ms = self.model.prefill_ms(
            self.prompt.tokens, _RANKING_SHARES
        )
        search = self
        if len(self.helpers) > _MAX_HELPERS:
            helpers = self._rank_by_part_loss(self.helpers, ranking_part_ms)[
                :_MAX_HELPERS
            ]
            search = search._replace(helpers=helpers)
        if len(self.primaries) > _MAX_PRIMARIES:
            primaries = self._rank_primaries(ranking_part_ms)[:_MAX_PRIMARIES]
            search = search._replace(primaries=primaries)
        return search._search_share_counts()

    def _search_share_counts(self) -> _types.Placement | None:
        found: list[_types.Placement | None] = []
        # No endpoint may be a helper if all of them limit their rate.
        max_count = max(1, min(_MAX_SHARES, len(self.helpers)))
        for count in (*_COARSE_SHARE_COUNTS, max_count):
            found.append(self._place_with_shares(count))
            if self._part_ms(count) < _MIN_PART_MS:
                break
        best = _best(found)
        if best is None:
            return None
        for count in _FINE_SHARE_COUNTS.get(
            len(best.assignments), _FINE_COUNTS_NEAR_MAX
        ):
            if self._part_ms(count) >= _MIN_PART_MS:
                found.append(self._place_with_shares(count))
        return _best(found)

    def _part_ms(self, count: int) -> float:
        return self.model.prefill_ms(self.prompt.tokens, count)

    def _place_with_shares(self, count: int) -> _types.Placement | None:
        """Returns the best placement with `count` equal shares."""
        if 1 < count > len(self.helpers):
            return None
        part_ms = self._part_ms(count)
        ranked = (
            self._rank_by_part_loss(self.helpers, part_ms) if count > 1 else []
        )
        found: list[_types.Placement | None] = []
        primaries = self._rank_primaries(part_ms)
        if count > 1 and self.whole_only:
            primaries = [
                s for s in primaries if s.endpoint.id not in self.whole_only
            ]
        for primary in primaries[:_MAX_EVALUATED_PRIMARIES]:
            candidates = [s for s in ranked if s.endpoint != primary.endpoint]
            chosen_helpers = candidates[: count - 1]
            if len(chosen_helpers) == count - 1:
                found.append(self._place_at(primary, chosen_helpers, part_ms))
        return _best(found)

    def _place_at(
        self,
        primary: _endpoint_state.EndpointState,
        chosen_helpers: list[_endpoint_state.EndpointState],
        part_ms: float,
    ) -> _types.Placement | None:
        """Returns the better of an immediate and a delayed send."""
        best = _best(
            self._schedule(primary, chosen_helpers, part_ms, delayed)
            for delayed in (False, True)
        )
        if best is None:
            return None
        blocking = _losses.blocking_loss(
            self.demand, self.states, primary, chosen_helpers, part_ms
        )
        return best._replace(predicted_loss=best.predicted_loss + blocking)

    def _schedule(
        self,
        primary: _endpoint_state.EndpointState,
        chosen_helpers: list[_endpoint_state.EndpointState],
        part_ms: float,
        delayed: bool,
    ) -> _types.Placement | None:
        """Returns a placement with an immediate or a delayed send.

        A delayed prompt is sent when the prefills at its endpoints have ended,
        so that it preempts none of them.
        """
        prompt = self.prompt
        participants = [primary, *chosen_helpers]
        send_delay_ms = 0.0
        if delayed:
            send_delay_ms = max(s.prefill_wait_ms for s in participants)
            if not chosen_helpers or send_delay_ms < _MIN_SEND_DELAY_MS:
                return None
            if send_delay_ms > _MAX_SEND_DELAY_SHARE * prompt.remaining_ms:
                return None
        # After a delay, no other prefill is queued. Without one, a helper's
        # part is prefilled before all others and the primary's part last.
        primary_prefill_wait_ms = (
            send_delay_ms if delayed else primary.prefill_wait_ms
        )
        part_ends_ms = [
            primary.immediate_prefill_end_ms(part_ms) + primary_prefill_wait_ms
        ]
        part_ends_ms += [
            s.immediate_prefill_end_ms(part_ms) + send_delay_ms
            for s in chosen_helpers
        ]
        first_event_ms = max(part_ends_ms) + self._slot_wait_ms(primary)
        predicted_loss = (
            _losses.delay_loss(prompt, first_event_ms)
            + _losses.primary_loss(primary, prompt, self.concurrent)
            + _losses.helper_occupancy_loss(
                prompt, first_event_ms, part_ms, len(chosen_helpers)
            )
            + _HELPER_LOSS * len(chosen_helpers)
        )
        for state in chosen_helpers:
            predicted_loss += self._crossing_loss(state)
        for state in participants:
            queued_prefill_ms = 0.0 if delayed else state.prefill_wait_ms
            predicted_loss += _losses.interference_loss(
                state, part_ms, prompt, queued_prefill_ms
            )
        if not delayed:
            predicted_loss += _losses.preemption_loss(
                chosen_helpers, part_ms, self.now_ms
            )
        assignments = tuple(
            self._assignment(
                state, state is primary, part_ms, part_end_ms, first_event_ms
            )
            for state, part_end_ms in zip(
                participants, part_ends_ms, strict=True
            )
        )
        return _types.Placement(
            primary.endpoint,
            tuple(s.endpoint for s in chosen_helpers),
            assignments,
            first_event_ms,
            predicted_loss,
            send_delay_ms=send_delay_ms,
        )

    def _place_with_reservations(self, count: int) -> _types.Placement | None:
        """Returns a placement that reserves memory on `count` endpoints.

        It is used for prompts that no single endpoint has the memory for.
        """
        prompt, part_ms = self.prompt, self._part_ms(count)
        usable_tokens = int(
            self.model.parameters.memory_tokens * USABLE_MEMORY_SHARE
        )

        def loss(state: _endpoint_state.EndpointState) -> float:
            return _losses.interference_loss(
                state, part_ms, prompt, state.prefill_wait_ms
            ) + (prompt.weight * state.memory_tokens / usable_tokens)

        selected = sorted(self.helpers, key=loss)[:count]
        if len(selected) < count:
            return None
        needed_tokens = prompt.tokens + prompt.output_tokens
        # Equal parts first; what does not fit goes where memory is left.
        free_tokens = [
            max(0, usable_tokens - s.memory_tokens) for s in selected
        ]
        if sum(free_tokens) < needed_tokens:
            return None
        tokens = [min(f, -(-needed_tokens // count)) for f in free_tokens]
        for i, room in enumerate(free_tokens):
            tokens[i] += min(room - tokens[i], needed_tokens - sum(tokens))
        with_slot = [
            i
            for i, s in enumerate(selected)
            if s.slots_free > 0 and tokens[i] > 0
        ]
        if not with_slot:
            return None
        order = [with_slot[0], *(i for i in range(count) if i != with_slot[0])]
        primary, helper_states = (
            selected[order[0]],
            [selected[i] for i in order[1:]],
        )
        best = self._place_at(primary, helper_states, part_ms)
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
                _types.Reservation(selected[i].endpoint, tokens[i])
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
        part_end_ms: float,
        first_event_ms: float,
    ) -> _types.Assignment:
        prompt, now_ms = self.prompt, self.now_ms
        return _types.Assignment(
            attempt_id=prompt.attempt_id,
            endpoint=state.endpoint.id,
            primary=primary,
            decoding=False,
            prefill_ms=part_ms * state.slowness,
            ready_ms=now_ms + part_end_ms,
            first_event_at_ms=now_ms + first_event_ms,
            due_ms=now_ms + prompt.target_ms,
            max_gap_ms=prompt.max_gap_ms,
            context_tokens=prompt.tokens if primary else 0,
            memory_tokens=prompt.tokens + prompt.output_tokens
            if primary
            else 0,
            weight=prompt.weight,
            team=prompt.team,
        )

    def _part_loss(
        self, state: _endpoint_state.EndpointState, part_ms: float
    ) -> float:
        """Returns the loss of prefilling a part behind the queued prefill."""
        return _losses.interference_loss(
            state, part_ms, self.prompt, state.prefill_wait_ms
        ) + _losses.delay_loss(self.prompt, state.prefill_end_ms(part_ms))

    def _rank_by_part_loss(
        self, states: list[_endpoint_state.EndpointState], part_ms: float
    ) -> list[_endpoint_state.EndpointState]:
        """Sorts endpoints by the loss of prefilling a part there."""
        return sorted(
            states,
            key=lambda s: self._part_loss(s, part_ms) + self._crossing_loss(s),
        )

    def _crossing_loss(self, helper: _endpoint_state.EndpointState) -> float:
        """Returns the loss of a helper in another zone than the instance."""
        if helper.endpoint.zone == self.prompt.zone or not self.prompt.zone:
            return 0.0
        return self.prompt.helper_crossing_loss

    def _rank_primaries(
        self, part_ms: float
    ) -> list[_endpoint_state.EndpointState]:
        """Sorts the candidates by the loss of being the primary."""

        def loss(state: _endpoint_state.EndpointState) -> float:
            return (
                self._part_loss(state, part_ms)
                + _losses.primary_loss(state, self.prompt, self.concurrent)
                + (0.0 if state.slots_free > 0 else _NO_FREE_SLOT_LOSS)
            )

        return sorted(self.primaries, key=loss)


def _best(
    placements: Iterable[_types.Placement | None],
) -> _types.Placement | None:
    valid = [p for p in placements if p is not None]
    return min(valid, key=lambda p: p.predicted_loss) if valid else None
