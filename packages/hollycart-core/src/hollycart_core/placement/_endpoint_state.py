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
    pass_ms: float
    slowness: float
    writers: tuple[_types.Work, ...]
    readers: tuple[_types.Work, ...]
    slots_used: int
    helping: int
    memory_tokens: int

    @property
    def slots_free(self) -> int:
        """Slots that are left; negative if requests queue."""
        return self.endpoint.slots - self.slots_used

    def read_ms(self, part_ms: float) -> float:
        """Returns when a part is read if nothing waits before it, in ms.

        A pass in progress is half done on average; the part is read in the
        next one, and the first event follows at its end.
        """
        return 1.5 * self.pass_ms + part_ms * self.slowness

    def finish_ms(self, part_ms: float) -> float:
        """Returns when a part is read behind all that waits, in ms."""
        return self.wait_ms + self.read_ms(part_ms)


def predict_state(
    endpoint: _types.Endpoint,
    view: _load_view.LoadView,
    health: _health.EndpointHealth,
    model: _engine_model.EngineModel,
    now_ms: float,
) -> EndpointState:
    writers: list[_types.Work] = []
    readers: list[_types.Work] = []
    wait_ms = 0.0
    slots = helping = memory = context = 0
    for work in view.at(endpoint.id):
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
    slowness = health.slowness(endpoint.id, now_ms)
    return EndpointState(
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
