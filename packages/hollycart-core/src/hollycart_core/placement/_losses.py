"""What a placement is predicted to cost, in answers that are not on time."""

import math
from typing import NamedTuple

from hollycart_core.placement import _endpoint_state
from hollycart_core.placement import _engine_model
from hollycart_core.placement import _types

# Part of a pause that predictions may fill; the rest covers their error.
_PAUSE_SHARE = 0.85
# Part of the target from which a prompt counts as partly late.
_SAFE_SHARE = 0.5
# Loss per use of the whole target, so that sooner is better.
_SOONER = 0.1
# Targets after which a delay counts no more.
_MAX_TARGETS = 10.0
# Part of the time until the caller gives up from which a prompt counts as
# partly lost: predictions of long readings are that exact.
_SURE_SHARE = 0.8
# Loss for each helper that a late prompt keeps from others: as much as one
# short answer that is late, and the time from which it counts in full, in ms.
_OCCUPIED_LOSS = 0.75
_OCCUPIED_MS = 1000.0
# Loss where a short answer begins to occupy an endpoint without such answers:
# it keeps long prompts from being read there.
_OPEN_LOSS = 0.04
# Loss for leaving the availability zone of the instance.
_ZONE_LOSS = 0.002
# Part of the loss of a prompt that is late but still answered.
_LATE_LOSS = 0.75
# Time from the view on which a placement rests until all instances know it:
# the decision, gathering of datagrams and the way, in ms.
_UNSEEN_MS = 10.0
# Length of a quick answer, in tokens: the mean that both users publish.
_QUICK_ANSWER_TOKENS = 1500
# Loss of an answer that another prompt makes late, in losses of one that is
# late by itself: who is being answered is not disturbed lightly.
_HARM_FACTOR = 2.0


class QuickDemand(NamedTuple):
    """Prompts with shorter pauses that are expected beside a long one.

    Attributes:
        per_ms: Expected arrivals in a ms.
        answer_ms: Time for which one occupies a slot.
        max_gap_ms: Pause that they accept.
        weight: Importance of one.
    """

    per_ms: float
    answer_ms: float
    max_gap_ms: float
    weight: float


def delay_loss(prompt: _types.Prompt, finish_ms: float) -> float:
    """Returns the prompt's own loss if it is read in `finish_ms`."""
    used = finish_ms / max(1.0, prompt.target_ms)
    late = min(1.0, max(0.0, (used - _SAFE_SHARE) / (1.0 - _SAFE_SHARE)))
    left = finish_ms / max(1.0, prompt.remaining_ms)
    lost = min(1.0, max(0.0, (left - _SURE_SHARE) / (1.0 - _SURE_SHARE)))
    # A late answer is worth the same until the caller gives up: how late it is
    # counts like a short prompt's delay, whatever its length.
    later = min(used, _MAX_TARGETS) - min(used, 1.0)
    return (
        prompt.weight
        * (
            _LATE_LOSS * late
            + (1.0 - _LATE_LOSS) * lost
            + _SOONER * min(used, 1.0)
        )
        + _SOONER * later
    )


def occupation_loss(
    prompt: _types.Prompt, finish_ms: float, part_ms: float, helpers: int
) -> float:
    """Returns the loss of keeping helpers from prompts that are urgent.

    A prompt that is on time is worth what it takes; one that is late in any
    case leaves as many endpoints as it can.

    Args:
        prompt: The prompt.
        finish_ms: When it is read.
        part_ms: Time to read its part at each endpoint.
        helpers: Number of endpoints besides the one that writes.
    """
    if finish_ms <= prompt.target_ms:
        return 0.0
    return _OCCUPIED_LOSS * helpers * min(1.0, part_ms / _OCCUPIED_MS)


def harm_loss(
    state: _endpoint_state.EndpointState,
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
    before_ms = state.decode_step_ms + wait_ms
    after_ms = before_ms + part_ms * state.slowness
    loss = 0.0
    for assignment in state.writers:
        allowed_ms = assignment.max_gap_ms * _PAUSE_SHARE
        if before_ms <= allowed_ms < after_ms:
            loss += assignment.weight * _LATE_LOSS * _HARM_FACTOR
    # A pass that is too long for the prompt's own events.
    if state.decode_step_ms > prompt.max_gap_ms * _PAUSE_SHARE:
        loss += prompt.weight * _LATE_LOSS
    return loss


def preemption_loss(
    chosen: list[_endpoint_state.EndpointState],
    part_ms: float,
    now_ms: float,
) -> float:
    """Returns the loss of prompts that helpers' parts are read ahead of.

    A prompt that is read at several of the endpoints loses once.
    """
    losses: dict[str, float] = {}
    for state in chosen:
        for assignment in state.readers:
            slack_ms = assignment.due_ms - max(now_ms, assignment.first_ms)
            if slack_ms < part_ms:
                loss = assignment.weight * (
                    _LATE_LOSS if slack_ms >= 0 else 0.1
                )
            else:
                loss = assignment.weight * _SOONER * part_ms / slack_ms
            losses[assignment.attempt] = max(
                loss, losses.get(assignment.attempt, 0.0)
            )
    return sum(losses.values())


def unseen_arrivals(
    model: _engine_model.EngineModel,
    states: list[_endpoint_state.EndpointState],
) -> float:
    """Returns how many prompts are placed before this placement is known.

    They may choose the same endpoint, since they see what is seen here.
    """
    running = sum(s.slots_used for s in states)
    return running * _UNSEEN_MS / model.decode_ms(_QUICK_ANSWER_TOKENS)


def collision_loss(
    state: _endpoint_state.EndpointState, prompt: _types.Prompt, unseen: float
) -> float:
    """Returns the loss of being one too many for the slots that are left.

    Args:
        state: The endpoint.
        prompt: The prompt.
        unseen: Prompts that are placed at the same time, on average.
    """
    if state.slots_free <= 0:
        return 0.0
    # Poisson: so many others that the slots left do not suffice for all.
    term = fitting = math.exp(-unseen)
    for number in range(1, state.slots_free):
        term *= unseen / number
        fitting += term
    return prompt.weight * _LATE_LOSS * (1.0 - fitting) / 2.0


def primary_loss(
    state: _endpoint_state.EndpointState,
    prompt: _types.Prompt,
    unseen: float,
) -> float:
    """Returns the loss of writing the answer at an endpoint."""
    loss = collision_loss(state, prompt, unseen)
    if prompt.zone and state.endpoint.zone != prompt.zone:
        loss += _ZONE_LOSS
    alike = any(w.max_gap_ms <= prompt.max_gap_ms for w in state.writers)
    alike = alike or any(
        w.primary and w.max_gap_ms <= prompt.max_gap_ms for w in state.readers
    )
    if not alike:
        loss += _OPEN_LOSS
    return loss


def quick_demand(
    prompt: _types.Prompt,
    model: _engine_model.EngineModel,
    states: list[_endpoint_state.EndpointState],
) -> QuickDemand | None:
    """Returns what is expected of prompts with shorter pauses."""
    quick = [
        w
        for s in states
        for w in (*s.writers, *s.readers)
        if w.primary and w.max_gap_ms < prompt.max_gap_ms
    ]
    if not quick:
        return None
    # In a steady state as many come as end in the time of an answer.
    answer_ms = model.decode_ms(_QUICK_ANSWER_TOKENS)
    return QuickDemand(
        (len(quick) + 1) / answer_ms,
        answer_ms,
        min(w.max_gap_ms for w in quick),
        sum(w.weight for w in quick) / len(quick),
    )


def crowding_loss(
    demand: QuickDemand | None,
    states: list[_endpoint_state.EndpointState],
    primary: _endpoint_state.EndpointState,
    chosen: list[_endpoint_state.EndpointState],
    part_ms: float,
) -> float:
    """Returns the loss of quick prompts that find no endpoint free."""
    if demand is None:
        return 0.0
    allowed_ms = demand.max_gap_ms * _PAUSE_SHARE
    used = {s.endpoint.id for s in chosen}
    used.add(primary.endpoint.id)
    free = 0
    blocked_ms = 0.0
    for state in states:
        before_ms = state.decode_step_ms + state.wait_ms
        if state.endpoint.id not in used:
            if before_ms < allowed_ms:
                free += max(0, state.slots_free)
        elif before_ms + part_ms > allowed_ms:
            blocked_ms = max(blocked_ms, state.wait_ms + part_ms)
        else:
            free += max(0, state.slots_free)
    # After the time of an answer as many slots are given back as are taken.
    taken_ms = min(blocked_ms, demand.answer_ms)
    missing = max(0.0, demand.per_ms * taken_ms + 1.0 - free)
    if not blocked_ms:
        return 0.0
    return missing * demand.weight * _LATE_LOSS
