"""Least recently used cache of prompt blocks."""

import collections
from collections.abc import Sequence

BLOCK_TOKENS = 1024


class PrefixCache:
    """Caches blocks in memory that no sequence needs.

    Attributes:
        events: Blocks stored and evicted, in order.
    """

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[tuple[int, str, int]] = (
            collections.deque(maxlen=10_000)
        )
        self._event = 0

    @property
    def tokens(self) -> int:
        """Memory used, in tokens."""
        return len(self._blocks) * BLOCK_TOKENS

    def match(self, blocks: Sequence[int]) -> int:
        """Returns the length of the cached prefix, in tokens."""
        hit = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hit += 1
        return hit * BLOCK_TOKENS

    def store(self, blocks: Sequence[int]) -> None:
        """Adds blocks."""
        for block in blocks:
            if block not in self._blocks:
                self._note("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)

    def shrink(self, limit_tokens: int) -> None:
        """Evicts the oldest blocks until at most `limit_tokens` are used."""
        while self._blocks and self.tokens > max(0, limit_tokens):
            block, _ = self._blocks.popitem(last=False)
            self._note("evicted", block)

    def _note(self, kind: str, block: int) -> None:
        self._event += 1
        self.events.append((self._event, kind, block))
