"""Estimates which endpoints cache the prefix of a prompt."""

import collections
from collections.abc import Sequence

BLOCK_TOKENS = 1024
MAX_BLOCKS_PER_ENDPOINT = 20_000
ENTRY_TTL_MS = 600_000.0

_BlockTimes = collections.OrderedDict[int, float]


class PrefixIndex:
    """Approximate index of the prefix caches of the endpoints.

    Cache events of endpoints arrive late and incompletely, so the index does
    not use them. It models the caches instead: an endpoint stores the blocks
    of every prompt and evicts the least recently used blocks when running
    requests need the memory. Entries expire, and the cache hits reported with
    responses correct them.

    Args:
        max_blocks: Upper bound on entries per endpoint. The least recently
            used entries are evicted first.

    Example:
        >>> index = PrefixIndex()
        >>> index.add("e", [11, 22], now_ms=0.0)
        >>> index.match("e", [11, 22, 33], now_ms=1.0)
        2048
        >>> index.shrink("e", 1024)
        >>> index.match("e", [11, 22, 33], now_ms=1.0)
        0
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS_PER_ENDPOINT) -> None:
        self.max_blocks = max_blocks
        self._endpoints: dict[str, _BlockTimes] = {}

    def add(
        self, endpoint_id: str, hashes: Sequence[int], now_ms: float
    ) -> None:
        """Records that an endpoint caches the blocks."""
        blocks = self._endpoints.setdefault(
            endpoint_id, collections.OrderedDict()
        )
        for block_hash in hashes:
            blocks[block_hash] = now_ms
            blocks.move_to_end(block_hash)
        self.shrink(endpoint_id, self.max_blocks * BLOCK_TOKENS)

    def shrink(self, endpoint_id: str, limit_tokens: int) -> None:
        """Evicts least recently used blocks beyond `limit_tokens`."""
        blocks = self._endpoints.get(endpoint_id)
        if blocks is None:
            return
        max_count = max(0, limit_tokens) // BLOCK_TOKENS
        while len(blocks) > max_count:
            blocks.popitem(last=False)

    def record_hit(
        self,
        endpoint_id: str,
        hashes: Sequence[int],
        cached_tokens: int,
        now_ms: float,
    ) -> None:
        """Corrects the entries by the cache hit reported with a response.

        After the response the endpoint caches all blocks of the prompt. Blocks
        that missed the cache show that the endpoint evicts, so these entries
        start with half of their lifetime used up.
        """
        hit_blocks = cached_tokens // BLOCK_TOKENS
        self.add(endpoint_id, hashes[:hit_blocks], now_ms)
        missed = hashes[hit_blocks:]
        self.add(endpoint_id, missed, now_ms - ENTRY_TTL_MS / 2)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Removes all entries of an endpoint."""
        self._endpoints.pop(endpoint_id, None)

    def match(
        self, endpoint_id: str, hashes: Sequence[int], now_ms: float
    ) -> int:
        """Returns the expected length of the cached prefix, in tokens."""
        blocks = self._endpoints.get(endpoint_id)
        if not blocks:
            return 0
        hit_blocks = 0
        for block_hash in hashes:
            recorded_ms = blocks.get(block_hash)
            if recorded_ms is None or now_ms - recorded_ms > ENTRY_TTL_MS:
                break
            hit_blocks += 1
        return hit_blocks * BLOCK_TOKENS
