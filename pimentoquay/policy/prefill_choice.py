"""Which engine reads a prompt: a prefill engine, or the decode engine that runs the stream.

Load pattern: bursts of twice the mean before few prefill engines, of which some have been lost.
Prompts queue there while memory is already reserved for their streams. A short prompt that would
queue for long is read by its decode engine, at half the speed. A long one is not: all the streams
that run there would pause for as long as that takes, and be late together.

Failure pattern: no prefill engine is left, or none is in reach of a data centre that is cut off,
until another has changed its stage. Then long prompts meet as few streams as can be.
"""

from collections.abc import Sequence

from pimentoquay.policy.engine_preference import Placer, by_preference
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.token_ledger import TokenLedger

__all__ = [
    "ALONE_PAUSE_SHARE",
    "PrefillSpeed",
    "choose_prefill_engine",
    "engines_without_prefill",
    "may_read_at_decode_engine",
]

ASSUMED_TOKENS_PER_SECOND = 50_000.0
"""The speed of a prefill before any was seen; the users' sheets say 55 a millisecond."""

TOWARDS_FAST, TOWARDS_SLOW = 0.3, 0.02
"""The weights of a prefill that was faster, and of one that was slower and may have queued."""

LONGEST_QUEUE_SECONDS = 0.4
"""The queue at which a short prompt is read by its decode engine: twice what that takes for 5,000
tokens."""

ALIKE_TOKENS = 10_000
"""The difference of two queues that counts as none where others' prompts are heard of late; two
prompts of the users' sheets."""

ALONE_PAUSE_SHARE = 0.75
"""The part of the longest pause that reading a prompt may take where decode engines read them all:
streams need a quarter of it for an event of their own, 0.08 s on the users' sheets."""

READERS_OF = 3
"""One decode engine in so many reads the long prompts where no prefill engine can be used; two in
five prompts of the users' sheets are too long to be read beside streams in time."""

DECODE_READ_SLOWDOWN = 2.0
"""How much longer a decode engine takes to read a prompt; the platform's word."""

PAUSE_SHARE = 0.5
"""The part of the longest pause in time that reading a prompt may take at a decode engine; streams
there need the rest for their own tokens, and for a second prompt that comes soon."""


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


def may_read_at_decode_engine(
    tokens: int, speed: PrefillSpeed, gap_seconds: float, pause_share: float = PAUSE_SHARE
) -> bool:
    """Return whether a decode engine can read a prompt without making its streams late."""
    return speed.seconds(tokens) * DECODE_READ_SLOWDOWN <= pause_share * gap_seconds


def engines_without_prefill(
    engines: Sequence[EngineEntry], is_short: bool
) -> tuple[Sequence[EngineEntry], Sequence[EngineEntry]]:
    """Return the decode engines that a prompt may go to where no prefill engine can be used.

    Long prompts share a part of the engines, so that the streams of the others do not pause for
    them. Short ones go to the others, and to that part only if these are full: the engines to try
    first, and then.
    """
    ordered = sorted(engines, key=lambda engine: engine.id)
    readers = ordered[: max(1, len(ordered) // READERS_OF)]
    others = ordered[len(readers) :]
    if not others:
        return readers, ()
    return (others, readers) if is_short else (readers, ())


def choose_prefill_engine(
    engines: Sequence[EngineEntry],
    queued: TokenLedger,
    speed: PrefillSpeed,
    placer: Placer,
    may_overflow: bool,
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
    placer
        Who chooses, in the data centre of the decode engine, which is preferred among equals: a KV
        cache costs more to move between data centres.
    may_overflow
        Whether the prompt may be read by its decode engine instead.
    """
    if not engines:
        return None
    queue_by_id = {each.id: queued.held(each.id) for each in engines}
    chosen = by_preference(engines, queue_by_id, ALIKE_TOKENS, placer)[0]
    if not may_overflow:
        return chosen
    is_long = speed.seconds(queued.held(chosen.id)) > LONGEST_QUEUE_SECONDS
    return None if is_long else chosen
