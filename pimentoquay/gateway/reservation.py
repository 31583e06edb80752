"""A reservation of a decode engine's memory, and the sizes by which it is made."""

from dataclasses import dataclass

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.job import Job
from pimentoquay.kernel.logs import logger
from pimentoquay.policy.fleet import EngineEntry, TokenMemory
from pimentoquay.policy.memory_forecast import GrowingRun, MemoryNeed

__all__ = ["Reservation", "log_reserved", "run_of", "usable_tokens"]

USABLE_SHARE = 0.85
"""Share of an engine's memory that the forecast peak of its streams may fill. The rest is left free
for answers that outgrow their forecast: if memory runs out, the engine preempts streams that have
outgrown the memory held for them. docs/design/platform.md compares other shares."""


@dataclass(eq=False)
class Reservation:
    """Memory of one engine that is reserved for one stream.

    ``hold`` is the engine's id of the reservation, which is used up by the request that names it.
    ``usable_tokens`` is the part of the engine's memory that the forecast may fill.
    ``ledger_key`` identifies the stream in the run ledger. ``prefill_engine`` is the engine that is
    to prefill the prompt, or empty if it has not been chosen. ``is_granted`` is whether a
    coordinator has granted the engine and counts the request against its limit.
    """

    engine: EngineEntry
    link: EngineLink
    need: MemoryNeed
    usable_tokens: int
    ledger_key: int
    hold: str
    reserved_at: float
    prefill_engine: str = ""
    is_hold_used: bool = False
    is_granted: bool = False

    def record_hold_used(self) -> None:
        """Record that a request was written which names the hold."""
        self.is_hold_used = True


def log_reserved(job: Job, engine: str, tokens: int, need: MemoryNeed, used: int) -> None:
    """Log that an engine holds memory for a request; sizes are in tokens."""
    logger.bind(
        request=job.caller.id,
        waited=f"{job.age():.3f}",
        engine=engine,
        tokens=tokens,
        expected=need.tokens,
        used=used,
    ).info("memory reserved")


def usable_tokens(memory: TokenMemory) -> int:
    """Return the tokens that the forecast peak of an engine's streams may fill."""
    return int(memory.capacity_tokens * USABLE_SHARE)


def run_of(need: MemoryNeed, usable: int) -> GrowingRun:
    """Return the run by which a stream is placed; one that is too large grows no further."""
    run = need.run_at(need.begun)
    if run.tokens + run.remaining > usable:
        return GrowingRun(min(run.tokens, usable), 0)
    return run
