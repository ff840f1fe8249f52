"""Where prompt prefixes are probably cached."""

import collections
from collections.abc import Sequence

BLOCK_TOKENS = 1024
MAX_BLOCKS = 20_000  # per endpoint
ENTRY_LIFETIME_MS = 600_000.0

_Blocks = collections.OrderedDict[int, float]


class PrefixIndex:
    """Mirrors the prefix caches of endpoints; a hint that decays.

    Cache events are late and have gaps. The index therefore follows what
    endpoints must do: they store the blocks of every prompt and evict the
    least recently used ones when running requests need the memory. Entries
    expire and are corrected by the hits that answers report.

    Args:
        max_blocks: Bound on entries per endpoint; the oldest are evicted.

    Example:
        >>> index = PrefixIndex()
        >>> index.add("e", [11, 22], now_ms=0.0)
        >>> index.match("e", [11, 22, 33], now_ms=1.0)
        2048
        >>> index.shrink("e", 1024)
        >>> index.match("e", [11, 22, 33], now_ms=1.0)
        0
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self.max_blocks = max_blocks
        self._endpoints: dict[str, _Blocks] = {}

    def add(
        self, endpoint_id: str, hashes: Sequence[int], now_ms: float
    ) -> None:
        """Notes that an endpoint caches the blocks."""
        blocks = self._endpoints.setdefault(
            endpoint_id, collections.OrderedDict()
        )
        for block in hashes:
            blocks[block] = now_ms
            blocks.move_to_end(block)
        self.shrink(endpoint_id, self.max_blocks * BLOCK_TOKENS)

    def shrink(self, endpoint_id: str, limit_tokens: int) -> None:
        """Evicts the oldest blocks until at most `limit_tokens` are held."""
        blocks = self._endpoints.get(endpoint_id)
        if blocks is None:
            return
        limit = max(0, limit_tokens) // BLOCK_TOKENS
        while len(blocks) > limit:
            blocks.popitem(last=False)

    def correct(
        self,
        endpoint_id: str,
        hashes: Sequence[int],
        cached_tokens: int,
        now_ms: float,
    ) -> None:
        """Replaces the expectation by the hit that an answer reported.

        After the answer the endpoint holds all blocks; a smaller hit than
        expected shows that it evicts, so the entries are dated back.
        """
        hit = cached_tokens // BLOCK_TOKENS
        self.add(endpoint_id, hashes[:hit], now_ms)
        missed = hashes[hit:]
        self.add(endpoint_id, missed, now_ms - ENTRY_LIFETIME_MS / 2)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drops all entries of an endpoint."""
        self._endpoints.pop(endpoint_id, None)

    def match(
        self, endpoint_id: str, hashes: Sequence[int], now_ms: float
    ) -> int:
        """Returns the expected hit, in tokens."""
        blocks = self._endpoints.get(endpoint_id)
        if not blocks:
            return 0
        hit = 0
        for block in hashes:
            noted_ms = blocks.get(block)
            if noted_ms is None or now_ms - noted_ms > ENTRY_LIFETIME_MS:
                break
            hit += 1
        return hit * BLOCK_TOKENS
