"""Forecast of the peak memory use of the requests on one engine.

Load pattern: long answers that all grow by one token per step, while others end and release their
memory. Reserving the final size of every answer leaves a fifth of the memory unused at any moment.
The memory that is really needed is the highest total over time, which is reached just before one
of the answers ends.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["GrowingRun", "MemoryNeed", "peak_tokens", "remaining_tokens", "round_up_to_blocks"]

BLOCK_TOKENS = 16
"""Number of tokens in a block, the unit in which engines allocate memory."""

MIN_REMAINING_SHARE = 0.15
"""Minimum expected growth of an answer, as a share of its present length.

It applies to answers near or beyond their estimated length. From there on, answers end at a
constant rate, so further growth has to be expected.
"""

HELD_OUTPUT_SHARE = 0.5
"""Share of the expected output for which memory is held on the engine from the start.

The engine preempts only requests that have outgrown their held memory, and other requests cannot
use memory that is held but unused.
"""


@dataclass(frozen=True)
class GrowingRun:
    """A running request: tokens in the engine's memory now, and expected further tokens."""

    tokens: int
    remaining: int

    def after(self, grown_tokens: int) -> "GrowingRun":
        """Return the run after it has grown by a number of tokens, at most by ``remaining``.

        A run that has reached its expected length is not assumed to have ended.
        """
        grown_tokens = min(grown_tokens, self.remaining)
        return GrowingRun(self.tokens + grown_tokens, self.remaining - grown_tokens)


@dataclass(frozen=True)
class MemoryNeed:
    """Memory that a request needs on an engine, in tokens.

    ``begun`` is the length of the answer so far if the request is resumed on another engine.
    """

    prompt: int
    expected_output: int
    max_output: int
    begun: int = 0

    @property
    def tokens(self) -> int:
        """Expected memory at the end of the request."""
        return round_up_to_blocks(self.prompt + max(self.begun, self.expected_output))

    @property
    def mean_tokens(self) -> int:
        """Expected memory averaged over the duration of the request."""
        return (self.prompt + self.begun + self.tokens) // 2

    @property
    def held(self) -> int:
        """Memory that is held on the engine from the start of the request."""
        not_generated = max(0, self.expected_output - self.begun)
        return round_up_to_blocks(self.prompt + self.begun + int(not_generated * HELD_OUTPUT_SHARE))

    def run_at(self, generated: int) -> GrowingRun:
        """Return the running request when its answer has ``generated`` tokens."""
        remaining = remaining_tokens(self.expected_output, generated, self.max_output)
        return GrowingRun(self.prompt + generated, remaining)


def round_up_to_blocks(tokens: int) -> int:
    """Return a number of tokens rounded up to whole blocks."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def remaining_tokens(expected_output: int, generated: int, max_output: int) -> int:
    """Return the number of tokens by which an answer is expected to grow.

    Parameters
    ----------
    expected_output
        Length that was expected at the start, in tokens.
    generated
        Present length in tokens.
    max_output
        Maximum length in tokens.
    """
    min_remaining = int(generated * MIN_REMAINING_SHARE)
    return max(0, min(max_output - generated, max(expected_output - generated, min_remaining)))


def peak_tokens(runs: Iterable[GrowingRun]) -> int:
    """Return the peak of the total memory of runs that grow at the same rate, in tokens.

    Load pattern: long answers that grow together, each until it ends and releases its memory.

    Example
    -------
    >>> peak_tokens([GrowingRun(10, 5), GrowingRun(10, 20)])
    30
    """
    longest_first = sorted(runs, key=lambda run: run.remaining, reverse=True)
    peak = total = 0
    for count, run in enumerate(longest_first, start=1):
        total += run.tokens
        peak = max(peak, total + count * run.remaining)
    return peak
