"""The gateway's connections to engines, one pool for each start of an engine."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.http1 import ConnectionPool, Exchange, ExchangeError, ReusePolicy
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.answers import answers_request
from pimentoquay.platform.engine_calls import EngineCall, EngineCalls
from pimentoquay.platform.requests import CallerRequest, SendOptions, send_headers
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["EngineLink", "EngineLinks"]

CONNECT_SECONDS = 0.25
"""How long a connection to an engine may take; the farthest is a few milliseconds away."""

CALL_SECONDS = 0.5
"""How long an engine may take over a call that runs nothing."""

REUSE = ReusePolicy(longest_idle=4.0, margin=1.0)
"""Engines state their idle time in whole seconds, so a second is kept from it."""


class EngineLink:
    """One start of one engine."""

    def __init__(self, entry: EngineEntry) -> None:
        self.entry = entry
        self.calls = EngineCalls(entry.id, entry.address)
        self.opened = 0
        self._pool = ConnectionPool(entry.address, CONNECT_SECONDS, REUSE, self._count)

    @contextlib.asynccontextmanager
    async def send(
        self,
        method: bytes,
        target: bytes,
        request: CallerRequest,
        body: bytes,
        options: SendOptions,
        longest_idle: float | None = None,
        head_seconds: float | None = None,
    ) -> AsyncIterator[Exchange]:
        """Send a caller's request and yield the engine's answer to it; ``ExchangeError``."""
        async with self._pool.exchange(
            method,
            target,
            send_headers(request, options),
            body,
            belongs=lambda headers: answers_request(headers, request.id),
            longest_idle=longest_idle,
            head_seconds=head_seconds,
        ) as exchange:
            yield exchange

    async def call(self, call: EngineCall, seconds: float = CALL_SECONDS) -> tuple[int, bytes]:
        """Make a call and return status and body; ``ExchangeError`` if no answer came."""
        try:
            async with (
                asyncio.timeout(seconds),
                self._pool.exchange(call.method, call.target, call.headers, call.body) as exchange,
            ):
                return exchange.status, await exchange.read_body()
        except TimeoutError:
            raise ExchangeError(f"{self.entry.id}: no answer in {seconds} s", True) from None

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    def _count(self) -> None:
        self.opened += 1


class EngineLinks:
    """The links to all listed engines.

    Parameters
    ----------
    fleet
        Names the engines.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._link_by_id: dict[str, EngineLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        fleet.on_engines_changed.append(self._follow)

    def to(self, entry: EngineEntry) -> EngineLink:
        """Return the link to an engine."""
        link = self._link_by_id.get(entry.id)
        if link is None or not _is_same_start(link.entry, entry):
            if link is not None:
                link.close()
            link = self._link_by_id[entry.id] = EngineLink(entry)
        return link

    def call_later(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        """Make a call whose outcome nobody waits for, such as freeing memory."""
        task = asyncio.get_running_loop().create_task(self._call_quietly(link, call, purpose))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Close every link."""
        for link in self._link_by_id.values():
            link.close()

    def _follow(self) -> None:
        entry_by_id = {entry.id: entry for entry in self._fleet.engines()}
        for engine_id, link in tuple(self._link_by_id.items()):
            entry = entry_by_id.get(engine_id)
            if entry is None or not _is_same_start(link.entry, entry):
                del self._link_by_id[engine_id]
                link.close()

    async def _call_quietly(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        try:
            await link.call(call)
        except ExchangeError as error:
            logger.bind(engine=link.entry.id, purpose=purpose).info("call failed: {}", error)


def _is_same_start(one: EngineEntry, other: EngineEntry) -> bool:
    return (one.id, one.incarnation, one.address) == (other.id, other.incarnation, other.address)
