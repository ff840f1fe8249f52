"""A request inside the engine stand-in."""

import enum

from eventlet import queue

from hollycart_bench.engine import _text


class SequenceState(enum.Enum):
    """Progress of a sequence."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    RESERVED = "reserved"


class Sequence:
    """One request, or a share of one, that holds memory.

    Args:
        attempt_id: Identifier given by the caller.
        digest: Determines the answer.
        blocks: Hashes of the prompt's blocks.
        prompt_tokens: Prompt tokens to process here.
        max_tokens: Length of the answer.
        offset: First token of the answer to generate.
        priority: Zero is the most urgent.
        arrival: Order of arrival.
    """

    def __init__(
        self,
        attempt_id: str,
        digest: str,
        blocks: list[int],
        prompt_tokens: int,
        max_tokens: int,
        offset: int,
        priority: int,
        arrival: int,
    ) -> None:
        self.attempt_id = attempt_id
        self.digest = digest
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.offset = offset
        self.priority = priority
        self.arrival = arrival
        self.state = SequenceState.WAITING
        self.memory = prompt_tokens + max_tokens
        self.cached = 0
        self.prefill_left = prompt_tokens + offset
        self.output: queue.LightQueue = queue.LightQueue()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: priority, then arrival."""
        return self.priority, self.arrival

    def next_token(self) -> str:
        """Generates the next token."""
        token = _text.token_at(self.digest, self.offset)
        self.offset += 1
        return token
