"""Client of one engine process, over a pool of connections."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

from pimentoquay.gateway.engine_contact import EngineContact
from pimentoquay.gateway.fleet import target_of
from pimentoquay.gateway.notice_recorder import NoticeRecorder
from pimentoquay.http1 import (
    ClientConnection,
    Connect,
    ConnectionPool,
    Exchange,
    ExchangeWatch,
    HeaderList,
    ReusePolicy,
    ServerState,
)
from pimentoquay.kernel.errors import (
    ConnectError,
    HttpError,
    PathLostError,
    RepeatedResponseError,
    ResponseTooLargeError,
    WithheldError,
)
from pimentoquay.kernel.input_checks import can_be_header
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.timeouts import attempt_timeout
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform.engine_calls import EngineCall, EngineCalls
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.requests import CallerRequest, SendOptions, engine_headers
from pimentoquay.platform.responses import MARK_OF_CALL_ALONE, mark_of_request
from pimentoquay.policy.circuits import Circuits, CircuitState
from pimentoquay.policy.engine_limits import EngineLimits, LimitNotice
from pimentoquay.policy.engine_notices import EngineNotices, EngineStart
from pimentoquay.policy.engine_paths import Reach, Verdict
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.workspaces import Access
from pimentoquay.tunnels import EnginePaths

__all__ = ["EngineLink"]

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for connecting to an engine by any way; a peer replies within half of it."""

CALL_TIMEOUT_SECONDS = 0.5
"""Timeout of a management call, such as reserving memory, which runs no request."""

CALL_WATCH = ExchangeWatch(quiet_seconds=0.1, abandon_seconds=0.0)
"""Management calls are answered within milliseconds, and may be made again."""

CHECK_TIMEOUT_SECONDS = 0.1
"""Timeout of the check whether an engine still runs; a refusal takes one round trip."""

MAX_CALL_BODY_BYTES = 64 * 1024
"""Maximum size of a response to a management call, in bytes; they have a few hundred."""

REUSE_POLICY = ReusePolicy(max_idle_seconds=4.0, margin_seconds=1.0)
"""Engines state their idle timeout in whole seconds, so the margin is one second."""

_REACH_BY_STATE = {
    ServerState.ACCEPTING: Reach.OPEN,
    ServerState.REFUSING: Reach.REFUSED,
    ServerState.UNREACHABLE: Reach.SILENT,
}

_STATE_BY_VERDICT = {
    Verdict.REACHED: ServerState.ACCEPTING,
    Verdict.CUT: ServerState.ACCEPTING,
    Verdict.ENDED: ServerState.REFUSING,
}


class EngineLink:
    """Client of one engine process; a restarted engine gets a new link.

    Parameters
    ----------
    entry
        The engine.
    circuits
        Circuit breakers, which are updated with every response and every failure.
    notices, limits, contact
        What engines say about themselves, their limits, and whether they are reached, updated with
        every response.
    on_open
        Called for each connection opened to the engine.
    on_oversized
        Called for each response that was cut off for its size.
    on_leaving, on_limit
        Called when the engine says for the first time that it leaves, or names another limit.
    is_accepting
        Returns whether an engine takes work by what this VM knows now.
    paths
        Opens connections to engines, directly or through peers.
    turns
        Continues the work that reads left over.
    """

    def __init__(
        self,
        entry: EngineEntry,
        circuits: Circuits,
        notices: EngineNotices,
        limits: EngineLimits,
        contact: EngineContact,
        on_open: Callable[[], None],
        on_oversized: Callable[[], None],
        on_leaving: Callable[[EngineStart], None],
        on_limit: Callable[[LimitNotice], None],
        is_accepting: Callable[[EngineEntry], bool],
        paths: EnginePaths,
        turns: TurnQueue | None = None,
    ) -> None:
        self.entry = entry
        self._is_accepting = is_accepting
        self.target = target_of(entry)
        self._on_oversized = on_oversized
        self._notice_recorder = NoticeRecorder(entry, notices, limits, on_leaving, on_limit)
        self._circuits = circuits
        self._notices = notices
        self._limits = limits
        self._contact = contact
        self._checking: asyncio.Task[ServerState] | None = None
        self._asked_epoch: int | None = None
        self._newer_start: EngineStart | None = None
        self.calls = EngineCalls(entry.id, entry.address)
        self._paths = paths

        def new_pool(connect: Connect) -> ConnectionPool:
            return ConnectionPool(
                entry.address, CONNECT_TIMEOUT_SECONDS, REUSE_POLICY, on_open, connect, turns
            )

        self._pool = new_pool(paths.connector(self.target))
        self._direct_pool = new_pool(paths.direct_connector(self.target))

    @property
    def active(self) -> set[ClientConnection]:
        """Connections with an exchange in progress."""
        return self._pool.active

    @contextlib.asynccontextmanager
    async def send(
        self,
        method: bytes,
        target: bytes,
        request: CallerRequest,
        body: bytes,
        options: SendOptions,
        *,
        access: Callable[[], Access],
        max_idle_seconds: float | None = None,
        head_seconds: float | None = None,
        has_permit: bool = False,
        watch: ExchangeWatch | None = None,
        on_sent: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[Exchange]:
        """Send a caller's request to the engine and yield the exchange with its response.

        Parameters
        ----------
        method, target, body
            Parts of the HTTP request as the caller sent them.
        request
            The caller's decoded headers.
        options
            Values for the headers that the gateway adds.
        access
            Decides by the caller's key as the request is written, which is after the wait for a
            connection; raises ``WithheldError`` if it may not be sent.
        max_idle_seconds
            Maximum seconds for which a reused connection may have been idle.
        head_seconds
            Timeout for the status and headers of the response, in seconds.
        has_permit
            Whether the request has been counted against the engine's limit.
        watch
            How long the engine may be silent.
        on_sent
            Called when the request has been written.

        Raises
        ------
        HttpError
            If there is no complete response, the engine has requested a pause, or this VM's share
            of its limit is used up. ``WithheldError`` if the engine takes no more work as the
            request is written.
        """
        self._check_pause()
        sent_at = asyncio.get_running_loop().time()
        if not has_permit and not self._limits.take(self.entry, sent_at):
            raise HttpError(f"{self.entry.id} is at its limit", False)
        probe = self._start_probe_if_due()

        def headers() -> HeaderList:
            self._check_accepting()
            return engine_headers(request, options, access())

        try:
            async with self._pool.exchange(
                method,
                target,
                headers,
                body,
                mark=mark_of_request(request.id),
                max_idle_seconds=max_idle_seconds,
                head_seconds=head_seconds,
                watch=watch,
                on_sent=on_sent,
            ) as exchange:
                self._contact.count_request(exchange.via)
                self._circuits.succeeded(self.entry.id)
                self._contact.record_reached(self.entry.id)
                self._notice_recorder.record(exchange.status, exchange.headers, sent_at)
                yield exchange
        except HttpError as error:
            if not error.written and not has_permit:
                self._limits.give_back(self.entry, asyncio.get_running_loop().time())
            self._record_failure(error)
            raise
        finally:
            self._circuits.end_probe(self.entry.id, probe)

    async def call(
        self, call: EngineCall, seconds: float = CALL_TIMEOUT_SECONDS
    ) -> tuple[int, bytes]:
        """Make a management call; return status and body, or raise ``HttpError``.

        It is made once more if the path to the engine is cut meanwhile, or if the response may be
        that to an earlier call, then on a connection of its own.
        """
        try:
            return await self._call(self._pool, call, seconds)
        except PathLostError:
            return await self._call(self._pool, call, seconds)
        except RepeatedResponseError:
            alone = replace(call, mark=MARK_OF_CALL_ALONE)
            return await self._call(self._pool, alone, seconds)

    async def newer_start(self) -> EngineStart | None:
        """Return the start of the engine if it is a newer one than that of its entry, as it says.

        It is asked only if there has been a moment without any connection since it last said so.
        Raise ``HttpError`` if it does not answer.
        """
        if self._asked_epoch == self._pool.epoch and self._pool.open_connections:
            return self._newer_start
        status, body = await self.call(self.calls.report())
        self._newer_start = None
        with contextlib.suppress(DecodeError):
            born = self.calls.parse_start(body) if status == 200 else 0
            if born > self.entry.incarnation > 0:
                self._newer_start = EngineStart(self.entry.id, born)
        self._asked_epoch = self._pool.epoch
        return self._newer_start

    async def order(self, call: EngineCall, seconds: float) -> tuple[int, bytes]:
        """Make a call that must come from this VM, and not through a peer."""
        return await self._call(self._direct_pool, call, seconds)

    async def _call(
        self, pool: ConnectionPool, call: EngineCall, seconds: float
    ) -> tuple[int, bytes]:
        self._check_pause()
        probe = self._start_probe_if_due()
        try:
            async with (
                attempt_timeout(seconds),
                pool.exchange(
                    call.method,
                    call.target,
                    call.headers,
                    call.body,
                    mark=call.mark,
                    watch=CALL_WATCH,
                ) as exchange,
            ):
                self._contact.record_reached(self.entry.id)
                if exchange.status >= 300:
                    # A copy of it could be taken for the response to a later call.
                    exchange.require_marks()
                body = await exchange.read_body(MAX_CALL_BODY_BYTES)
                self._check_created(call, exchange, body)
                self._notice_recorder.record(exchange.status, exchange.headers)
                self._circuits.succeeded(self.entry.id)
                return exchange.status, body
        except HttpError as error:
            self._record_failure(error)
            raise
        except TimeoutError:
            # Counts as if nothing was written, which opens the circuit at once.
            self._circuits.refused(self.entry.id, asyncio.get_running_loop().time())
            raise HttpError(f"{self.entry.id}: no response in {seconds} s", True) from None
        finally:
            self._circuits.end_probe(self.entry.id, probe)

    def _check_created(self, call: EngineCall, exchange: Exchange, body: bytes) -> None:
        """Raise an error if a success names nothing new, or what cannot be sent back."""
        if not call.creates_hold or exchange.status != 200:
            return
        name = ""
        with contextlib.suppress(DecodeError):
            name = self.calls.parse_hold(body)
        if not can_be_header(name) or not exchange.claim(f"hold {name}"):
            exchange.close_afterwards()
            logger.bind(engine=self.entry.id, name=name).warning("response names no new hold")
            raise RepeatedResponseError(f"{self.entry.id}: no new hold: {name}", True)

    async def check(self) -> ServerState:
        """Return whether the engine still runs, as shown by new connections.

        A refusal shows its end only if most peers are refused too, since a cut may refuse as well.
        All requests that a crash breaks ask at once, and share one attempt to connect.
        """
        if self._checking is None or self._checking.done():
            self._checking = asyncio.get_running_loop().create_task(self._check())
        return await asyncio.shield(self._checking)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
        self._direct_pool.close()

    def change_way(self, through_peers: bool) -> None:
        """Send no other request on the open connections of the way used until now."""
        self._pool.retire(not through_peers)

    async def _check(self) -> ServerState:
        direct = Reach.UNKNOWN
        if not self._paths.is_cut(self.entry.id):
            direct = await self._check_directly()
        verdict = await self._paths.check(self.target, direct)
        return _STATE_BY_VERDICT.get(verdict, ServerState.UNREACHABLE)

    async def _check_directly(self) -> Reach:
        try:
            async with attempt_timeout(CHECK_TIMEOUT_SECONDS):
                return _REACH_BY_STATE[await self._direct_pool.check_server()]
        except TimeoutError:
            return Reach.SILENT

    def _check_pause(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self._notices.may_send(self.entry.start, now):
            raise HttpError(f"{self.entry.id} requested a pause", False)

    def _check_accepting(self) -> None:
        """Raise ``WithheldError`` if the engine leaves, has started anew or has paused by now."""
        now = asyncio.get_running_loop().time()
        if not self._notices.may_send(self.entry.start, now):
            raise WithheldError(f"{self.entry.id} requested a pause")
        if not self._is_accepting(self.entry):
            raise WithheldError(f"{self.entry.id} takes no more work")

    def _start_probe_if_due(self) -> str:
        """Return an id for an exchange, which is made the circuit's probe if one is due."""
        now = asyncio.get_running_loop().time()
        probe = f"{self.entry.id} at {now}"
        if self._circuits.state(self.entry.id, now) is CircuitState.PROBE_DUE:
            self._circuits.begin_probe(self.entry.id, probe, now)
        return probe

    def _record_failure(self, error: HttpError) -> None:
        """Record a failure of the engine; if it is one to connect, or to end, its circuit opens."""
        if isinstance(error, PathLostError | RepeatedResponseError | WithheldError):
            return
        now = asyncio.get_running_loop().time()
        if isinstance(error, ConnectError):
            self._contact.record_failure(self.entry.id, error.failure)
        if isinstance(error, ResponseTooLargeError):
            self._on_oversized()
            logger.bind(engine=self.entry.id, error=str(error)).warning("response cut for its size")
        if error.written and not isinstance(error, ResponseTooLargeError):
            self._circuits.failed(self.entry.id, now)
        else:
            self._circuits.refused(self.entry.id, now)
