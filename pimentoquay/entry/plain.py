"""Calls of plain services, among them calls that must not be repeated.

A call that is not idempotent is sent to a backend server once. Only proof that nothing ran (no
byte was sent, or the server said so) allows another server to be tried; everything else ends as
``OUTCOME_UNKNOWN``.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from pimentoquay.backends.base import PlainAnswer, PlainCall, PlainClient, PlainLostError
from pimentoquay.entry.key_claims import KeyClaims
from pimentoquay.entry.metrics import EntryMetrics
from pimentoquay.entry.scheduler_link import SchedulerLink
from pimentoquay.kernel import Node, PimentoquayError, RefusedError, ResultCode
from pimentoquay.messages.cluster import Member
from pimentoquay.messages.workspaces import ServiceSpec

__all__ = ["PlainService", "PlainTarget", "is_once_only"]

MAX_SERVERS = 3
"""Backend servers that one call is tried on."""

RETRY_AFTER_SECONDS = 1.0
"""The advice given when every server refused."""


@dataclass(frozen=True)
class PlainTarget:
    """Which service of which workspace is called, and whether the call may run only once."""

    workspace: str
    spec: ServiceSpec
    once_only: bool
    idempotency_key: str = ""


@dataclass
class _Progress:
    """What is known of one call so far."""

    may_have_run: bool = False
    detail: str = "no live server in reach"


class PlainService:
    """Routes calls of plain services.

    Parameters
    ----------
    node, link
        The entry process, and its view of the cluster.
    plain
        Returns a client of a plain service's server.
    metrics
        Where outcomes are counted.
    claims
        Claims idempotency keys.
    """

    def __init__(
        self,
        node: Node,
        link: SchedulerLink,
        plain: Callable[[Member], PlainClient],
        metrics: EntryMetrics,
        claims: KeyClaims,
    ) -> None:
        self._node = node
        self._link = link
        self._plain = plain
        self._metrics = metrics
        self._claims = claims
        self._once_only_calls: set[asyncio.Task[PlainAnswer]] = set()
        self._client_by_member: dict[tuple[str, str], PlainClient] = {}
        self._running_by_server: Counter[str] = Counter()
        self._rng = random.Random(node.identity.incarnation)

    async def call(self, target: PlainTarget, call: PlainCall) -> PlainAnswer:
        """Return the service's answer; ``RefusedError`` if surely no server ran the call.

        A call that may run only once goes on when its caller leaves, so that its key is settled.
        """
        if not target.once_only:
            return await self._counted(self._try_servers(target, call))
        work = self._counted(self._call_once(target, call))
        task = asyncio.get_running_loop().create_task(work)
        self._once_only_calls.add(task)
        task.add_done_callback(self._forget)
        return await asyncio.shield(task)

    async def drained(self) -> None:
        """Return when no call that may run only once is in progress."""
        while self._once_only_calls:
            await asyncio.wait(self._once_only_calls)

    async def _call_once(self, target: PlainTarget, call: PlainCall) -> PlainAnswer:
        if not target.idempotency_key:
            return await self._try_servers(target, call)
        claim = await self._claims.claim(target.workspace, target.idempotency_key, call.request_id)
        code = ResultCode.OUTCOME_UNKNOWN
        try:
            answer = await self._try_servers(target, call)
            code = ResultCode.OK
        except PimentoquayError as error:
            code = error.code
            raise
        finally:
            self._claims.settle(claim, code)
        return answer

    def _forget(self, task: "asyncio.Task[PlainAnswer]") -> None:
        self._once_only_calls.discard(task)
        if not task.cancelled():
            task.exception()

    async def _counted(self, work: Coroutine[Any, Any, PlainAnswer]) -> PlainAnswer:
        try:
            answer = await work
        except PimentoquayError as error:
            self._metrics.count_code(error.code)
            raise
        self._metrics.count_code(ResultCode.OK)
        return answer

    async def _try_servers(self, target: PlainTarget, call: PlainCall) -> PlainAnswer:
        progress = _Progress()
        deadline = self._node.clock.now() + target.spec.timeout
        for member in self._servers(target.spec.name)[:MAX_SERVERS]:
            remaining = deadline - self._node.clock.now()
            if remaining <= 0:
                break
            answer = await self._try_server(member, call, remaining, progress)
            if answer is not None:
                return answer
            if progress.may_have_run and target.once_only:
                break
        if progress.may_have_run:
            raise PimentoquayError(ResultCode.OUTCOME_UNKNOWN, progress.detail)
        raise RefusedError(ResultCode.NO_BACKEND, progress.detail, RETRY_AFTER_SECONDS)

    async def _try_server(
        self, member: Member, call: PlainCall, timeout: float, progress: _Progress
    ) -> PlainAnswer | None:
        self._running_by_server[member.name] += 1
        try:
            answer = await self._client(member).call(call, timeout)
        except PlainLostError as error:
            progress.may_have_run |= error.written
            progress.detail = error.detail
            return None
        finally:
            self._running_by_server[member.name] -= 1
        if answer.not_run:
            progress.detail = f"{member.name} refused"
            return None
        return answer

    def _servers(self, service: str) -> list[Member]:
        """Return the live servers of a service, own data centre and least busy first."""
        local = self._node.identity.data_centre
        directory = self._link.directory
        reachable = {local, *directory.view.reachable_data_centres}
        servers = [
            member
            for member in directory.live_servers_of(service)
            if member.data_centre in reachable
        ]
        self._rng.shuffle(servers)
        servers.sort(
            key=lambda member: (member.data_centre != local, self._running_by_server[member.name])
        )
        return servers

    def _client(self, member: Member) -> PlainClient:
        key = (member.name, member.address)
        client = self._client_by_member.get(key)
        if client is None:
            client = self._client_by_member[key] = self._plain(member)
        return client


def is_once_only(spec: ServiceSpec, path: str) -> bool:
    """Tell whether a path is one whose calls must not be repeated, or lies below one."""
    segments = _segments(path)
    return any(
        segments[: len(marked)] == marked for marked in map(_segments, spec.once_only) if marked
    )


def _segments(path: str) -> list[str]:
    return [segment.lower() for segment in path.partition("?")[0].split("/") if segment]
