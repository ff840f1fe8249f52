"""What is predicted for an endpoint before a prompt is placed."""

from typing import NamedTuple

from hollycart_core.placement import _engine_model
from hollycart_core.placement import _health
from hollycart_core.placement import _load_view
from hollycart_core.placement import _types

# A prompt whose first event is overdue is taken to need this part of its
# reading again, at least this long, in ms.
_OVERDUE_SHARE = 0.2
_OVERDUE_MS = 10.0


class EndpointState(NamedTuple):
    """What is predicted for an endpoint before the prompt is added."""

    endpoint: _types.Endpoint
    wait_ms: float
    decode_step_ms: float
    slowness: float
    writers: tuple[_types.Assignment, ...]
    readers: tuple[_types.Assignment, ...]
    slots_used: int
    helping: int
    memory_tokens: int

    @property
    def slots_free(self) -> int:
        """Slots that are left; negative if requests queue."""
        return self.endpoint.slots - self.slots_used

    def prefill_ms(self, part_ms: float) -> float:
        """Returns when a part is read if nothing waits before it, in ms.

        A pass in progress is half done on average; the part is read in the
        next one, and the first event follows at its end.
        """
        return 1.5 * self.decode_step_ms + part_ms * self.slowness

    def finish_ms(self, part_ms: float) -> float:
        """Returns when a part is read behind all that waits, in ms."""
        return self.wait_ms + self.prefill_ms(part_ms)


def predict_state(
    endpoint: _types.Endpoint,
    view: _load_view.LoadView,
    health: _health.EndpointHealth,
    model: _engine_model.EngineModel,
    now_ms: float,
) -> EndpointState:
    writers: list[_types.Assignment] = []
    readers: list[_types.Assignment] = []
    wait_ms = 0.0
    slots = helping = memory = context = 0
    for assignment in view.on_endpoint(endpoint.id):
        if assignment.primary:
            slots += 1
        else:
            helping += 1
        memory += assignment.memory_tokens
        if assignment.decoding:
            writers.append(assignment)
            context += assignment.context_tokens
            continue
        readers.append(assignment)
        remaining_ms = assignment.ready_ms - now_ms
        if remaining_ms < 0:
            remaining_ms = max(
                _OVERDUE_MS, _OVERDUE_SHARE * assignment.prefill_ms
            )
        wait_ms = max(wait_ms, remaining_ms)
    slowness = health.slowness(endpoint.id, now_ms)
    return EndpointState(
        endpoint,
        wait_ms,
        model.decode_step_ms(len(writers), context) * slowness,
        slowness,
        tuple(writers),
        tuple(readers),
        slots,
        helping,
        memory,
    )
