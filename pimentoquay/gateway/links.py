"""Connections of the gateway to engines, one pool for each engine process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Collection

from pimentoquay.gateway.engine_contact import EngineContact
from pimentoquay.gateway.fleet import Fleet, target_of
from pimentoquay.http1 import (
    ClientConnection,
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
    ResponseTooLargeError,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.engine_calls import EngineCall, EngineCalls
from pimentoquay.platform.requests import CallerRequest, SendOptions, engine_headers
from pimentoquay.platform.responses import (
    EngineNotice,
    is_response_to,
    is_response_to_call,
    parse_notice,
)
from pimentoquay.policy.circuits import CircuitLimits, Circuits, CircuitState
from pimentoquay.policy.engine_limits import EngineLimits, LimitNotice
from pimentoquay.policy.engine_notices import EngineNotices, EngineStart
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.tunnels import EnginePaths

__all__ = ["EngineLink", "EngineLinks"]

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for connecting to an engine by any way."""

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

CIRCUIT_LIMITS = CircuitLimits(first_wait=0.5, longest_wait=2.0, error_grace=1)
"""An unreachable engine is not used for 0.5 s, later for up to 2 s. Its entry expires only after
three missed heartbeats, and without the circuit each request until then would wait for it."""


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
    paths
        Opens connections to engines, directly or through peers.
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
        paths: EnginePaths,
    ) -> None:
        self.entry = entry
        self.target = target_of(entry)
        self._on_oversized = on_oversized
        self.on_leaving: Callable[[EngineStart], None] = lambda start: None
        self.on_limit: Callable[[LimitNotice], None] = lambda notice: None
        self._circuits = circuits
        self._notices = notices
        self._limits = limits
        self._contact = contact
        self._checking: asyncio.Task[ServerState] | None = None
        self.calls = EngineCalls(entry.id, entry.address)
        self._paths = paths
        self._pool = ConnectionPool(
            entry.address,
            CONNECT_TIMEOUT_SECONDS,
            REUSE_POLICY,
            on_open,
            paths.connector(self.target),
        )
        self._direct_pool = ConnectionPool(
            entry.address,
            CONNECT_TIMEOUT_SECONDS,
            REUSE_POLICY,
            on_open,
            paths.direct_connector(self.target),
        )

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
        max_idle_seconds: float | None = None,
        head_seconds: float | None = None,
        has_permit: bool = False,
        watch: ExchangeWatch | None = None,
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
        max_idle_seconds
            Maximum seconds for which a reused connection may have been idle.
        head_seconds
            Timeout for the status and headers of the response, in seconds.
        has_permit
            Whether the request has been counted against the engine's limit.
        watch
            How long the engine may be silent.

        Raises
        ------
        HttpError
            If there is no complete response, the engine has requested a pause, or this VM's share
            of its limit is used up.
        """
        self._check_pause()
        sent_at = asyncio.get_running_loop().time()
        if not has_permit and not self._limits.take(self.entry, sent_at):
            raise HttpError(f"{self.entry.id} is at its limit", False)
        probe = self._start_probe_if_due()
        try:
            async with self._pool.exchange(
                method,
                target,
                engine_headers(request, options),
                body,
                is_own_response=lambda headers: is_response_to(headers, request.id),
                max_idle_seconds=max_idle_seconds,
                head_seconds=head_seconds,
                watch=watch,
            ) as exchange:
                self._contact.count_request(exchange.via)
                self._circuits.succeeded(self.entry.id)
                self._contact.record_reached(self.entry.id)
                self._record_notice(exchange.status, exchange.headers, sent_at)
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

        It is made once more if the path to the engine is cut meanwhile.
        """
        try:
            return await self._call(self._pool, call, seconds)
        except PathLostError:
            return await self._call(self._pool, call, seconds)

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
                asyncio.timeout(seconds),
                pool.exchange(
                    call.method,
                    call.target,
                    call.headers,
                    call.body,
                    is_own_response=is_response_to_call,
                    watch=CALL_WATCH,
                ) as exchange,
            ):
                self._contact.record_reached(self.entry.id)
                self._record_notice(exchange.status, exchange.headers)
                body = await exchange.read_body(MAX_CALL_BODY_BYTES)
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

    async def check(self) -> ServerState:
        """Return whether the engine still runs, as shown by a new connection.

        All requests that a crash breaks ask at once, and share one attempt to connect.
        """
        if self._checking is None or self._checking.done():
            self._checking = asyncio.get_running_loop().create_task(self._check())
        return await asyncio.shield(self._checking)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
        self._direct_pool.close()

    def drop_direct_connections(self) -> None:
        """Close idle connections of this VM's own, as the path to the engine is cut."""
        self._pool.drop_idle("")

    async def _check(self) -> ServerState:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                return await self._direct_pool.check_server()
        except TimeoutError:
            return ServerState.UNREACHABLE

    def _check_pause(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self._notices.may_send(self.entry.start, now):
            raise HttpError(f"{self.entry.id} requested a pause", False)

    def _record_notice(
        self, status: int, headers: HeaderList, sent_at: float | None = None
    ) -> None:
        """Record what the engine says about itself.

        Only a response to a request, sent at ``sent_at``, shows that the engine names no limit.
        """
        start, now = self.entry.start, asyncio.get_running_loop().time()
        notice = parse_notice(start.id, status, headers)
        if notice.is_leaving and self._notices.record_leaving((start,), now):
            logger.bind(engine=start.id, incarnation=start.incarnation).info("engine is leaving")
            self.on_leaving(start)
        if notice.pause_seconds is not None:
            self._notices.record_pause(start, notice.pause_seconds, now)
            logger.bind(engine=start.id, seconds=notice.pause_seconds).info("engine paused")
        self._record_limit(notice, sent_at, now)

    def _record_limit(self, notice: EngineNotice, sent_at: float | None, now: float) -> None:
        """Record the limit that a response names, or that it names none; a garbled one is ignored.

        The engine still needs a limit then, so the one before stays in force.
        """
        if notice.names_limit and notice.limit is None:
            logger.bind(engine=self.entry.id).warning("invalid limit ignored")
            return
        if notice.limit is None and (sent_at is None or notice.is_of_other):
            return
        changed = self._limits.record_response(
            self.entry.start, notice.limit, sent_at if sent_at is not None else now, now
        )
        if changed is not None:
            self.on_limit(changed)

    def _start_probe_if_due(self) -> str:
        """Return an id for an exchange, which is made the circuit's probe if one is due."""
        now = asyncio.get_running_loop().time()
        probe = f"{self.entry.id} at {now}"
        if self._circuits.state(self.entry.id, now) is CircuitState.PROBE_DUE:
            self._circuits.begin_probe(self.entry.id, probe, now)
        return probe

    def _record_failure(self, error: HttpError) -> None:
        """Record a failure, which opens the circuit at once if nothing was written.

        It is opened at once also if the engine sends without end.
        """
        if isinstance(error, PathLostError):
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


class EngineLinks:
    """Links to all listed engines.

    ``opened_connections`` counts all connections opened to engines, ``oversized_responses`` their
    responses that were cut off for their size.

    Parameters
    ----------
    fleet
        The list of engines.
    limits
        Limits of requests that engines name.
    contact
        Whether engines are reached.
    paths
        Opens connections to engines, directly or through peers.
    """

    def __init__(
        self, fleet: Fleet, limits: EngineLimits, contact: EngineContact, paths: EnginePaths
    ) -> None:
        self._fleet = fleet
        self.limits = limits
        self.contact = contact
        self._paths = paths
        self.on_limit: list[Callable[[LimitNotice], None]] = []
        self.circuits = Circuits(CIRCUIT_LIMITS)
        self.on_leaving: list[Callable[[EngineStart], None]] = []
        self.opened_connections = 0
        self.oversized_responses = 0
        self._link_by_id: dict[str, EngineLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        fleet.on_engines_changed.append(self._drop_stale_links)
        paths.on_cut.append(self._handle_cut)

    def links(self) -> Collection[EngineLink]:
        """Return the links that are in use."""
        return self._link_by_id.values()

    def link_to(self, entry: EngineEntry) -> EngineLink:
        """Return the link to an engine; a link to an earlier start of the engine is replaced."""
        link = self._link_by_id.get(entry.id)
        if link is None or not _is_same_start(link.entry, entry):
            if link is not None:
                link.close()
            link = EngineLink(
                entry,
                self.circuits,
                self._fleet.notices,
                self.limits,
                self.contact,
                self._count_opened,
                self._count_oversized,
                self._paths,
            )
            link.on_leaving = self._report_leaving
            link.on_limit = self._report_limit
            self._link_by_id[entry.id] = link
        return link

    def is_circuit_open(self, engine: str, now: float) -> bool:
        """Return whether an engine's circuit is open and no probe is due."""
        state = self.circuits.state(engine, now)
        return state in (CircuitState.WAITING, CircuitState.PROBING)

    def call_in_background(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        """Make a call in the background, such as freeing memory; failures are only logged."""
        task = asyncio.get_running_loop().create_task(self._call_and_log(link, call, purpose))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Close every link."""
        for link in self._link_by_id.values():
            link.close()

    def _handle_cut(self, engine: str) -> None:
        """Use an engine through peers: what its own connections showed counts no more."""
        self.circuits.succeeded(engine)
        link = self._link_by_id.get(engine)
        if link is not None:
            link.drop_direct_connections()

    def _report_leaving(self, start: EngineStart) -> None:
        for callback in self.on_leaving:
            callback(start)

    def _report_limit(self, notice: LimitNotice) -> None:
        for callback in self.on_limit:
            callback(notice)

    def _count_opened(self) -> None:
        self.opened_connections += 1

    def _count_oversized(self) -> None:
        self.oversized_responses += 1

    def _drop_stale_links(self) -> None:
        entry_by_id = {entry.id: entry for entry in self._fleet.engines()}
        self.limits.forget_others([entry.start for entry in entry_by_id.values()])
        for engine_id, link in tuple(self._link_by_id.items()):
            entry = entry_by_id.get(engine_id)
            if entry is None or not _is_same_start(link.entry, entry):
                del self._link_by_id[engine_id]
                self.circuits.succeeded(engine_id)
                self.contact.forget(engine_id)
                link.close()

    async def _call_and_log(self, link: EngineLink, call: EngineCall, purpose: str) -> None:
        try:
            await link.call(call)
        except HttpError as error:
            logger.bind(engine=link.entry.id, purpose=purpose, error=str(error)).info(
                "background call failed"
            )


def _is_same_start(one: EngineEntry, other: EngineEntry) -> bool:
    return (one.id, one.incarnation, one.address) == (other.id, other.incarnation, other.address)
