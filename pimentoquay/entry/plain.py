"""Calls of plain services, including calls that must run at most once.

A call that must run at most once is sent to another backend server only if the first one provably
ran nothing: no byte was sent, or the server's response says so. Otherwise a failed call ends with
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

MAX_SERVERS_PER_CALL = 3
"""Maximum number of backend servers that one call is sent to."""

RETRY_AFTER_SECONDS = 1.0
"""Retry-After time, in seconds, sent when every backend server refused the call."""


@dataclass(frozen=True)
class PlainTarget:
    """The service that a call goes to, and whether the call may run more than once.

    ``once_only`` is true if the call must run at most once. ``idempotency_key`` is empty if the
    caller sent none.
    """

    workspace: str
    spec: ServiceSpec
    once_only: bool
    idempotency_key: str = ""


@dataclass
class _CallState:
    """Intermediate result of one call.

    ``may_have_run`` is true once a backend server may have run the call. ``detail`` describes the
    last failure.
    """

    may_have_run: bool = False
    detail: str = "no live server in reach"


class PlainService:
    """Router of calls to the backend servers of plain services.

    Parameters
    ----------
    node, link
        The entry process and its link to the schedulers, which also holds the cluster view.
    plain
        Factory of clients for the backend servers of plain services.
    metrics
        Counters of call outcomes.
    claims
        Client for claiming idempotency keys.
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
        self._make_client = plain
        self._metrics = metrics
        self._claims = claims
        self._once_only_calls: set[asyncio.Task[PlainAnswer]] = set()
        self._client_by_member: dict[tuple[str, str], PlainClient] = {}
        self._running_by_server: Counter[str] = Counter()
        self._rng = random.Random(node.identity.incarnation)

    async def call(self, target: PlainTarget, call: PlainCall) -> PlainAnswer:
        """Send a call to a backend server and return the response.

        A call that must run at most once continues after its caller has disconnected, so that its
        idempotency key is settled with the real outcome.

        Raises
        ------
        RefusedError
            If it is certain that no backend server ran the call.
        PimentoquayError
            With ``OUTCOME_UNKNOWN`` if a backend server may have run the call.
        """
        if not target.once_only:
            return await self._count_outcome(self._try_servers(target, call))
        work = self._count_outcome(self._call_with_claim(target, call))
        task = asyncio.get_running_loop().create_task(work)
        self._once_only_calls.add(task)
        task.add_done_callback(self._discard_call)
        return await asyncio.shield(task)

    async def drained(self) -> None:
        """Return once no call that must run at most once is in progress."""
        while self._once_only_calls:
            await asyncio.wait(self._once_only_calls)

    async def _call_with_claim(self, target: PlainTarget, call: PlainCall) -> PlainAnswer:
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

    def _discard_call(self, task: "asyncio.Task[PlainAnswer]") -> None:
        self._once_only_calls.discard(task)
        if not task.cancelled():
            task.exception()

    async def _count_outcome(self, work: Coroutine[Any, Any, PlainAnswer]) -> PlainAnswer:
        try:
            answer = await work
        except PimentoquayError as error:
            self._metrics.count_code(error.code)
            raise
        self._metrics.count_code(ResultCode.OK)
        return answer

    async def _try_servers(self, target: PlainTarget, call: PlainCall) -> PlainAnswer:
        state = _CallState()
        deadline = self._node.clock.now() + target.spec.timeout
        for member in self._servers(target.spec.name)[:MAX_SERVERS_PER_CALL]:
            remaining = deadline - self._node.clock.now()
            if remaining <= 0:
                break
            answer = await self._try_server(member, call, remaining, state)
            if answer is not None:
                return answer
            if state.may_have_run and target.once_only:
                break
        if state.may_have_run:
            raise PimentoquayError(ResultCode.OUTCOME_UNKNOWN, state.detail)
        raise RefusedError(ResultCode.NO_BACKEND, state.detail, RETRY_AFTER_SECONDS)

    async def _try_server(
        self, member: Member, call: PlainCall, timeout: float, state: _CallState
    ) -> PlainAnswer | None:
        self._running_by_server[member.name] += 1
        try:
            answer = await self._client(member).call(call, timeout)
        except PlainLostError as error:
            state.may_have_run |= error.written
            state.detail = error.detail
            return None
        finally:
            self._running_by_server[member.name] -= 1
        if answer.not_run:
            state.detail = f"{member.name} refused"
            return None
        return answer

    def _servers(self, service: str) -> list[Member]:
        """Return the live servers of a service, local ones first and the least busy first."""
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
            client = self._client_by_member[key] = self._make_client(member)
        return client


def is_once_only(spec: ServiceSpec, path: str) -> bool:
    """Return whether calls of a path must run at most once.

    That is so for each path in ``spec.once_only`` and all paths below it. Letter case, empty
    segments and the query string are ignored.
    """
    segments = _segments(path)
    return any(
        segments[: len(marked)] == marked for marked in map(_segments, spec.once_only) if marked
    )


def _segments(path: str) -> list[str]:
    return [segment.lower() for segment in path.partition("?")[0].split("/") if segment]
