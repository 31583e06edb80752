"""Running the requests of one entry process, independent of HTTP.

``RequestService.run`` yields the frames of the answer as the engine sends them. It raises
``RefusedError`` if no engine ran any part of the request, and otherwise ``PimentoquayError`` with
the code of the failure. Engine memory and scheduler grants are released however a request ends.

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
from pimentoquay.entry.direct_placer import DirectPlacer
from pimentoquay.entry.key_claims import KeyClaims
from pimentoquay.entry.metrics import EntryMetrics
from pimentoquay.entry.placer import Placer
from pimentoquay.entry.request import RequestSpec, RequestStateMachine
from pimentoquay.entry.request_run import RequestRun
from pimentoquay.entry.scheduler_link import SchedulerLink
from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.cluster import Member
from pimentoquay.policy import TransferDurations

__all__ = ["RequestService"]

DRAIN_POLL_SECONDS = 0.05
"""Interval, in seconds, at which a drain checks whether all requests have ended."""


class RequestService:
    """The requests in progress in one entry process and everything they share.

    Parameters
    ----------
    node
        The entry process.
    link
        Its link to the schedulers.
    engine
        Factory of engine clients, called once for each engine name and address.
    metrics
        Counters of request outcomes.
    claims
        Client for claiming idempotency keys.
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
        self.state_machine = RequestStateMachine()
        rng = random.Random(node.identity.incarnation)
        self._make_client = engine
        self._client_by_member: dict[tuple[str, str], EngineClient] = {}
        self.direct = DirectPlacer(self.engine_of, rng)
        self.placer = Placer(node, link, self.direct, rng)
        self.transfer_durations = TransferDurations()
        self.run_by_id: dict[str, RequestRun] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()

    def run(self, spec: RequestSpec) -> AsyncIterator[bytes]:
        """Run a request and yield its answer.

        Each item holds one or more complete frames; the last frame is ``[DONE]``.
        """
        return RequestRun(self, spec).frames()

    def resume(self, spec: RequestSpec, offset: int) -> AsyncIterator[bytes]:
        """Resume a stream that another entry started, from token ``offset`` on."""
        return RequestRun(self, spec).resumed_frames(offset)

    def engine_of(self, member: Member) -> EngineClient:
        """Return the client of an engine; there is one for each engine name and address."""
        key = (member.name, member.address)
        client = self._client_by_member.get(key)
        if client is None:
            self._drop_unlisted_clients()
            client = self._client_by_member[key] = self._make_client(member)
        return client

    def _drop_unlisted_clients(self) -> None:
        """Remove the clients of engines that left the list; attempts in progress keep theirs."""
        listed = {(m.name, m.address) for m in self.link.directory.member_by_name.values()}
        for key in self._client_by_member.keys() - listed:
            del self._client_by_member[key]

    def free(self, attempt: Attempt, keep: HeldKv | None) -> None:
        """Cancel an attempt on all its engines except the one with the KV cache ``keep``."""
        for client, number in attempt.clients_to_cancel(keep):
            self.run_in_background(self._cancel(client, attempt.request_id, number))

    async def _cancel(self, client: EngineClient, request_id: str, attempt: int) -> None:
        try:
            await client.cancel(request_id, attempt)
        except (PimentoquayError, OSError) as error:
            # The scheduler's periodic sweep frees engine memory if a cancellation is lost.
            logger.bind(request_id=request_id).info(f"cancel failed: {error}")

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start cleanup that has to finish after its request has ended."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def drained(self) -> None:
        """Return once no request and no cleanup is in progress."""
        while self.run_by_id or self._background_tasks:
            await self.node.timers.sleep(DRAIN_POLL_SECONDS)
