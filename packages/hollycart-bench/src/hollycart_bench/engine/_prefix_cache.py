"""Prefix cache of prompt blocks with LRU eviction."""

import collections
from collections.abc import Sequence

BLOCK_TOKENS = 1024


class PrefixCache:
    """Caches prompt blocks in memory that no sequence needs.

    Attributes:
        events: The last 10,000 events in order, each as (number, `stored` or
            `evicted`, block hash).
    """

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[tuple[int, str, int]] = (
            collections.deque(maxlen=10_000)
        )
        self._last_event_number = 0

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
        """Adds blocks and marks them as most recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)

    def shrink(self, limit_tokens: int) -> None:
        """Evicts least recently used blocks down to `limit_tokens`."""
        while self._blocks and self.tokens > max(0, limit_tokens):
            block, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", block)

    def _record_event(self, kind: str, block: int) -> None:
        self._last_event_number += 1
        self.events.append((self._last_event_number, kind, block))
