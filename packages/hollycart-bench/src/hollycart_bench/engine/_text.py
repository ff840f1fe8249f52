"""Deterministic answers, so that a client can verify every token."""

from collections.abc import Iterator

import xxhash

BLOCK_BYTES = 4096
TOKEN_BYTES = 4  # bytes of prompt text per token


def prompt_tokens(prompt: bytes) -> int:
    """Returns the length of a prompt, in tokens."""
    return max(1, -(-len(prompt) // TOKEN_BYTES))


def prompt_digest(prompt: bytes) -> str:
    """Returns the digest that determines the answer to a prompt."""
    return xxhash.xxh64_hexdigest(prompt)


def token_at(digest: str, offset: int) -> str:
    """Returns one token of the answer.

    Example:
        >>> token_at("00", 3) == token_at("00", 3) != token_at("00", 4)
        True
    """
    return xxhash.xxh32_hexdigest(f"{digest}:{offset}".encode())[:5] + " "


def block_hashes(prompt: bytes) -> Iterator[int]:
    """Yields the chained hash of each whole block of a prompt."""
    chained = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        chained = xxhash.xxh64_intdigest(block, seed=chained)
        yield chained
