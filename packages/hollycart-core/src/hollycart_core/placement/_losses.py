"""Predicted losses of a placement, in answers that are not on time.

A loss of 1 corresponds to one lost request of weight 1.
"""

import math
from typing import NamedTuple

from hollycart_core.placement import _conflicts
from hollycart_core.placement import _endpoint_state
from hollycart_core.placement import _engine_model
from hollycart_core.placement import _types

# Share of an accepted gap that a predicted batch step may fill; the rest covers
# the error of the prediction.
_USABLE_GAP_SHARE = 0.85
# Share of the target from which a prompt counts as partly late.
_LATE_FROM_SHARE = 0.5
# Loss of a first event just on target, growing linearly from 0, so that lower
# latency is preferred among placements that are on time.
_LATENCY_LOSS = 0.1
# Latency, in multiples of the target, above which the loss grows no more.
_MAX_LATENCY_TARGETS = 10.0
# Share of the time until the caller abandons the request from which a prompt
# counts as partly lost. Predictions of long prefills are accurate enough for
# this margin.
_LOST_FROM_SHARE = 0.8
# Loss per helper that a late prompt keeps from other prompts, equal to one late
# short answer, and the prefill time from which it counts in full, in ms.
_HELPER_OCCUPANCY_LOSS = 0.75
_FULL_OCCUPANCY_MS = 1000.0
# Loss of the first short answer at an endpoint, since it keeps long prompts
# from being prefilled there.
_FIRST_SHORT_ANSWER_LOSS = 0.04
# Share of a prompt's loss that counts if it is late but still answered.
_LATE_LOSS = 0.75
# Share of a prompt's loss that counts if it is late in any case and delayed
# more.
_DELAYED_LATE_LOSS = 0.1
# Share of the contentions for a last slot in which this prompt has to wait.
_YIELD_SHARE = 0.5
# Weight of an answer that another prompt's prefill makes late, relative to a
# prompt that is late itself: answers in decode have precedence.
_INTERFERENCE_FACTOR = 2.0
# Weight of an answer that no instance accounts for: that of a prompt of the
# usual length.
_UNACCOUNTED_WEIGHT = 2.0


class InteractiveDemand(NamedTuple):
    """Expected arrivals of interactive prompts.

    Interactive prompts accept only shorter gaps between events than the prompt
    that is being placed.

    Attributes:
        arrivals_per_ms: Expected arrivals per ms.
        answer_ms: Time for which an answer occupies a slot, in ms.
        max_gap_ms: Longest gap that they accept, in ms.
        weight: Mean weight of a prompt.
    """

    arrivals_per_ms: float
    answer_ms: float
    max_gap_ms: float
    weight: float


def delay_loss(prompt: _types.Prompt, first_event_ms: float) -> float:
    """Returns the prompt's own loss for a first event in `first_event_ms`."""
    target_share = first_event_ms / max(1.0, prompt.target_ms)
    late_share = min(
        1.0,
        max(0.0, (target_share - _LATE_FROM_SHARE) / (1.0 - _LATE_FROM_SHARE)),
    )
    abandonment_share = first_event_ms / max(1.0, prompt.remaining_ms)
    lost_share = min(
        1.0,
        max(
            0.0,
            (abandonment_share - _LOST_FROM_SHARE) / (1.0 - _LOST_FROM_SHARE),
        ),
    )
    # A late answer keeps its value until the caller abandons the request. Delay
    # beyond the target therefore counts as for a short prompt, without weight.
    targets_beyond = min(target_share, _MAX_LATENCY_TARGETS) - min(
        target_share, 1.0
    )
    return (
        prompt.weight
        * (
            _LATE_LOSS * late_share
            + (1.0 - _LATE_LOSS) * lost_share
            + _LATENCY_LOSS * min(target_share, 1.0)
        )
        + _LATENCY_LOSS * targets_beyond
    )


def late_loss(weight: float, probability: float) -> float:
    """Returns the loss of a prompt that is late with a probability."""
    return weight * _LATE_LOSS * probability


def extra_delay_loss(
    prompt: _types.Prompt, base_loss: float, extra_ms: float
) -> float:
    """Returns the loss of a delay of a prompt that is served otherwise well.

    Args:
        prompt: The prompt.
        base_loss: Its loss without the delay, relative to its weight.
        extra_ms: The delay, in ms.
    """
    steepness = _LATE_LOSS / (1.0 - _LATE_FROM_SHARE) + _LATENCY_LOSS
    early_loss = _LATENCY_LOSS * _LATE_FROM_SHARE
    if base_loss <= early_loss:
        target_share = base_loss / _LATENCY_LOSS
    else:
        late_share = (base_loss - early_loss) / steepness
        target_share = min(1.0, _LATE_FROM_SHARE + late_share)
    before_ms = target_share * max(1.0, prompt.target_ms)
    return delay_loss(prompt, before_ms + extra_ms) - delay_loss(
        prompt, before_ms
    )


def helper_occupancy_loss(
    prompt: _types.Prompt,
    first_event_ms: float,
    part_ms: float,
    helpers: int,
) -> float:
    """Returns the loss of keeping helpers from urgent prompts.

    A prompt that is on time may use any number of helpers. One that is late in
    any case leaves as many endpoints as possible to other prompts.

    Args:
        prompt: The prompt.
        first_event_ms: Predicted time to the first event, in ms.
        part_ms: Time to prefill the part of each endpoint, in ms.
        helpers: Number of helpers.
    """
    if first_event_ms <= prompt.target_ms:
        return 0.0
    return (
        _HELPER_OCCUPANCY_LOSS
        * helpers
        * min(1.0, part_ms / _FULL_OCCUPANCY_MS)
    )


def interference_loss(
    state: _endpoint_state.EndpointState,
    part_ms: float,
    prompt: _types.Prompt,
    queued_prefill_ms: float,
) -> float:
    """Returns the loss by interference of a part's prefill with decode.

    The prefill lengthens the batch step and with it the gaps of all answers in
    decode at the endpoint.

    Args:
        state: The endpoint.
        part_ms: Time to prefill the part, in ms.
        prompt: The prompt.
        queued_prefill_ms: Other prefill in the same batch step, in ms.
    """
    before_ms = state.decode_step_ms + queued_prefill_ms
    after_ms = before_ms + part_ms * state.slowness
    loss = 0.0
    for assignment in state.decodes:
        allowed_ms = assignment.max_gap_ms * _USABLE_GAP_SHARE
        if before_ms <= allowed_ms < after_ms:
            loss += assignment.weight * _LATE_LOSS * _INTERFERENCE_FACTOR
    if state.unaccounted:
        allowed_ms = state.unaccounted_gap_ms * _USABLE_GAP_SHARE
        if before_ms <= allowed_ms < after_ms:
            loss += (
                state.unaccounted
                * _UNACCOUNTED_WEIGHT
                * _LATE_LOSS
                * _INTERFERENCE_FACTOR
            )
    # Even without prefill, the batch step is too long for the prompt's own gap.
    if state.decode_step_ms > prompt.max_gap_ms * _USABLE_GAP_SHARE:
        loss += prompt.weight * _LATE_LOSS
    return loss


def preemption_loss(
    helper_states: list[_endpoint_state.EndpointState],
    part_ms: float,
    now_ms: float,
) -> float:
    """Returns the loss of prompts whose prefill the helpers' parts preempt.

    A prompt that is preempted at several endpoints counts once, with its
    largest loss.

    Args:
        helper_states: States of the helpers.
        part_ms: Time to prefill the part of each endpoint, in ms.
        now_ms: Current instant.
    """
    losses: dict[str, float] = {}
    for state in helper_states:
        for assignment in state.prefills:
            slack_ms = assignment.due_ms - max(
                now_ms, assignment.first_event_at_ms
            )
            if slack_ms < part_ms:
                loss = assignment.weight * (
                    _LATE_LOSS if slack_ms >= 0 else _DELAYED_LATE_LOSS
                )
            else:
                loss = assignment.weight * _LATENCY_LOSS * part_ms / slack_ms
            losses[assignment.attempt_id] = max(
                loss, losses.get(assignment.attempt_id, 0.0)
            )
    return sum(losses.values())


def concurrent_placements(
    model: _engine_model.EngineModel,
    states: list[_endpoint_state.EndpointState],
) -> float:
    """Returns the mean number of placements until this one is known everywhere.

    Other instances decide them by the same load view and may choose the same
    endpoint.
    """
    running = sum(s.slots_used for s in states)
    return running * _conflicts.ANNOUNCEMENT_LAG_MS / model.usual_answer_ms


def slot_contention_loss(
    state: _endpoint_state.EndpointState,
    prompt: _types.Prompt,
    concurrent: float,
) -> float:
    """Returns the loss by concurrent placements on the last free slots.

    Args:
        state: The endpoint.
        prompt: The prompt.
        concurrent: Mean number of concurrent placements.
    """
    if state.slots_free <= 0:
        return 0.0
    # Poisson probability that the free slots suffice for all placements.
    term = fit_probability = math.exp(-concurrent)
    for number in range(1, state.slots_free):
        term *= concurrent / number
        fit_probability += term
    contention_probability = 1.0 - fit_probability
    return prompt.weight * _LATE_LOSS * contention_probability * _YIELD_SHARE


def primary_loss(
    state: _endpoint_state.EndpointState,
    prompt: _types.Prompt,
    concurrent: float,
) -> float:
    """Returns the loss of decoding the answer at an endpoint."""
    loss = slot_contention_loss(state, prompt, concurrent)
    if prompt.zone and state.endpoint.zone != prompt.zone:
        loss += prompt.crossing_loss
    serves_similar = any(
        a.max_gap_ms <= prompt.max_gap_ms for a in state.decodes
    )
    serves_similar = serves_similar or any(
        a.primary and a.max_gap_ms <= prompt.max_gap_ms for a in state.prefills
    )
    if not serves_similar:
        loss += _FIRST_SHORT_ANSWER_LOSS
    return loss


def interactive_demand(
    prompt: _types.Prompt,
    model: _engine_model.EngineModel,
    states: list[_endpoint_state.EndpointState],
) -> InteractiveDemand | None:
    """Returns the expected interactive prompts, estimated from those in flight.

    Returns None if none is in flight.
    """
    interactive = [
        a
        for s in states
        for a in (*s.decodes, *s.prefills)
        if a.primary and a.max_gap_ms < prompt.max_gap_ms
    ]
    if not interactive:
        return None
    # In a steady state, as many prompts arrive as answers end (Little's law).
    answer_ms = model.usual_answer_ms
    return InteractiveDemand(
        (len(interactive) + 1) / answer_ms,
        answer_ms,
        min(a.max_gap_ms for a in interactive),
        sum(a.weight for a in interactive) / len(interactive),
    )


def blocking_loss(
    demand: InteractiveDemand | None,
    states: list[_endpoint_state.EndpointState],
    primary: _endpoint_state.EndpointState,
    helper_states: list[_endpoint_state.EndpointState],
    part_ms: float,
) -> float:
    """Returns the loss of interactive prompts that find no free slot.

    Args:
        demand: Expected interactive prompts.
        states: States of all endpoints.
        primary: State of the primary.
        helper_states: States of the helpers.
        part_ms: Time to prefill the part of each endpoint, in ms.
    """
    if demand is None:
        return 0.0
    allowed_ms = demand.max_gap_ms * _USABLE_GAP_SHARE
    used_ids = {s.endpoint.id for s in helper_states}
    used_ids.add(primary.endpoint.id)
    free_slots = 0
    blocked_ms = 0.0
    for state in states:
        before_ms = state.decode_step_ms + state.prefill_wait_ms
        if state.endpoint.id not in used_ids:
            if before_ms < allowed_ms:
                free_slots += max(0, state.slots_free)
        elif before_ms + part_ms > allowed_ms:
            blocked_ms = max(blocked_ms, state.prefill_wait_ms + part_ms)
        else:
            free_slots += max(0, state.slots_free)
    # After the time of one answer, slots are freed as fast as they are taken.
    taken_ms = min(blocked_ms, demand.answer_ms)
    excess = max(0.0, demand.arrivals_per_ms * taken_ms + 1.0 - free_slots)
    if not blocked_ms:
        return 0.0
    return excess * demand.weight * _LATE_LOSS
