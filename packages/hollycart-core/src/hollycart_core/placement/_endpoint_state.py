"""Predicted state of an endpoint before a prompt is placed."""

from typing import NamedTuple

from hollycart_core.placement import _engine_model
from hollycart_core.placement import _health
from hollycart_core.placement import _load_view
from hollycart_core.placement import _types

# Remaining prefill time that is assumed for a prompt whose prefill should have
# ended already: a share of its whole prefill time, and a lower bound in ms.
_OVERDUE_SHARE = 0.2
_OVERDUE_MS = 10.0


class EndpointState(NamedTuple):
    """Predicted load of an endpoint, without the prompt to be placed.

    Attributes:
        endpoint: The endpoint.
        prefill_wait_ms: Time until all assigned prefill has ended, in ms.
        decode_step_ms: Time of a batch step without prefill, in ms.
        slowness: Factor by which the endpoint is slower than published.
        decodes: Assignments in decode.
        prefills: Assignments in prefill or waiting for it.
        slots_used: Number of assignments as primary.
        helper_slots_used: Number of assignments as helper.
        memory_tokens: KV cache in use, in tokens.
        unaccounted: Number of requests that no instance accounts for, taken to
            be in decode.
        unaccounted_gap_ms: Longest gap that their answers accept, in ms.
    """

    endpoint: _types.Endpoint
    prefill_wait_ms: float
    decode_step_ms: float
    slowness: float
    decodes: tuple[_types.Assignment, ...]
    prefills: tuple[_types.Assignment, ...]
    slots_used: int
    helper_slots_used: int
    memory_tokens: int
    unaccounted: int = 0
    unaccounted_gap_ms: float = float("inf")

    @property
    def slots_free(self) -> int:
        """Number of free slots; negative if requests queue."""
        return self.endpoint.slots - self.slots_used

    def immediate_prefill_end_ms(self, part_ms: float) -> float:
        """Returns the time until a part that need not wait is prefilled, in ms.

        A batch step in progress is half done on average. The part is prefilled
        in the next step, and the first event follows at its end.

        Args:
            part_ms: Published time to prefill the part, in ms.
        """
        return 1.5 * self.decode_step_ms + part_ms * self.slowness

    def prefill_end_ms(self, part_ms: float) -> float:
        """Returns the time until a part at the end of the queue is prefilled.

        Args:
            part_ms: Published time to prefill the part, in ms.
        """
        return self.prefill_wait_ms + self.immediate_prefill_end_ms(part_ms)


def predict_state(
    endpoint: _types.Endpoint,
    view: _load_view.LoadView,
    health: _health.EndpointHealth,
    model: _engine_model.EngineModel,
    now_ms: float,
    min_slowness: float = 1.0,
) -> EndpointState:
    """Returns the predicted state of an endpoint.

    Args:
        endpoint: The endpoint.
        view: Assignments of all instances.
        health: Source of the endpoint's slowness.
        model: Step model of the endpoint's service.
        now_ms: Current instant.
        min_slowness: Smallest slowness that is assumed of the endpoint.
    """
    decodes: list[_types.Assignment] = []
    prefills: list[_types.Assignment] = []
    prefill_wait_ms = 0.0
    primary_count = helper_slots_used = used_tokens = total_context_tokens = 0
    for assignment in view.on_endpoint(endpoint.id):
        if assignment.primary:
            primary_count += 1
        else:
            helper_slots_used += 1
        used_tokens += assignment.memory_tokens
        if assignment.decoding:
            decodes.append(assignment)
            total_context_tokens += assignment.context_tokens
            continue
        prefills.append(assignment)
        remaining_ms = assignment.ready_ms - now_ms
        if remaining_ms < 0:
            remaining_ms = max(
                _OVERDUE_MS, _OVERDUE_SHARE * assignment.prefill_ms
            )
        prefill_wait_ms = max(prefill_wait_ms, remaining_ms)
    decode_count = len(decodes)
    unaccounted = view.unaccounted(endpoint.id)
    unaccounted_count, unaccounted_gap_ms = 0, float("inf")
    if unaccounted is not None:
        unaccounted_count = unaccounted.requests_left(now_ms)
        unaccounted_gap_ms = unaccounted.max_gap_ms
        primary_count += unaccounted_count
        decode_count += unaccounted_count
        total_context_tokens += unaccounted.memory_left(now_ms)
        used_tokens += unaccounted.memory_left(now_ms)
    slowness = max(min_slowness, health.slowness(endpoint.id, now_ms))
    return EndpointState(
        endpoint,
        prefill_wait_ms,
        model.decode_step_ms(decode_count, total_context_tokens) * slowness,
        slowness,
        tuple(decodes),
        tuple(prefills),
        primary_count,
        helper_slots_used,
        used_tokens,
        unaccounted_count,
        unaccounted_gap_ms,
    )
