"""An engine that runs batch steps by the published step model."""

from typing import NamedTuple

from hollycart_core import placement
from hollycart_core import routing


class PromptPart(NamedTuple):
    """A part of a prompt that one engine prefills.

    Attributes:
        prompt: Number of the prompt.
        prefill_ms: Time that the prefill takes, in ms.
        tokens: Number of prompt tokens of the part.
        primary: Whether the engine is the prompt's primary.
    """

    prompt: int
    prefill_ms: float
    tokens: int
    primary: bool


class _DecodingRequest:
    def __init__(self, prompt: int, steps_left: int, context: int) -> None:
        self.prompt = prompt
        self.steps_left = steps_left
        self.context = context


class StepResult(NamedTuple):
    """Result of one batch step.

    Attributes:
        events: Prompts whose callers get an event of the stream.
        prefilled: Prompts of which a part has been prefilled completely.
        completed: Prompts whose answer is complete.
    """

    events: tuple[int, ...]
    prefilled: tuple[int, ...]
    completed: tuple[int, ...]


class VirtualEngine:
    """Prefills parts and decodes answers, one batch step after the other.

    Args:
        parameters: Parameters of the step model.
        slowness: Factor on the time of each batch step.
    """

    def __init__(
        self, parameters: routing.EngineParameters, slowness: float = 1.0
    ) -> None:
        self.parameters = parameters
        self.slowness = slowness
        self._model = placement.EngineModel(parameters)
        # Remaining time in ms and tokens of each part of the prefill queue, in
        # the same order.
        self._remaining_work: list[list[float]] = []
        self._prefill_queue: list[PromptPart] = []
        self._decoding: list[_DecodingRequest] = []
        self._joining: list[_DecodingRequest] = []
        self._waiting_for_slot: list[PromptPart] = []

    @property
    def busy(self) -> bool:
        """Whether the next batch step has prefill or decode work."""
        return bool(self._prefill_queue or self._decoding or self._joining)

    def add(self, part: PromptPart) -> None:
        """Queues a part for prefill.

        A helper's part preempts all other prefill work, and the newest such
        part comes first, as observed on simulated days. A primary's part goes
        to the end of the queue, and waits for a slot if none is free.
        """
        if part.primary and self._slots_used() >= self.parameters.slots:
            self._waiting_for_slot.append(part)
            return
        place = len(self._prefill_queue) if part.primary else 0
        self._prefill_queue.insert(place, part)
        self._remaining_work.insert(
            place, [part.prefill_ms, float(part.tokens)]
        )

    def start_decode(
        self, prompt: int, output_tokens: int, context: int
    ) -> None:
        """Starts to decode an answer in the next batch step."""
        steps_left = max(1, -(-output_tokens // self.parameters.stride))
        self._joining.append(_DecodingRequest(prompt, steps_left, context))

    def cancel(self, prompt: int) -> None:
        """Removes all prefill and decode work of a prompt."""
        kept_positions = [
            i for i, p in enumerate(self._prefill_queue) if p.prompt != prompt
        ]
        self._prefill_queue = [self._prefill_queue[i] for i in kept_positions]
        self._remaining_work = [self._remaining_work[i] for i in kept_positions]
        self._decoding = [r for r in self._decoding if r.prompt != prompt]
        self._joining = [r for r in self._joining if r.prompt != prompt]
        self._waiting_for_slot = [
            p for p in self._waiting_for_slot if p.prompt != prompt
        ]

    def run_step(self) -> tuple[float, StepResult]:
        """Runs one batch step.

        Returns:
            Duration of the step, in ms, and its result.
        """
        self._decoding += self._joining
        self._joining = []
        decoding = self._decoding
        token_steps = self.parameters.stride if decoding else 1
        token_budget = float(token_steps * self.parameters.chunk_tokens)
        prefill_ms = 0.0
        prefilled: list[int] = []
        while self._remaining_work and token_budget > 0:
            remaining_ms, remaining_tokens = self._remaining_work[0]
            share = min(1.0, token_budget / max(1.0, remaining_tokens))
            prefill_ms += remaining_ms * share
            token_budget -= remaining_tokens * share
            if share >= 1.0:
                self._remaining_work.pop(0)
                prefilled.append(self._prefill_queue.pop(0).prompt)
            else:
                self._remaining_work[0] = [
                    remaining_ms * (1 - share),
                    remaining_tokens * (1 - share),
                ]
                break
        contexts = sum(r.context for r in decoding)
        decode_step_ms = self._model.decode_step_ms(len(decoding), contexts)
        events = tuple(r.prompt for r in decoding)
        for req in decoding:
            req.steps_left -= 1
        completed = tuple(r.prompt for r in decoding if r.steps_left <= 0)
        self._decoding = [r for r in decoding if r.steps_left > 0]
        while (
            self._waiting_for_slot
            and self._slots_used() < self.parameters.slots
        ):
            self.add(self._waiting_for_slot.pop(0))
        duration_ms = max(0.05, (decode_step_ms + prefill_ms) * self.slowness)
        return duration_ms, StepResult(events, tuple(prefilled), completed)

    def report(self) -> tuple[int, int]:
        """Returns the number of requests and the KV cache in use, in tokens.

        Parts of helpers are not counted as requests.
        """
        primaries = [
            p
            for p in (*self._prefill_queue, *self._waiting_for_slot)
            if p.primary
        ]
        decoding = [*self._decoding, *self._joining]
        memory_tokens = sum(p.tokens for p in self._prefill_queue)
        memory_tokens += sum(r.context for r in decoding)
        return len(primaries) + len(decoding), memory_tokens

    def _slots_used(self) -> int:
        primaries = sum(1 for p in self._prefill_queue if p.primary)
        return primaries + len(self._decoding) + len(self._joining)
