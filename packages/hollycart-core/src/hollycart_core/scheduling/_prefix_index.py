"""Where prompt prefixes are probably cached."""

import collections
from collections.abc import Sequence

BLOCK_TOKENS = 1024
MAX_ENTRIES = 200_000
ENTRY_LIFETIME_MS = 600_000.0


class PrefixIndex:
    """Maps prefix blocks to endpoints; a hint that decays.

    Cache events are late and have gaps, so entries expire and are corrected
    by the hits that answers report.

    Args:
        max_entries: Bound on entries; the oldest are evicted.

    Example:
        >>> index = PrefixIndex()
        >>> index.add("e", [11, 22], now_ms=0.0)
        >>> index.match("e", [11, 22, 33], now_ms=1.0)
        2048
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self._entries: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )

    def add(
        self, endpoint_id: str, hashes: Sequence[int], now_ms: float
    ) -> None:
        """Notes that an endpoint caches the blocks."""
        for block in hashes:
            self._entries[endpoint_id, block] = now_ms
            self._entries.move_to_end((endpoint_id, block))
        while len(self._entries) > self.max_entries:
            self._entries.popitem(last=False)

    def discard(self, endpoint_id: str, hashes: Sequence[int]) -> None:
        """Notes that an endpoint no longer caches the blocks."""
        for block in hashes:
            self._entries.pop((endpoint_id, block), None)

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
        for key in [k for k in self._entries if k[0] == endpoint_id]:
            del self._entries[key]

    def match(
        self, endpoint_id: str, hashes: Sequence[int], now_ms: float
    ) -> int:
        """Returns the expected hit, in tokens."""
        hit = 0
        for block in hashes:
            noted_ms = self._entries.get((endpoint_id, block))
            if noted_ms is None or now_ms - noted_ms > ENTRY_LIFETIME_MS:
                break
            hit += 1
        return hit * BLOCK_TOKENS
