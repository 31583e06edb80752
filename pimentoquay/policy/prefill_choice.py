"""Choice of the engine for a prefill: a prefill engine, or the decode engine of the stream.

Load pattern: bursts of twice the mean rate while there are few prefill engines, some of which have
been lost. Prompts queue there although memory is already reserved for their streams. A short prompt
that would be queued for too long is prefilled by its decode engine, at half the speed. A long
prompt is not, because all streams on that engine pause during the prefill and would become late
together.

Failure pattern: no prefill engine is left, or none is reachable from a data centre that is cut off,
until another engine has changed its stage. Long prompts are then sent to few of the decode engines,
so that they disturb as few streams as possible.
"""

from collections.abc import Sequence

from pimentoquay.policy.engine_preference import Placer, sort_by_preference
from pimentoquay.policy.engine_speeds import INITIAL_TOKENS_PER_SECOND, EngineSpeeds
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.token_ledger import TokenLedger

__all__ = [
    "DECODE_ONLY_PAUSE_SHARE",
    "PrefillSpeed",
    "can_prefill_on_decode_engine",
    "choose_prefill_engine",
    "select_decode_engines",
]

FASTER_SAMPLE_WEIGHT, SLOWER_SAMPLE_WEIGHT = 0.3, 0.02
"""Weights of a new sample in the average speed.

Slower samples have a low weight because their prefills may have been queued.
"""

MAX_QUEUE_SECONDS = 0.4
"""Queueing time beyond which a short prompt is prefilled by its decode engine.

It is twice the time that a decode engine needs for a prompt of 5,000 tokens.
"""

SIMILAR_QUEUE_TOKENS = 10_000
"""Size of a step of queue lengths of a VM that lacks the loads of others, in tokens.

Queues in the same step count as equally long. A step is the size of two prompts of 5,000 tokens.
"""

DECODE_ONLY_PAUSE_SHARE = 0.75
"""Value used instead of ``MAX_PAUSE_SHARE`` while no prefill engine can be used.

Streams need the remaining quarter, about 0.08 s, for an event of their own.
"""

ENGINES_PER_LONG_PROMPT_ENGINE = 3
"""Number of decode engines per engine that takes the long prompts if no prefill engine is usable.

Two in five prompts are so long that their prefill would make the streams on a decode engine late.
"""

DECODE_PREFILL_SLOWDOWN = 2.0
"""Factor by which a prefill takes longer on a decode engine than on a prefill engine."""

MAX_PAUSE_SHARE = 0.5
"""Maximum duration of a prefill on a decode engine as a share of a stream's longest allowed pause.

The rest is needed for the streams' own tokens, and for a second prompt that follows soon.
"""


class PrefillSpeed:
    """Estimated speed of a prefill on an otherwise idle prefill engine, in tokens per second."""

    def __init__(self) -> None:
        self.tokens_per_second = INITIAL_TOKENS_PER_SECOND

    def record(self, tokens: int, seconds: float) -> None:
        """Add a prefill to the estimate; ``seconds`` includes the time in the engine's queue."""
        if tokens <= 0 or seconds <= 0:
            return
        measured = tokens / seconds
        weight = FASTER_SAMPLE_WEIGHT if measured > self.tokens_per_second else SLOWER_SAMPLE_WEIGHT
        self.tokens_per_second += weight * (measured - self.tokens_per_second)

    def seconds(self, tokens: int) -> float:
        """Return the estimated duration of a prefill of a number of tokens, in seconds."""
        return tokens / self.tokens_per_second


def can_prefill_on_decode_engine(
    tokens: int, speed: PrefillSpeed, gap_seconds: float, pause_share: float = MAX_PAUSE_SHARE
) -> bool:
    """Return whether a decode engine can prefill a prompt without making its streams late.

    Load pattern: prompts that have to be prefilled by engines on which streams are running.

    Parameters
    ----------
    tokens
        Length of the prompt.
    speed
        Estimated speed of prefill engines.
    gap_seconds
        Longest allowed pause between two events of a stream.
    pause_share
        Maximum duration of the prefill as a share of ``gap_seconds``.
    """
    return speed.seconds(tokens) * DECODE_PREFILL_SLOWDOWN <= pause_share * gap_seconds


def select_decode_engines(
    engines: Sequence[EngineEntry], is_short: bool
) -> tuple[Sequence[EngineEntry], Sequence[EngineEntry]]:
    """Return the decode engines for a prompt if no prefill engine can be used.

    Failure pattern: all prefill engines are lost. Long prompts are sent to a part of the decode
    engines only, so that the streams on the others do not pause for them. Short prompts are sent to
    the other engines, and to that part if these are full.

    Returns
    -------
    tuple
        The engines to try first, and those to try if all of the first are full.
    """
    ordered = sorted(engines, key=lambda engine: engine.id)
    long_prompt_engines = ordered[: max(1, len(ordered) // ENGINES_PER_LONG_PROMPT_ENGINE)]
    others = ordered[len(long_prompt_engines) :]
    if not others:
        return long_prompt_engines, ()
    return (others, long_prompt_engines) if is_short else (long_prompt_engines, ())


def choose_prefill_engine(
    engines: Sequence[EngineEntry],
    queued: TokenLedger,
    speeds: EngineSpeeds,
    placer: Placer,
    is_decode_engine_allowed: bool,
    tokens: int,
    now: float,
) -> EngineEntry | None:
    """Return the prefill engine that is done first, or ``None`` if all queues are too long.

    Load pattern: bursts while there are few prefill engines, which may differ in speed. With
    ``None``, the prompt is prefilled by its decode engine. Among engines of equal speed, the one
    with the shortest queue is chosen.

    Parameters
    ----------
    engines
        Prefill engines that can be used.
    queued
        Prompts that all gateways have sent to each engine, in tokens.
    speeds
        Estimated speeds of the engines.
    placer
        VM that places the request, with the data centre of the decode engine. Prefill engines of
        that data centre are preferred among equally loaded ones, because transferring a KV cache
        between data centres takes longer.
    is_decode_engine_allowed
        Whether the prompt may be prefilled by its decode engine instead.
    tokens
        Length of the prompt.
    now
        Current time in seconds.
    """
    if not engines:
        return None
    factor_by_id = {each.id: speeds.factor(each.start, now) for each in engines}
    # Additional work before the prompt is done, in tokens of an engine of median speed.
    load_by_id = {
        each.id: round((queued.held(each.id) + tokens) / factor_by_id[each.id]) - tokens
        for each in engines
    }
    if placer.lacks_peer_loads:
        # All such VMs would choose the fastest engine; they use engines in proportion instead.
        load_by_id = {
            each.id: round(queued.held(each.id) / factor_by_id[each.id]) for each in engines
        }
    chosen = sort_by_preference(
        engines, load_by_id, SIMILAR_QUEUE_TOKENS, placer, weight_by_id=factor_by_id
    )[0]
    if not is_decode_engine_allowed:
        return chosen
    is_queue_long = speeds.seconds(chosen.start, queued.held(chosen.id), now) > MAX_QUEUE_SECONDS
    return None if is_queue_long else chosen
