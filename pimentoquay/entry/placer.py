"""Placement of requests on engines, through schedulers or directly.

A shard in the entry's data centre is tried first, then shards in other data centres. If no
scheduler of a local shard can be reached, the entry chooses engines itself.
"""

import asyncio
import random
from dataclasses import dataclass

from pimentoquay.entry.attempt import StageFailedError
from pimentoquay.entry.direct_placer import DirectPlacer
from pimentoquay.entry.request import RequestSpec
from pimentoquay.entry.scheduler_link import SchedulerLink, SchedulerLostError
from pimentoquay.entry.shard_choice import SPILL_CODES, choose_shards
from pimentoquay.kernel import Node, RefusedError, ResultCode
from pimentoquay.membership import Shard
from pimentoquay.messages.placement import Grant, PlaceRequest, Release, ReplaceRequest

__all__ = ["Placement", "Placer"]

MAX_SCHEDULER_TRIES = 3
"""Maximum number of tries to reach a scheduler of one shard while its owner is lost or changes."""

SUCCESSOR_WAIT_SECONDS = 1.0
"""Maximum wait, in seconds, for the successor of a lost scheduler when looking for a stream."""

RETRY_PAUSE_SECONDS = 0.05
"""Pause before the request is sent to the shard's current owner again, in seconds."""


@dataclass(frozen=True)
class Placement:
    """A grant and the name of the shard that issued it."""

    shard: str
    grant: Grant


class Placer:
    """Client for placing the requests of one entry process.

    Parameters
    ----------
    node, link
        The entry process and its link to the schedulers.
    direct
        Used for local shards when no scheduler can be reached.
    rng
        Source of the random choices between equal shards.
    """

    def __init__(
        self, node: Node, link: SchedulerLink, direct: DirectPlacer, rng: random.Random
    ) -> None:
        self._node = node
        self._link = link
        self._direct = direct
        self._rng = rng

    async def place(self, spec: RequestSpec, deadline: float, attempt: int = 0) -> Placement:
        """Return engines for a request.

        Parameters
        ----------
        spec
            The request.
        deadline
            Latest time of the first token, in seconds of the node's clock.
        attempt
            Number of the first attempt; later tries use higher numbers.

        Raises
        ------
        RefusedError
            With the first shard's refusal if no shard grants engines before the deadline.
        """
        refusal: RefusedError | None = None
        for shard in self._shards_to_try(spec):
            if refusal is not None and self._node.clock.now() >= deadline:
                break
            try:
                return Placement(shard, await self._place_at(shard, spec, deadline, attempt))
            except RefusedError as error:
                refusal = refusal or error
                if error.code not in SPILL_CODES:
                    break
            attempt += MAX_SCHEDULER_TRIES
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
        """Return other engines after a failed stage.

        If the shard's scheduler is lost or does not know the request, the request is placed again
        as a new one. Raises ``RefusedError`` as ``place`` does.
        """
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
        # The scheduler is lost, or its successor does not know the request.
        return await self.place(spec, deadline, attempt + 1)

    async def find(self, spec: RequestSpec, deadline: float) -> Placement:
        """Return the placement of a request's running stream.

        The pool's reachable schedulers are queried first. If a scheduler was lost together with the
        stream's entry, only the engine knows the stream, so the engines are queried next. That is
        done without waiting for the successor, because engines no longer report a stream once it
        has ended. Finally, schedulers are queried again, with time for a successor to come up.

        Raises
        ------
        RefusedError
            With ``REQUEST_UNKNOWN`` if the stream is not found.
        """
        shards = list(self._link.directory.shards_of_pool(spec.model))
        shards.sort(key=lambda shard: not shard.is_near(self._node.identity))
        return (
            await self._ask_schedulers(shards, spec, deadline, wait=0.0)
            or await self._ask_engines(shards, spec)
            or await self._ask_schedulers(shards, spec, deadline, wait=SUCCESSOR_WAIT_SECONDS)
            or await self._ask_engines(shards, spec)
            or _raise_not_found(spec)
        )

    async def _ask_schedulers(
        self, shards: list[Shard], spec: RequestSpec, deadline: float, wait: float
    ) -> Placement | None:
        for shard in shards:
            remaining = deadline - self._node.clock.now()
            try:
                located = await self._link.find(shard.name, spec.request_id, remaining, wait)
            except (RefusedError, SchedulerLostError):
                continue
            grant = Grant(spec.request_id, located.attempt, located.engine, located.engine)
            return Placement(shard.name, grant)
        return None

    async def _ask_engines(self, shards: list[Shard], spec: RequestSpec) -> Placement | None:
        for shard in shards:
            found = await self._direct.find(shard, spec.request_id)
            if found is not None:
                return Placement(shard.name, found)
        return None

    def _shards_to_try(self, spec: RequestSpec) -> tuple[str, ...]:
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
        """Request a grant from a shard's scheduler; place directly if none can be reached."""
        for offset in range(MAX_SCHEDULER_TRIES):
            request = self._place_request(shard, spec, attempt + offset, deadline)
            try:
                return await self._link.place(request)
            except (RefusedError, asyncio.CancelledError):
                self._withdraw(shard, spec)
                raise
            except SchedulerLostError:
                self._withdraw(shard, spec)
                await self._node.timers.sleep(RETRY_PAUSE_SECONDS)
        return await self._place_directly(shard, spec, attempt + MAX_SCHEDULER_TRIES)

    async def _place_directly(self, name: str, spec: RequestSpec, attempt: int) -> Grant:
        shard = self._link.directory.shard_by_name.get(name)
        if shard is None or not shard.is_near(self._node.identity):
            raise RefusedError(ResultCode.NO_BACKEND, f"no scheduler of {name} in reach", 1.0)
        return await self._direct.place(shard, spec.request_id, attempt)

    def _withdraw(self, shard: str, spec: RequestSpec) -> None:
        release = Release(spec.request_id, ResultCode.CANCELLED, 0, 0.0)
        self._link.release(shard, release)

    def _place_request(
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


def _raise_not_found(spec: RequestSpec) -> Placement:
    raise RefusedError(ResultCode.REQUEST_UNKNOWN, f"no stream of request {spec.request_id}")
