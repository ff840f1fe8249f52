"""Continuous batching: chooses the tokens that each batch step processes."""

import itertools
from typing import NamedTuple

from hollycart_bench.engine import _prefix_cache
from hollycart_bench.engine import _sequence
from hollycart_bench.engine import _step_model
from hollycart_core import base

_State = _sequence.SequenceState


class Step(NamedTuple):
    """One batch step.

    Attributes:
        prefill: Sequences in prefill, each with the number of tokens to
            process.
        decodes: Sequences that generate one token each.
        duration_ms: Time that the step takes, in ms.
    """

    prefill: tuple[tuple[_sequence.Sequence, int], ...]
    decodes: tuple[_sequence.Sequence, ...]
    duration_ms: float


class Batcher:
    """Scheduler and memory accounting of one engine.

    Sequences take precedence over cached prefix blocks: memory that sequences
    need is taken from the prefix cache.

    Args:
        model: Model of the step time.
        capacity_tokens: Size of the KV-cache memory, in tokens.
    """

    def __init__(
        self, model: _step_model.StepModel, capacity_tokens: int
    ) -> None:
        self.model = model
        self.capacity_tokens = capacity_tokens
        self.cache = _prefix_cache.PrefixCache()
        self.sequences: dict[str, _sequence.Sequence] = {}
        self._arrival_numbers = itertools.count()

    @property
    def held_tokens(self) -> int:
        """Memory held by all sequences but waiting ones, in tokens."""
        return sum(
            s.memory
            for s in self.sequences.values()
            if s.state is not _State.WAITING
        )

    def next_arrival_number(self) -> int:
        """Returns the arrival number of a new sequence."""
        return next(self._arrival_numbers)

    def add(self, sequence: _sequence.Sequence) -> bool:
        """Queues a sequence; returns False if its id is in use."""
        if sequence.attempt_id in self.sequences:
            return False
        self.sequences[sequence.attempt_id] = sequence
        return True

    def reserve(self, sequence: _sequence.Sequence) -> bool:
        """Reserves memory for a prompt share without queueing.

        Returns:
            False if too little memory is free or the id is in use.
        """
        free = self.capacity_tokens - self.held_tokens
        if sequence.memory > free or not self.add(sequence):
            return False
        sequence.state = _State.RESERVED
        self.cache.shrink(self.capacity_tokens - self.held_tokens)
        self._check_memory()
        return True

    def run_reserved(self, attempt_id: str, priority: int) -> bool:
        """Starts the prefill of a reserved prompt share.

        Returns:
            False if there is no such reservation.
        """
        sequence = self.sequences.get(attempt_id)
        if sequence is None or sequence.state is not _State.RESERVED:
            return False
        sequence.priority = priority
        sequence.state = _State.RUNNING
        return True

    def cancel(self, attempt_id: str) -> bool:
        """Ends a sequence and frees its memory; returns False if unknown."""
        sequence = self.sequences.pop(attempt_id, None)
        if sequence is None:
            return False
        if sequence.state is not _State.FINISHED:
            sequence.output.put(None)
        return True

    def plan(self) -> Step | None:
        """Returns the next step, or None if no sequence can run."""
        self._admit()
        running = sorted(
            (s for s in self.sequences.values() if s.state is _State.RUNNING),
            key=lambda s: s.sort_key,
        )
        decodes = tuple(s for s in running if s.prefill_left == 0)
        budget = self.model.chunk_tokens
        prefill = []
        for sequence in running:
            tokens = min(budget, sequence.prefill_left)
            if tokens > 0:
                prefill.append((sequence, tokens))
                budget -= tokens
        if not decodes and not prefill:
            return None
        processed = self.model.chunk_tokens - budget
        duration_ms = self.model.step_ms(processed, len(decodes))
        return Step(tuple(prefill), decodes, duration_ms)

    def apply_step(self, step: Step) -> None:
        """Applies a step; called when its duration has elapsed."""
        for sequence in step.decodes:
            if sequence.attempt_id in self.sequences:
                self._generate(sequence)
        for sequence, tokens in step.prefill:
            if sequence.attempt_id not in self.sequences:
                continue
            sequence.prefill_left -= tokens
            if sequence.prefill_left == 0:
                self.cache.store(sequence.blocks)
                self._generate(sequence)
        self.cache.shrink(self.capacity_tokens - self.held_tokens)
        self._check_memory()

    def _generate(self, sequence: _sequence.Sequence) -> None:
        if sequence.max_tokens == 0:  # a prompt share only runs prefill
            sequence.output.put(("", 0, True))
            sequence.state = _State.FINISHED
            return
        offset = sequence.offset
        token = sequence.next_token()
        final = sequence.offset >= sequence.max_tokens
        sequence.output.put((token, offset, final))
        if final:
            sequence.state = _State.FINISHED

    def _admit(self) -> None:
        waiting = sorted(
            (s for s in self.sequences.values() if s.state is _State.WAITING),
            key=lambda s: s.sort_key,
        )
        for sequence in waiting:
            if self.held_tokens + sequence.memory > self.capacity_tokens:
                return
            hit = min(
                self.cache.match(sequence.blocks), sequence.prompt_tokens - 1
            )
            sequence.cached = max(0, hit)
            sequence.prefill_left -= sequence.cached
            sequence.state = _State.RUNNING
            self.cache.shrink(self.capacity_tokens - self.held_tokens)

    def _check_memory(self) -> None:
        base.check_invariant(
            "engine.memory_within_capacity",
            self.held_tokens + self.cache.tokens <= self.capacity_tokens
            or self.cache.tokens == 0,
            f"{self.held_tokens}+{self.cache.tokens}",
        )
