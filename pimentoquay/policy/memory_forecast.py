"""How much memory the requests of one engine will need at their common peak.

Load pattern: long answers that grow by a token a step, all at the same pace, while others end and
give their memory back. Reserving what each will need at its end leaves a fifth of the memory unused
at any moment; what counts is the highest total of all, which comes right before one of them ends.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["GrowingRun", "MemoryNeed", "in_blocks", "peak_tokens", "remaining_tokens"]

BLOCK_TOKENS = 16
"""Engines give out memory in blocks of so many tokens."""

LEAST_REMAINING_SHARE = 0.15
"""What an answer that has outgrown its estimate is taken to grow yet, as a share of what it has;
answers end at an even rate from there on."""


HELD_OUTPUT_SHARE = 0.5
"""The part of an expected answer for which memory is held from the start. The engine preempts a
request only beyond its hold, and what is held and not used serves nobody else."""


@dataclass(frozen=True)
class GrowingRun:
    """A request in an engine's memory: tokens now, and those still to come."""

    tokens: int
    remaining: int

    def after(self, grown: int) -> "GrowingRun":
        """Return the run once it has grown by so many tokens; it is not taken to have ended."""
        grown = min(grown, self.remaining)
        return GrowingRun(self.tokens + grown, self.remaining - grown)


@dataclass(frozen=True)
class MemoryNeed:
    """What a request needs of an engine's memory, in tokens.

    ``begun`` is what its answer has already, where it goes on elsewhere.
    """

    prompt: int
    expected_output: int
    most_output: int
    begun: int = 0

    @property
    def tokens(self) -> int:
        """The memory expected at its end."""
        return in_blocks(self.prompt + max(self.begun, self.expected_output))

    @property
    def mean_tokens(self) -> int:
        """The memory expected in the mean over its run."""
        return (self.prompt + self.begun + self.tokens) // 2

    @property
    def held(self) -> int:
        """The memory to hold from the start."""
        rest = max(0, self.expected_output - self.begun)
        return in_blocks(self.prompt + self.begun + int(rest * HELD_OUTPUT_SHARE))

    def run_at(self, made: int) -> GrowingRun:
        """Return the request once its answer has so many tokens."""
        remaining = remaining_tokens(self.expected_output, made, self.most_output)
        return GrowingRun(self.prompt + made, remaining)


def in_blocks(tokens: int) -> int:
    """Return the tokens of the blocks that so many tokens take."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def remaining_tokens(expected_output: int, made: int, most: int) -> int:
    """Return the tokens that an answer is expected to grow yet.

    Parameters
    ----------
    expected_output
        The tokens that were expected at its start.
    made
        Those that it has.
    most
        The most that it may have.
    """
    least = int(made * LEAST_REMAINING_SHARE)
    return max(0, min(most - made, max(expected_output - made, least)))


def peak_tokens(runs: Iterable[GrowingRun]) -> int:
    """Return the highest total of runs that grow at one pace until each ends.

    Example
    -------
    >>> peak_tokens([GrowingRun(10, 5), GrowingRun(10, 20)])
    30
    """
    by_end = sorted(runs, key=lambda run: run.remaining, reverse=True)
    peak = total = 0
    for count, run in enumerate(by_end, start=1):
        total += run.tokens
        peak = max(peak, total + count * run.remaining)
    return peak
