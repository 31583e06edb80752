"""Gets a request its engines: own data centre first, then spills, then direct placement."""

import asyncio
import random
from dataclasses import dataclass

from pimentoquay.entry.attempt import StageFailedError
from pimentoquay.entry.choice import SPILL_CODES, choose_shards
from pimentoquay.entry.direct import DirectPlacer
from pimentoquay.entry.request import RequestSpec
from pimentoquay.entry.scheduler_link import SchedulerLink, SchedulerLostError
from pimentoquay.kernel import Node, RefusedError, ResultCode
from pimentoquay.membership import Shard
from pimentoquay.messages.placement import Grant, PlaceRequest, Release, ReplaceRequest

__all__ = ["Placement", "Placer"]

SCHEDULER_TRIES = 3
"""Schedulers that are asked in turn for one shard whose owner is lost or has changed."""

SUCCESSOR_SECONDS = 1.0
"""How long the successor of a lost scheduler is waited for before a stream counts as gone."""

RETRY_PAUSE_SECONDS = 0.05
"""The wait before the shard's next owner is asked."""


@dataclass(frozen=True)
class Placement:
    """A grant and the shard that gave it."""

    shard: str
    grant: Grant


class Placer:
    """Places requests for one entry process.

    Parameters
    ----------
    node, link
        The entry process and its link to the schedulers.
    direct
        Places requests when no scheduler can be reached.
    rng
        Chooses among equals.
    """

    def __init__(
        self, node: Node, link: SchedulerLink, direct: DirectPlacer, rng: random.Random
    ) -> None:
        self._node = node
        self._link = link
        self._direct = direct
        self._rng = rng

    async def place(self, spec: RequestSpec, deadline: float, attempt: int = 0) -> Placement:
        """Return engines for a request; ``RefusedError`` when there are none in time."""
        refusal: RefusedError | None = None
        for shard in self._shards(spec):
            if refusal is not None and self._node.clock.now() >= deadline:
                break
            try:
                return Placement(shard, await self._place_at(shard, spec, deadline, attempt))
            except RefusedError as error:
                refusal = refusal or error
                if error.code not in SPILL_CODES:
                    break
            attempt += SCHEDULER_TRIES
        if refusal is None:
            refusal = RefusedError(
                ResultCode.NO_BACKEND, f"no live engine of {spec.model} in reach", 1.0
            )
        raise refusal

    async def replace(
        self,
        spec: RequestSpec,
        placement: Placement,
        failure: StageFailedError,
        attempt: int,
        deadline: float,
    ) -> Placement:
        """Return other engines after a failed stage."""
        kv_engine = failure.kv.engine if failure.kv is not None else ""
        request = ReplaceRequest(
            spec.request_id,
            attempt,
            failure.stage,
            failure.engine,
            kv_engine,
            failure.code if failure.may_have_run else ResultCode.CIRCUIT_OPEN,
            deadline - self._node.clock.now(),
        )
        try:
            grant = await self._link.replace(placement.shard, request)
            return Placement(placement.shard, grant)
        except RefusedError as refusal:
            if refusal.code is not ResultCode.REQUEST_UNKNOWN:
                raise
        except SchedulerLostError:
            self._withdraw(placement.shard, spec)
        # The scheduler is lost, or its successor never heard of the request.
        return await self.place(spec, deadline, attempt + 1)

    async def find(self, spec: RequestSpec, deadline: float) -> Placement:
        """Return where a request's stream runs.

        The schedulers of its pool in reach are asked first. One that died with the stream's entry
        has left nobody who knows of the stream but its engine, so the engines are asked next, at
        once, because a stream that has ended is no longer in their reports. A scheduler that was
        out of reach is asked last, when its successor is up.
        """
        pool = list(self._link.directory.shards_of_pool(spec.model))
        pool.sort(key=lambda shard: not shard.is_near(self._node.identity))
        return (
            await self._ask_schedulers(pool, spec, deadline, wait=0.0)
            or await self._ask_engines(pool, spec)
            or await self._ask_schedulers(pool, spec, deadline, wait=SUCCESSOR_SECONDS)
            or await self._ask_engines(pool, spec)
            or _not_found(spec)
        )

    async def _ask_schedulers(
        self, pool: list[Shard], spec: RequestSpec, deadline: float, wait: float
    ) -> Placement | None:
        for shard in pool:
            remaining = deadline - self._node.clock.now()
            try:
                located = await self._link.find(shard.name, spec.request_id, remaining, wait)
            except (RefusedError, SchedulerLostError):
                continue
            grant = Grant(spec.request_id, located.attempt, located.engine, located.engine)
            return Placement(shard.name, grant)
        return None

    async def _ask_engines(self, pool: list[Shard], spec: RequestSpec) -> Placement | None:
        for shard in pool:
            found = await self._direct.find(shard, spec.request_id)
            if found is not None:
                return Placement(shard.name, found)
        return None

    def _shards(self, spec: RequestSpec) -> tuple[str, ...]:
        return choose_shards(
            self._link.directory.shards_of_pool(spec.model),
            self._link.summary_by_shard,
            self._node.identity,
            self._link.directory.view.reachable_data_centres,
            spec.prefix,
            self._rng,
        )

    async def _place_at(
        self, shard: str, spec: RequestSpec, deadline: float, attempt: int
    ) -> Grant:
        """Ask the owners of one shard, and place directly when none of them answers."""
        for offset in range(SCHEDULER_TRIES):
            request = self._request(shard, spec, attempt + offset, deadline)
            try:
                return await self._link.place(request)
            except (RefusedError, asyncio.CancelledError):
                self._withdraw(shard, spec)
                raise
            except SchedulerLostError:
                self._withdraw(shard, spec)
                await self._node.timers.sleep(RETRY_PAUSE_SECONDS)
        return await self._place_directly(shard, spec, attempt + SCHEDULER_TRIES)

    async def _place_directly(self, name: str, spec: RequestSpec, attempt: int) -> Grant:
        shard = self._link.directory.shard_by_name.get(name)
        if shard is None or not shard.is_near(self._node.identity):
            raise RefusedError(ResultCode.NO_BACKEND, f"no scheduler of {name} in reach", 1.0)
        return await self._direct.place(shard, spec.request_id, attempt)

    def _withdraw(self, shard: str, spec: RequestSpec) -> None:
        release = Release(spec.request_id, ResultCode.CANCELLED, 0, 0.0)
        self._link.release(shard, release)

    def _request(
        self, shard: str, spec: RequestSpec, attempt: int, deadline: float
    ) -> PlaceRequest:
        return PlaceRequest(
            spec.request_id,
            attempt,
            shard,
            spec.workspace,
            spec.kind.name,
            spec.kind.urgency,
            spec.prompt_tokens,
            spec.max_tokens,
            spec.prefix,
            deadline - self._node.clock.now(),
            spec.kind.token_interval_target,
            spec.workspace_limit,
            spec.workspace_weight,
        )


def _not_found(spec: RequestSpec) -> Placement:
    raise RefusedError(ResultCode.REQUEST_UNKNOWN, f"no stream of request {spec.request_id}")
