"""Stand-in for a prefill engine of the platform that needs time for each prompt."""

import asyncio
from dataclasses import dataclass, field

from pimentoquay.http1 import Reply
from pimentoquay.standin.platform_engine import Arrival, PlatformEngine

__all__ = ["TimedPrefillEngine"]


@dataclass
class TimedPrefillEngine(PlatformEngine):
    """Stand-in engine that reads one prompt after another, each in ``prefill_seconds``."""

    prefill_seconds: float = 0.0
    _lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def _answer(
        self, arrival: Arrival, headers: tuple[tuple[bytes, bytes], ...], reply: Reply
    ) -> None:
        if arrival.is_prefill:
            async with self._lock:
                await asyncio.sleep(self.prefill_seconds)
        await super()._answer(arrival, headers, reply)
