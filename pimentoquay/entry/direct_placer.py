"""Placement of requests, and search for running streams, without a scheduler.

Both use the status reports of the engines. Direct placement admits fewer requests than a scheduler
does. The search finds streams whose entry and scheduler were lost together.
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

MAX_REQUESTS_PER_ENGINE = 2
"""Maximum number of directly placed requests of one entry, per engine of the shard."""

STATUS_BATCH_SIZE = 4
"""Number of engines whose status is requested at once for a direct placement."""

STATUS_TIMEOUT_SECONDS = 0.25
"""Maximum time that an engine may take to report its status, in seconds."""

ANY_ATTEMPT = -1
"""Attempt number that stands for whichever attempt the engine holds."""

RETRY_AFTER_SECONDS = 1.0
"""Retry-After time sent with a refusal, in seconds; a new scheduler usually runs by then."""


class DirectPlacer:
    """Engine selection for an entry that can reach no scheduler.

    All entries of a data centre may place requests directly at the same time, so the number of
    requests of each entry is limited.

    Parameters
    ----------
    engine_of
        Returns the client of an engine.
    rng
        Source of the random order in which engines are queried.
    """

    def __init__(self, engine_of: Callable[[Member], EngineClient], rng: random.Random) -> None:
        self._engine_of = engine_of
        self._rng = rng
        self._placed_by_shard: dict[str, set[str]] = {}

    async def place(self, shard: Shard, request_id: str, attempt: int) -> Grant:
        """Return the least loaded of the engines whose status was requested.

        Engines are queried in batches, in random order, until a prefill engine and a decode engine
        with a free slot and the same model version are found. The request counts against the
        limit until ``release`` is called.

        Raises
        ------
        RefusedError
            If the limit is reached or no such engines are found.
        """
        placed = self._placed_by_shard.setdefault(shard.name, set())
        if len(placed) >= MAX_REQUESTS_PER_ENGINE * len(shard.engines):
            raise RefusedError(
                ResultCode.QUEUE_FULL,
                f"no scheduler of {shard.name} and direct placement is at its limit",
                RETRY_AFTER_SECONDS,
            )
        placed.add(request_id)
        try:
            return await self._choose_engines(shard, request_id, attempt)
        except RefusedError:
            self.release(shard.name, request_id)
            raise

    def release(self, shard: str, request_id: str) -> None:
        """Stop counting a request against the limit, if it was placed directly."""
        placed = self._placed_by_shard.get(shard)
        if placed is not None:
            placed.discard(request_id)
            if not placed:
                del self._placed_by_shard[shard]

    async def find(self, shard: Shard, request_id: str) -> Grant | None:
        """Return the engine and attempt of a running stream of a shard, or ``None``."""
        reports = await asyncio.gather(*(self._status(member) for member in shard.engines))
        for status in filter(None, reports):
            for item in status.running:
                if item.request_id == request_id and item.stage is Stage.DECODE:
                    return Grant(request_id, item.attempt, status.engine, status.engine)
        return await self._probe(shard, request_id)

    async def _probe(self, shard: Shard, request_id: str) -> Grant | None:
        """Find a stream by trying to resume it on every engine.

        This also finds streams missing from status reports: those that began after the last report
        and those that have just ended.
        """
        names = await asyncio.gather(
            *(self._find_on_engine(item, request_id) for item in shard.engines)
        )
        found = next(filter(None, names), None)
        return None if found is None else Grant(request_id, ANY_ATTEMPT, found, found)

    async def _find_on_engine(self, member: Member, request_id: str) -> str | None:
        stream = self._engine_of(member).resume(request_id, ANY_ATTEMPT, 0)
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS), aclosing(stream) as frames:
                async for _ in frames:
                    return member.name
        except (PimentoquayError, OSError, TimeoutError):
            pass
        return None

    async def _choose_engines(self, shard: Shard, request_id: str, attempt: int) -> Grant:
        engines = list(shard.engines)
        self._rng.shuffle(engines)
        statuses: list[EngineStatus] = []
        for start in range(0, len(engines), STATUS_BATCH_SIZE):
            reports = await asyncio.gather(
                *(self._status(member) for member in engines[start : start + STATUS_BATCH_SIZE])
            )
            statuses += [status for status in reports if status is not None]
            grant = _pick_engines(statuses, request_id, attempt)
            if grant is not None:
                return grant
        raise RefusedError(
            ResultCode.NO_BACKEND, f"no engine of {shard.name} has room", RETRY_AFTER_SECONDS
        )

    async def _status(self, member: Member) -> EngineStatus | None:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                return await self._engine_of(member).status()
        except (PimentoquayError, OSError, TimeoutError):
            return None


def _pick_engines(statuses: list[EngineStatus], request_id: str, attempt: int) -> Grant | None:
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
    same_version = [status for status in prefill if status.version == target.version]
    source = min(same_version, key=lambda status: status.prefill_queue_tokens)
    if target.role is EngineRole.MIXED and target.prefill_queue_tokens == 0:
        source = target
    return Grant(request_id, attempt, source.engine, target.engine)
