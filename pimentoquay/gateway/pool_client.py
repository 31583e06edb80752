"""Client of the coordinators of pools: asks them to place streams, and reports what runs here."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.job import Job
from pimentoquay.gateway.peer_loads import engine_runs, engine_tokens, stage_work, vm_work
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_classes import class_message
from pimentoquay.gateway.stream_refusals import refuse_if_paused
from pimentoquay.kernel import Node, RefusedError, ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.pools import (
    PlaceCancelled,
    PlaceOutcome,
    PlaceReply,
    PlaceRequest,
    PoolKey,
    PoolReport,
    PoolSummary,
)
from pimentoquay.policy.memory_forecast import GrowingRun, MemoryNeed
from pimentoquay.policy.pools import PoolState, choose_pool
from pimentoquay.policy.prefill_choice import can_prefill_on_decode_engine
from pimentoquay.policy.stream_admission import StreamTimes
from pimentoquay.policy.version_choice import decode_share

__all__ = ["PoolClient", "PoolGrant", "StreamToPlace"]

FIRST_REPLY_SECONDS = 0.15
"""Timeout of the first reply to a request, which usually arrives within some milliseconds."""

REPEAT_SECONDS = 0.5
"""Interval at which the request of a waiting stream is repeated, so that it keeps its place."""

MAX_MISSES = 2
"""Requests without a reply after which another pool is asked."""

AVOID_SECONDS = 1.0
"""Time for which a pool whose coordinator has not replied is avoided."""

SUMMARY_VALID_SECONDS = 1.5
"""Time for which a summary is used; coordinators send one every 0.25 s."""

COALESCE_SECONDS = 0.02
"""Time for which changes are collected before they are reported."""

REPORT_SECONDS = 0.8
"""Interval of reports to the pools in which streams of this gateway run."""


@dataclass(frozen=True)
class PoolGrant:
    """Engines that a coordinator has granted; see ``messages.pools.PlaceReply``."""

    key: PoolKey
    coordinator: str
    engine: str
    prefill_engine: str
    number: int
    is_exact: bool


@dataclass(frozen=True)
class StreamToPlace:
    """One run of a job's stream; ``key`` identifies it in all requests to place it.

    ``software`` is the version that began it, or empty if none has.
    """

    key: str
    job: Job
    need: MemoryNeed
    run: GrowingRun
    times: StreamTimes
    software: str = ""


@dataclass
class _KnownPool:
    """Newest summary of a pool, and what this gateway has reported to its coordinator."""

    summary: PoolSummary
    received_at: float
    avoided_until: float = 0.0


class PoolClient:
    """Asks coordinators for engines and reports this gateway's streams to them.

    ``is_active`` is true in deployments with relays.

    Parameters
    ----------
    node, shared
        The process, and the engines, ledgers and demand of this gateway.
    coordinator_of
        Returns the VM that coordinates a pool.
    send_to
        Sends a message to a VM.
    """

    def __init__(
        self,
        node: Node,
        shared: SharedState,
        coordinator_of: Callable[[PoolKey], str | None],
        send_to: Callable[[str, Any], None],
    ) -> None:
        self._node = node
        self._shared = shared
        self._coordinator_of = coordinator_of
        self._send_to = send_to
        self._known_by_key: dict[PoolKey, _KnownPool] = {}
        self._number_by_sender: dict[tuple[PoolKey, str], tuple[int, int]] = {}
        self._replies_by_key: dict[str, asyncio.Queue[tuple[str, PlaceReply]]] = {}
        self._last_grant_by_pool: dict[PoolKey, tuple[str, int]] = {}
        self._reported_pools: set[PoolKey] = set()
        self._numbers = itertools.count(1)
        self._report_numbers = itertools.count(1)
        self._is_report_due = False
        self._finished = 0
        self._finished_seconds = 0.0
        self.is_active = False

    def start(self) -> None:
        """Begin to report at intervals."""
        self._node.timers.every(REPORT_SECONDS, self._report)

    @property
    def expected_tokens(self) -> int:
        """Expected final size of all streams in all pools, in tokens."""
        return sum(each.summary.expected for each in self._known_by_key.values())

    @singledispatchmethod
    def receive(self, message: Any, source: str) -> None:
        """Handle a message of a coordinator; those of other types are not for a client."""

    @receive.register
    def _handle_reply(self, message: PlaceReply, source: str) -> None:
        replies = self._replies_by_key.get(message.key)
        if replies is not None:
            replies.put_nowait((source, message))
        elif message.outcome is PlaceOutcome.GRANTED:
            self._send_to(source, PlaceCancelled(message.key, message.pool))

    def receive_summary(self, message: PoolSummary) -> bool:
        """Apply a summary; return whether it is newer than the known one."""
        key = message.pool
        known = self._known_by_key.get(key)
        now = self._node.timers.now()
        number = message.incarnation, message.number
        if number <= self._number_by_sender.get((key, message.vm), (-1, -1)):
            return False
        self._number_by_sender[key, message.vm] = number
        avoided_until = known.avoided_until if known is not None else 0.0
        self._known_by_key[key] = _KnownPool(message, now, avoided_until)
        self._shared.demand.set_peer(str(key), stage_work(message.work))
        return True

    def stream_to_place(
        self, job: Job, need: MemoryNeed, run: GrowingRun, times: StreamTimes, software: str
    ) -> StreamToPlace:
        """Return one run of a job's stream, with a key of its own."""
        key = f"{job.caller.id} {next(self._numbers)}"
        return StreamToPlace(key, job, need, run, times, software)

    async def place(self, stream: StreamToPlace, full_engine: str = "") -> PoolGrant | None:
        """Ask for engines for a stream, waiting for them; ``None`` if no coordinator replies.

        Called again with the same stream and the granted engine if that engine had no memory.

        Raises
        ------
        RefusedError
            If the coordinator refuses the stream.
        """
        avoided: set[PoolKey] = set()
        while True:
            key = self._choose(stream, avoided)
            if key is None:
                return None
            try:
                async with asyncio.timeout_at(stream.times.leaves_at):
                    source, reply = await self._ask(stream, key, full_engine)
            except TimeoutError:
                raise RefusedError(
                    ResultCode.DEADLINE_UNREACHABLE, "no memory became free in time", REPEAT_SECONDS
                ) from None
            if reply is None and not self._share_of(key, stream):
                continue  # The pool has lost the version while the stream waited there.
            if reply is None:
                avoided.add(key)
                self._avoid(key)
            elif reply.outcome is PlaceOutcome.REFUSED:
                detail = f"pool {key.data_centre} {key.index} is full"
                raise RefusedError(ResultCode.QUEUE_FULL, detail, reply.seconds)
            else:
                return PoolGrant(
                    key,
                    source,
                    reply.engine,
                    reply.prefill_engine,
                    reply.grant,
                    reply.is_exact,
                )

    def confirm(self, grant: PoolGrant) -> None:
        """Let reports contain a grant; called once its stream is in the run ledger."""
        vm, number = self._last_grant_by_pool.get(grant.key, ("", 0))
        number = max(number, grant.number) if vm == grant.coordinator else grant.number
        self._last_grant_by_pool[grant.key] = (grant.coordinator, number)
        self.schedule_report()

    def record_finished(self, seconds: float) -> None:
        """Record that a stream has ended after ``seconds``."""
        self._finished += 1
        self._finished_seconds += seconds

    def schedule_report(self) -> None:
        """Report the changed streams after a short collection time."""
        if self.is_active and not self._is_report_due:
            self._is_report_due = True
            self._node.timers.after(COALESCE_SECONDS, self._report)

    def _choose(self, stream: StreamToPlace, avoided: set[PoolKey]) -> PoolKey | None:
        job, need = stream.job, stream.need
        now = self._node.timers.now()
        state_by_key = {}
        for key, members in self._shared.fleet.pools(job.service).items():
            known = self._known_by_key.get(key)
            if known is None or now < known.avoided_until:
                continue
            share = decode_share(members, stream.software)
            if share and now - known.received_at <= SUMMARY_VALID_SECONDS:
                each = known.summary
                state_by_key[key] = PoolState(
                    each.capacity, each.free, each.largest_free, each.waiting
                ).part(share)
        data_centre = self._shared.placer.data_centre
        return choose_pool(state_by_key, data_centre, need.tokens, job.caller.id, avoided)

    def _share_of(self, key: PoolKey, stream: StreamToPlace) -> float:
        """Return the share of a pool's decode engines that may run a stream."""
        members = self._shared.fleet.pools(stream.job.service).get(key, ())
        return decode_share(members, stream.software)

    def _avoid(self, key: PoolKey) -> None:
        logger.bind(pool=str(key)).warning("coordinator does not reply")
        if key in self._known_by_key:
            self._known_by_key[key].avoided_until = self._node.timers.now() + AVOID_SECONDS

    async def _ask(
        self, stream: StreamToPlace, key: PoolKey, full_engine: str
    ) -> tuple[str, PlaceReply | None]:
        """Return the coordinator and its final reply.

        ``None`` in place of the reply if there is none, or if no engine of the pool may run the
        stream any more.
        """
        replies = self._replies_by_key[stream.key] = asyncio.Queue()
        misses, timeout, is_final = 0, FIRST_REPLY_SECONDS, False
        coordinator = source = ""
        try:
            while misses < MAX_MISSES and self._share_of(key, stream):
                self._shared.guard.check(stream.job)
                stream.job.refuse_if_late()
                refuse_if_paused(self._shared, stream.job, stream.software)
                coordinator = self._coordinator_of(key) or ""
                if (told := class_message(stream.job, stream.key, key)) is not None:
                    self._send_to(coordinator, told)
                self._send_to(coordinator, self._request(stream, key, full_engine))
                reply: PlaceReply | None = None
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(timeout):
                        while reply is None or reply.outcome is PlaceOutcome.QUEUED:
                            source, reply = await replies.get()
                            timeout = REPEAT_SECONDS
                if reply is None or reply.outcome is PlaceOutcome.NOT_COORDINATOR:
                    misses += 1
                    timeout = FIRST_REPLY_SECONDS
                elif reply.outcome is not PlaceOutcome.QUEUED:
                    is_final = True
                    return source, reply
                full_engine = ""
            return coordinator, None
        finally:
            del self._replies_by_key[stream.key]
            if not is_final and coordinator:
                self._send_to(coordinator, PlaceCancelled(stream.key, key))

    def _request(self, stream: StreamToPlace, key: PoolKey, full_engine: str) -> PlaceRequest:
        now, times = asyncio.get_running_loop().time(), stream.times
        is_short = can_prefill_on_decode_engine(
            stream.need.prompt, self._shared.speed, stream.job.route.gap_seconds
        )
        return PlaceRequest(
            stream.key,
            key,
            stream.run.tokens,
            stream.run.remaining,
            stream.need.tokens,
            stream.need.prompt,
            is_short,
            now - times.arrived_at,
            times.late_at - now,
            times.leaves_at - now,
            full_engine,
            stream.software,
        )

    def _report(self) -> None:
        """Report to the pools in which this gateway has streams, or had some at the last report."""
        self._is_report_due = False
        if not self.is_active:
            return
        ledger, prefills = self._shared.run_ledger, self._shared.prefill_ledger
        now = self._node.timers.now()
        busy = ledger.own(now).keys() | prefills.own().keys()
        if not busy and not self._reported_pools:
            return
        engines = self._shared.fleet.engines()
        services = {each.service for each in engines if each.id in busy}
        services.update(key.service for key in self._reported_pools)
        pools = [
            pool for each in sorted(services) for pool in self._shared.fleet.pools(each).items()
        ]
        reported = set()
        for key, members in pools:
            ids = {each.id for each in members}
            if ids & busy:
                reported.add(key)
            elif key not in self._reported_pools:
                continue
            coordinator = self._coordinator_of(key)
            if coordinator is not None:
                self._send_to(coordinator, self._report_for(key, ids, coordinator, now))
        self._reported_pools = reported

    def _report_for(
        self, key: PoolKey, engines: set[str], coordinator: str, now: float
    ) -> PoolReport:
        ledger = self._shared.run_ledger
        vm, last_grant = self._last_grant_by_pool.get(key, (coordinator, 0))
        return PoolReport(
            key,
            self._node.identity.incarnation,
            next(self._report_numbers),
            last_grant if vm == coordinator else 0,
            engine_runs(ledger, now, engines),
            engine_tokens(self._shared.prefill_ledger, engines),
            self._finished,
            self._finished_seconds,
            ledger.tokens_per_second,
            vm_work(self._shared.demand.own),
        )
