"""What a coordinator knows of a stream that is to be placed in its pool."""

from dataclasses import dataclass

from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.stream_admission import StreamTimes

__all__ = ["StreamNeed"]


@dataclass(frozen=True)
class StreamNeed:
    """A stream to be placed; ``need`` is the memory in tokens by which it counts while it waits.

    ``software`` is the version that began it, or empty if none has. Priority 0 is the highest;
    ``workspace`` is empty if the configuration has none.
    """

    run: GrowingRun
    need: int
    prompt: int
    times: StreamTimes
    may_prefill_on_decode_engine: bool = True
    software: str = ""
    priority: int = 0
    workspace: str = ""

    @property
    def tokens(self) -> int:
        """Memory by which it counts while it waits, in tokens."""
        return self.need

    @property
    def service_class(self) -> tuple[int, str]:
        """Its priority and workspace."""
        return self.priority, self.workspace
