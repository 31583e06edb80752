"""The requests of one entry process, independent of HTTP.

``RequestService.run`` returns the answer's frames as they come from the engine. It raises
``RefusedError`` when nothing ran, and ``PimentoquayError`` with the code of the failure when
work had begun. However a request ends, everything it held is freed.

Example
-------
::

    service = RequestService(node, link, ports.engine)
    async with aclosing(service.run(spec)) as frames:
        async for chunk in frames:
            await send(chunk)
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from pimentoquay.backends.base import EngineClient
from pimentoquay.entry.attempt import Attempt, HeldKv
from pimentoquay.entry.direct import DirectPlacer
from pimentoquay.entry.key_claims import KeyClaims
from pimentoquay.entry.life import RequestRun
from pimentoquay.entry.metrics import EntryMetrics
from pimentoquay.entry.placer import Placer
from pimentoquay.entry.request import LifeMachine, RequestSpec
from pimentoquay.entry.scheduler_link import SchedulerLink
from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.cluster import Member
from pimentoquay.policy import TransferDurations

__all__ = ["RequestService"]

DRAIN_POLL_SECONDS = 0.05
"""How often a drain looks whether the last request has ended."""


class RequestService:
    """Runs the requests of one entry process.

    Parameters
    ----------
    node
        The entry process.
    link
        Its link to the schedulers.
    engine
        Returns a client of an engine; called once for each engine and address.
    metrics
        Where outcomes are counted.
    claims
        Claims idempotency keys.
    """

    def __init__(
        self,
        node: Node,
        link: SchedulerLink,
        engine: Callable[[Member], EngineClient],
        metrics: EntryMetrics | None = None,
        claims: KeyClaims | None = None,
    ) -> None:
        self.node = node
        self.link = link
        self.metrics = metrics if metrics is not None else EntryMetrics()
        self.claims = claims if claims is not None else KeyClaims(node, link)
        self.machine = LifeMachine()
        rng = random.Random(node.identity.incarnation)
        self._engine = engine
        self._client_by_member: dict[tuple[str, str], EngineClient] = {}
        self.direct = DirectPlacer(self.engine_of, rng)
        self.placer = Placer(node, link, self.direct, rng)
        self.transfer_durations = TransferDurations()
        self.run_by_id: dict[str, RequestRun] = {}
        self._cleanups: set[asyncio.Task[None]] = set()

    def run(self, spec: RequestSpec) -> AsyncIterator[bytes]:
        """Run a request and yield its answer, each item whole frames, ``[DONE]`` last."""
        return RequestRun(self, spec).frames()

    def resume(self, spec: RequestSpec, offset: int) -> AsyncIterator[bytes]:
        """Go on with a stream that another entry began, from token ``offset`` on."""
        return RequestRun(self, spec).resumed_frames(offset)

    def engine_of(self, member: Member) -> EngineClient:
        """Return the client of an engine, one for each name and address."""
        key = (member.name, member.address)
        client = self._client_by_member.get(key)
        if client is None:
            self._forget_gone()
            client = self._client_by_member[key] = self._engine(member)
        return client

    def _forget_gone(self) -> None:
        """Drop the clients of engines that are no longer listed; attempts keep their own."""
        listed = {(m.name, m.address) for m in self.link.directory.member_by_name.values()}
        for key in self._client_by_member.keys() - listed:
            del self._client_by_member[key]

    def free(self, attempt: Attempt, keep: HeldKv | None) -> None:
        """Cancel an attempt on its engines, save on the one whose KV cache is kept."""
        for client, number in attempt.holders(keep):
            self.in_background(self._cancel(client, attempt.request_id, number))

    async def _cancel(self, client: EngineClient, request_id: str, attempt: int) -> None:
        try:
            await client.cancel(request_id, attempt)
        except (PimentoquayError, OSError) as error:
            # The scheduler's sweep frees what a lost cancellation leaves behind.
            logger.bind(request_id=request_id).info(f"cancel failed: {error}")

    def in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that must finish although its request has ended."""
        task = asyncio.get_running_loop().create_task(work)
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    async def drained(self) -> None:
        """Return when no request is in progress and everything is freed."""
        while self.run_by_id or self._cleanups:
            await self.node.timers.sleep(DRAIN_POLL_SECONDS)
