"""What a coordinator knows of a stream that is to be placed in its pool, and what it grants."""

from dataclasses import dataclass

from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.stream_admission import StreamTimes

__all__ = ["Grant", "StreamNeed"]


@dataclass(frozen=True)
class Grant:
    """Engines that were granted to a stream.

    ``prefill_engine`` is empty if the gateway is to decide on the prefill.
    """

    number: int
    engine: str
    prefill_engine: str
    prompt: int
    ledger_key: int
    granted_at: float


@dataclass(frozen=True)
class StreamNeed:
    """A stream to be placed; ``need`` is the memory in tokens by which it counts while it waits.

    ``software`` is the version that began it, or empty if none has. Priority 0 is the highest;
    ``workspace`` is empty if the configuration has none. ``is_regrant`` tells that an engine
    refused the memory of its grant: it was counted and charged before, and is no new demand.
    """

    run: GrowingRun
    need: int
    prompt: int
    times: StreamTimes
    may_prefill_on_decode_engine: bool = True
    software: str = ""
    priority: int = 0
    workspace: str = ""
    is_regrant: bool = False

    @property
    def tokens(self) -> int:
        """Memory by which it counts while it waits, in tokens."""
        return self.need

    @property
    def service_class(self) -> tuple[int, str]:
        """Its priority and workspace."""
        return self.priority, self.workspace
