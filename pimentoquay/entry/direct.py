"""Placement and search without a scheduler, from the engines' own reports.

Placement is at reduced admission. A search is for streams whose entry and scheduler died together.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import aclosing

from pimentoquay.backends.base import EngineClient, EngineRole, EngineStatus
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.membership import Shard
from pimentoquay.messages.cluster import Member
from pimentoquay.messages.placement import Grant, Stage

__all__ = ["DirectPlacer"]

REQUESTS_PER_ENGINE = 2
"""Requests that one entry places directly at once, for each engine of the shard."""

CANDIDATES = 4
"""Engines that are asked for their status before a direct placement."""

STATUS_SECONDS = 0.25
"""How long an engine may take to report its status."""

ANY_ATTEMPT = -1
"""Stands for whichever attempt an engine holds."""

RETRY_AFTER_SECONDS = 1.0
"""The advice given with a refusal; a new scheduler is usually up by then."""


class DirectPlacer:
    """Chooses engines for an entry that can reach no scheduler.

    Every entry of the data centre may do the same at once, so each takes only a small share of
    every engine.
    """

    def __init__(self, engine_of: Callable[[Member], EngineClient], rng: random.Random) -> None:
        self._engine_of = engine_of
        self._rng = rng
        self._placed_by_shard: dict[str, set[str]] = {}

    async def place(self, shard: Shard, request_id: str, attempt: int) -> Grant:
        """Return the least loaded engines of a few; ``RefusedError`` when none has room."""
        placed = self._placed_by_shard.setdefault(shard.name, set())
        if len(placed) >= REQUESTS_PER_ENGINE * len(shard.engines):
            raise RefusedError(
                ResultCode.QUEUE_FULL,
                f"no scheduler of {shard.name} and direct placement is at its limit",
                RETRY_AFTER_SECONDS,
            )
        placed.add(request_id)
        try:
            return await self._choose(shard, request_id, attempt)
        except RefusedError:
            self.release(shard.name, request_id)
            raise

    def release(self, shard: str, request_id: str) -> None:
        """Give back the share that a request took, if it took any."""
        placed = self._placed_by_shard.get(shard)
        if placed is not None:
            placed.discard(request_id)
            if not placed:
                del self._placed_by_shard[shard]

    async def find(self, shard: Shard, request_id: str) -> Grant | None:
        """Look for a running stream on a shard's engines, or return ``None``."""
        answers = await asyncio.gather(*(self._status(member) for member in shard.engines))
        for status in filter(None, answers):
            for item in status.running:
                if item.request_id == request_id and item.stage is Stage.DECODE:
                    return Grant(request_id, item.attempt, status.engine, status.engine)
        return await self._probe(shard, request_id)

    async def _probe(self, shard: Shard, request_id: str) -> Grant | None:
        """Ask every engine for the stream itself, which shows what reports do not.

        Reports lag behind a stream that has just begun and leave out one that has ended.
        """
        names = await asyncio.gather(*(self._holds(item, request_id) for item in shard.engines))
        found = next(filter(None, names), None)
        return None if found is None else Grant(request_id, ANY_ATTEMPT, found, found)

    async def _holds(self, member: Member, request_id: str) -> str | None:
        stream = self._engine_of(member).resume(request_id, ANY_ATTEMPT, 0)
        try:
            async with asyncio.timeout(STATUS_SECONDS), aclosing(stream) as frames:
                async for _ in frames:
                    return member.name
        except (PimentoquayError, OSError, TimeoutError):
            pass
        return None

    async def _choose(self, shard: Shard, request_id: str, attempt: int) -> Grant:
        engines = list(shard.engines)
        self._rng.shuffle(engines)
        statuses: list[EngineStatus] = []
        for start in range(0, len(engines), CANDIDATES):
            answers = await asyncio.gather(
                *(self._status(member) for member in engines[start : start + CANDIDATES])
            )
            statuses += [status for status in answers if status is not None]
            grant = _pick(statuses, request_id, attempt)
            if grant is not None:
                return grant
        raise RefusedError(
            ResultCode.NO_BACKEND, f"no engine of {shard.name} has room", RETRY_AFTER_SECONDS
        )

    async def _status(self, member: Member) -> EngineStatus | None:
        try:
            async with asyncio.timeout(STATUS_SECONDS):
                return await self._engine_of(member).status()
        except (PimentoquayError, OSError, TimeoutError):
            return None


def _pick(statuses: list[EngineStatus], request_id: str, attempt: int) -> Grant | None:
    prefill = [status for status in statuses if status.role is not EngineRole.DECODE]
    prefill_versions = {status.version for status in prefill}
    decode = [
        status
        for status in statuses
        if status.role is not EngineRole.PREFILL
        and status.decode_running < status.decode_slots
        and status.version in prefill_versions
    ]
    if not decode:
        return None
    target = min(decode, key=lambda status: status.decode_running)
    alike = [status for status in prefill if status.version == target.version]
    source = min(alike, key=lambda status: status.prefill_queue_tokens)
    if target.role is EngineRole.MIXED and target.prefill_queue_tokens == 0:
        source = target
    return Grant(request_id, attempt, source.engine, target.engine)
