"""Token counts and deterministic answers of the stand-in engine.

Each token contains its position and a byte of the prompt's digest, so that a token that is
missing, repeated, out of order or from another answer can be detected in the answer's text.
"""

import hashlib

__all__ = ["answer_text", "answer_tokens", "count_tokens"]

BYTES_PER_TOKEN = 4
"""Number of UTF-8 bytes of a prompt that count as one token."""

_SHORT_ANSWER_DIGEST_BOUND = 16
"""Answers whose digest starts with a byte below this bound have any length up to the maximum.

These are about one answer in 16; others have at least three quarters of the maximum length.
"""


def count_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, at least 1."""
    size = len(prompt.encode("utf-8", "surrogatepass"))
    return max(1, -(-size // BYTES_PER_TOKEN))


def answer_tokens(prompt: str, max_tokens: int) -> tuple[str, ...]:
    """Return the answer to a prompt as 1 to ``max_tokens`` tokens."""
    if max_tokens < 1:
        raise ValueError(f"max_tokens must be at least 1, got {max_tokens}")
    data = prompt.encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(data, digest_size=16).digest()
    spread = int.from_bytes(digest[2:6], "big")
    if digest[0] < _SHORT_ANSWER_DIGEST_BOUND:
        length = 1 + spread % max_tokens
    else:
        length = max_tokens - spread % (max_tokens // 4 + 1)
    return tuple(f"{digest[index & 15]:02x}{index:x} " for index in range(length))


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the complete text of the answer to a prompt."""
    return "".join(answer_tokens(prompt, max_tokens))
