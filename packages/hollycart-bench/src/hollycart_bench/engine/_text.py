"""Deterministic answer texts, so that a client can verify every token."""

from collections.abc import Iterator

import xxhash

BLOCK_BYTES = 4096
TOKEN_BYTES = 4  # bytes of prompt text per token


def prompt_tokens(prompt: bytes) -> int:
    """Returns the length of a prompt in tokens, at least one."""
    return max(1, -(-len(prompt) // TOKEN_BYTES))


def prompt_digest(prompt: bytes) -> str:
    """Returns the digest that determines the answer to a prompt."""
    return xxhash.xxh64_hexdigest(prompt)


def token_at(digest: str, offset: int) -> str:
    """Returns the token of the answer at `offset`.

    Example:
        >>> token_at("00", 3) == token_at("00", 3) != token_at("00", 4)
        True
    """
    return xxhash.xxh32_hexdigest(f"{digest}:{offset}".encode())[:5] + " "


def block_hashes(prompt: bytes) -> Iterator[int]:
    """Yields a hash for each complete block of a prompt.

    Each hash is seeded with that of the block before, so equal hashes mean
    equal prefixes.
    """
    chain_hash = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        chain_hash = xxhash.xxh64_intdigest(block, seed=chain_hash)
        yield chain_hash
