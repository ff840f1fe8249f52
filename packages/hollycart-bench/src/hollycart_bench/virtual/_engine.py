"""An engine that works in passes, by the published step model."""

from typing import NamedTuple

from hollycart_core import placement
from hollycart_core import routing


class Part(NamedTuple):
    """A part of a prompt to be read at one engine."""

    prompt: int
    prefill_ms: float
    tokens: int
    primary: bool


class _Writer:
    def __init__(self, prompt: int, passes: int, context: int) -> None:
        self.prompt = prompt
        self.passes = passes
        self.context = context


class PassResult(NamedTuple):
    """What a pass has done.

    Attributes:
        events: Prompts that got an event.
        read: Prompts a part of which is read now.
        ended: Prompts whose answer is complete.
    """

    events: tuple[int, ...]
    read: tuple[int, ...]
    ended: tuple[int, ...]


class VirtualEngine:
    """Reads parts and writes answers, one pass after the other.

    Args:
        parameters: The step model.
        slowness: Factor on all times.
    """

    def __init__(
        self, parameters: routing.EngineParameters, slowness: float = 1.0
    ) -> None:
        self.parameters = parameters
        self.slowness = slowness
        self._model = placement.EngineModel(parameters)
        self._parts: list[list[float]] = []
        self._named: list[Part] = []
        self._writers: list[_Writer] = []
        self._begun: list[_Writer] = []
        self._queue: list[Part] = []

    @property
    def busy(self) -> bool:
        """Whether there is anything to do."""
        return bool(self._named or self._writers or self._begun)

    def add(self, part: Part) -> None:
        """Queues a part.

        A helper's part is read ahead of everything that waits, the newest
        first, as seen on played days. A main part waits for a free slot.
        """
        if part.primary and self._slots_used() >= self.parameters.slots:
            self._queue.append(part)
            return
        place = len(self._named) if part.primary else 0
        self._named.insert(place, part)
        self._parts.insert(place, [part.prefill_ms, float(part.tokens)])

    def write(self, prompt: int, output_tokens: int, context: int) -> None:
        """Begins an answer in the next pass."""
        passes = max(1, -(-output_tokens // self.parameters.stride))
        self._begun.append(_Writer(prompt, passes, context))

    def cancel(self, prompt: int) -> None:
        """Drops everything of a prompt."""
        keep = [i for i, p in enumerate(self._named) if p.prompt != prompt]
        self._named = [self._named[i] for i in keep]
        self._parts = [self._parts[i] for i in keep]
        self._writers = [w for w in self._writers if w.prompt != prompt]
        self._begun = [w for w in self._begun if w.prompt != prompt]
        self._queue = [p for p in self._queue if p.prompt != prompt]

    def run_pass(self) -> tuple[float, PassResult]:
        """Runs one pass; returns its time in ms and what it has done."""
        self._writers += self._begun
        self._begun = []
        writers = self._writers
        steps = self.parameters.stride if writers else 1
        tokens_left = float(steps * self.parameters.chunk_tokens)
        prefill_ms = 0.0
        read: list[int] = []
        while self._parts and tokens_left > 0:
            left_ms, left_tokens = self._parts[0]
            share = min(1.0, tokens_left / max(1.0, left_tokens))
            prefill_ms += left_ms * share
            tokens_left -= left_tokens * share
            if share >= 1.0:
                self._parts.pop(0)
                read.append(self._named.pop(0).prompt)
            else:
                self._parts[0] = [
                    left_ms * (1 - share),
                    left_tokens * (1 - share),
                ]
                break
        contexts = sum(w.context for w in writers)
        decode_step_ms = self._model.decode_step_ms(len(writers), contexts)
        events = tuple(w.prompt for w in writers)
        for writer in writers:
            writer.passes -= 1
        ended = tuple(w.prompt for w in writers if w.passes <= 0)
        self._writers = [w for w in writers if w.passes > 0]
        while self._queue and self._slots_used() < self.parameters.slots:
            self.add(self._queue.pop(0))
        duration_ms = max(0.05, (decode_step_ms + prefill_ms) * self.slowness)
        return duration_ms, PassResult(events, tuple(read), ended)

    def _slots_used(self) -> int:
        primaries = sum(1 for p in self._named if p.primary)
        return primaries + len(self._writers) + len(self._begun)
