"""The gateway's connections to engines, one pool for each start of an engine."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.http1 import ConnectionPool, Exchange, ReusePolicy
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.answers import answers_request
from pimentoquay.platform.engine_calls import EngineCall, EngineCalls
from pimentoquay.platform.requests import CallerRequest, SendOptions, send_headers
from pimentoquay.policy.circuits import CircuitLimits, Circuits, CircuitState
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["EngineLink", "EngineLinks"]

CONNECT_SECONDS = 0.25
"""How long a connection to an engine may take; the farthest is a few milliseconds away."""

CALL_SECONDS = 0.5
"""How long an engine may take over a call that runs nothing."""

REUSE = ReusePolicy(longest_idle=4.0, margin=1.0)
"""Engines state their idle time in whole seconds, so a second is kept from it."""


CIRCUIT_LIMITS = CircuitLimits(first_wait=0.5, longest_wait=2.0, error_grace=1)
"""An engine that cannot be reached is left alone for half a second, then two at most: its entry
lapses after three heartbeats, and until then each request would wait for it."""


class EngineLink:
    """One start of one engine.

    Parameters
    ----------
    entry
        The engine.
    circuits
        Told of every exchange with it that came to nothing, and of every answer.
    on_open
        Called for each connection opened to it.
    """

    def __init__(self, entry: EngineEntry, circuits: Circuits, on_open: Callable[[], None]) -> None:
        self.entry = entry
        self._circuits = circuits
        self.calls = EngineCalls(entry.id, entry.address)
        self._pool = ConnectionPool(entry.address, CONNECT_SECONDS, REUSE, on_open)

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
        """Send a caller's request and yield the engine's answer to it; ``HttpError``."""
        probe = self._begin()
        try:
            async with self._pool.exchange(
                method,
                target,
                send_headers(request, options),
                body,
                belongs=lambda headers: answers_request(headers, request.id),
                longest_idle=longest_idle,
                head_seconds=head_seconds,
            ) as exchange:
                self._circuits.succeeded(self.entry.id)
                yield exchange
        except HttpError as error:
            self._note_failed(error.written)
            raise
        finally:
            self._circuits.end_probe(self.entry.id, probe)

    async def call(self, call: EngineCall, seconds: float = CALL_SECONDS) -> tuple[int, bytes]:
        """Make a call and return status and body; ``HttpError`` if no answer came."""
        probe = self._begin()
        try:
            async with (
                asyncio.timeout(seconds),
                self._pool.exchange(call.method, call.target, call.headers, call.body) as exchange,
            ):
                body = await exchange.read_body()
                self._circuits.succeeded(self.entry.id)
                return exchange.status, body
        except HttpError as error:
            self._note_failed(error.written)
            raise
        except TimeoutError:
            self._note_failed(False)
            raise HttpError(f"{self.entry.id}: no answer in {seconds} s", True) from None
        finally:
            self._circuits.end_probe(self.entry.id, probe)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    def _begin(self) -> str:
        """Make an exchange the probe if one is due; return the name that it has as such."""
        now = asyncio.get_running_loop().time()
        probe = f"{self.entry.id} at {now}"
        if self._circuits.state(self.entry.id, now) is CircuitState.PROBE_DUE:
            self._circuits.begin_probe(self.entry.id, probe, now)
        return probe

    def _note_failed(self, written: bool) -> None:
        """Count a failure; an engine that takes no connection or no call is left alone at once."""
        now = asyncio.get_running_loop().time()
        if written:
            self._circuits.failed(self.entry.id, now)
        else:
            self._circuits.refused(self.entry.id, now)


class EngineLinks:
    """The links to all listed engines.

    Parameters
    ----------
    fleet
        Names the engines.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.circuits = Circuits(CIRCUIT_LIMITS)
        self.opened = 0
        self._link_by_id: dict[str, EngineLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        fleet.on_engines_changed.append(self._follow)

    def to(self, entry: EngineEntry) -> EngineLink:
        """Return the link to an engine."""
        link = self._link_by_id.get(entry.id)
        if link is None or not _is_same_start(link.entry, entry):
            if link is not None:
                link.close()
            link = self._link_by_id[entry.id] = EngineLink(entry, self.circuits, self._count_opened)
        return link

    def is_open(self, engine: str, now: float) -> bool:
        """Return whether an engine is left alone after failures, unless a probe is due."""
        state = self.circuits.state(engine, now)
        return state in (CircuitState.WAITING, CircuitState.PROBING)

    def call_later(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        """Make a call whose outcome nobody waits for, such as freeing memory."""
        task = asyncio.get_running_loop().create_task(self._call_quietly(link, call, purpose))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Close every link."""
        for link in self._link_by_id.values():
            link.close()

    def _count_opened(self) -> None:
        self.opened += 1

    def _follow(self) -> None:
        entry_by_id = {entry.id: entry for entry in self._fleet.engines()}
        for engine_id, link in tuple(self._link_by_id.items()):
            entry = entry_by_id.get(engine_id)
            if entry is None or not _is_same_start(link.entry, entry):
                del self._link_by_id[engine_id]
                self.circuits.succeeded(engine_id)
                link.close()

    async def _call_quietly(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        try:
            await link.call(call)
        except HttpError as error:
            logger.bind(engine=link.entry.id, purpose=purpose, error=str(error)).info("call failed")


def _is_same_start(one: EngineEntry, other: EngineEntry) -> bool:
    return (one.id, one.incarnation, one.address) == (other.id, other.incarnation, other.address)
