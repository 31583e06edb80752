"""Chained hashes of the blocks of a prompt.

The scheduler compares the hashes of a request with the cache events of engines, and the stand-in
engine uses them as keys of its prefix cache, so both have to compute them with this function.
"""

import hashlib

__all__ = ["BLOCK_BYTES", "BLOCK_TOKENS", "MAX_BLOCKS", "prefix_hashes"]

BLOCK_TOKENS = 64
"""Number of tokens in a block of a prompt."""

BLOCK_BYTES = 256
"""Number of UTF-8 bytes in a block of a prompt."""

MAX_BLOCKS = 256
"""Maximum number of hashed blocks of a prompt; its rest always counts as not cached."""

_HASH_BYTES = 8


def prefix_hashes(
    prompt: str, block_bytes: int = BLOCK_BYTES, max_blocks: int = MAX_BLOCKS
) -> tuple[int, ...]:
    """Return one hash for each complete block of a prompt, each covering all blocks before it.

    Example
    -------
    ::

        first = prefix_hashes("a" * 512)
        second = prefix_hashes("a" * 256 + "b" * 256)
        assert first[0] == second[0] and first[1] != second[1]
    """
    if block_bytes <= 0:
        raise ValueError(f"block_bytes must be positive, got {block_bytes}")
    data = prompt[: block_bytes * max_blocks].encode("utf-8", "surrogatepass")
    count = min(len(data) // block_bytes, max_blocks)
    hashes = []
    previous = b""
    for index in range(count):
        block = data[index * block_bytes : (index + 1) * block_bytes]
        previous = hashlib.blake2b(previous + block, digest_size=_HASH_BYTES).digest()
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)
