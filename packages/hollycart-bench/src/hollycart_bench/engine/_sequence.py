"""Scheduling state of one request in the engine stand-in."""

import enum

from eventlet import queue

from hollycart_bench.engine import _text


class SequenceState(enum.Enum):
    """Scheduling state of a sequence; all but WAITING hold memory."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    RESERVED = "reserved"


class Sequence:
    """One request, or one share of a prompt split over several engines.

    Args:
        attempt_id: Id given by the sender of the request.
        digest: Digest of the prompt, which determines the answer.
        blocks: Chained hashes of the prompt's blocks, to look up in the prefix
            cache.
        prompt_tokens: Prompt tokens to process at this engine.
        max_tokens: Length of the answer, in tokens; zero for a prompt share.
        offset: Index of the first token to generate. The tokens before it are
            processed in prefill, as the answer is resumed.
        priority: Scheduling priority; zero is the most urgent.
        arrival_number: Position in the order of arrival.

    Attributes:
        memory: KV-cache memory needed, in tokens.
        cached: Prompt tokens found in the prefix cache.
        prefill_left: Tokens that prefill has still to process.
        output: Generated tokens as (token, offset, whether it is the last);
            None if the sequence was cancelled.
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
        arrival_number: int,
    ) -> None:
        self.attempt_id = attempt_id
        self.digest = digest
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.offset = offset
        self.priority = priority
        self.arrival_number = arrival_number
        self.state = SequenceState.WAITING
        self.memory = prompt_tokens + max_tokens
        self.cached = 0
        self.prefill_left = prompt_tokens + offset
        self.output: queue.LightQueue = queue.LightQueue()

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key: priority, then arrival."""
        return self.priority, self.arrival_number

    def next_token(self) -> str:
        """Generates the next token."""
        token = _text.token_at(self.digest, self.offset)
        self.offset += 1
        return token
