"""Which engine reads a prompt: a prefill engine, or the decode engine that runs the stream.

Load pattern: bursts of twice the mean before few prefill engines, of which some have been lost.
Prompts queue there while memory is already reserved for their streams. A prompt that would queue
for longer than its decode engine takes to read it is read there, at half the speed.
"""

from collections.abc import Sequence

from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.token_ledger import TokenLedger

__all__ = ["PrefillSpeed", "choose_prefill_engine"]

ASSUMED_TOKENS_PER_SECOND = 50_000.0
"""The speed of a prefill before any was seen; the users' sheets say 55 a millisecond."""

TOWARDS_FAST, TOWARDS_SLOW = 0.3, 0.02
"""The weights of a prefill that was faster, and of one that was slower and may have queued."""

LONGEST_QUEUE_SECONDS = 0.4
"""The queue at which a prompt is read by its decode engine: twice what that takes for 5,000 tokens,
because it also holds up the streams that run there."""


class PrefillSpeed:
    """How fast engines read prompts when nothing else keeps them busy."""

    def __init__(self) -> None:
        self.tokens_per_second = ASSUMED_TOKENS_PER_SECOND

    def note(self, tokens: int, seconds: float) -> None:
        """Count a prefill, queueing included."""
        if tokens <= 0 or seconds <= 0:
            return
        seen = tokens / seconds
        weight = TOWARDS_FAST if seen > self.tokens_per_second else TOWARDS_SLOW
        self.tokens_per_second += weight * (seen - self.tokens_per_second)

    def seconds(self, tokens: int) -> float:
        """Return the time that reading so many tokens takes."""
        return tokens / self.tokens_per_second


def choose_prefill_engine(
    engines: Sequence[EngineEntry], queued: TokenLedger, speed: PrefillSpeed, data_centre: str
) -> EngineEntry | None:
    """Return the prefill engine with the shortest queue, or ``None`` if all are too long.

    Parameters
    ----------
    engines
        The prefill engines that may be asked.
    queued
        The prompts that all gateways have sent to each of them, in tokens.
    speed
        How fast they read.
    data_centre
        That of the decode engine, which is preferred among equals: a KV cache costs more to move
        between data centres.
    """
    chosen = min(
        engines,
        key=lambda each: (queued.held(each.id), each.data_centre != data_centre, each.id),
        default=None,
    )
    if chosen is None or speed.seconds(queued.held(chosen.id)) > LONGEST_QUEUE_SECONDS:
        return None
    return chosen
