"""Calls to the engines of owned shards: status polls, cache events and cancellations."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from pimentoquay.backends.base import EngineClient, EngineStatus
from pimentoquay.backends.events import EngineIdle
from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.cluster import Member
from pimentoquay.policy.engines import EngineLoad
from pimentoquay.scheduler.cache_reader import CacheReader
from pimentoquay.scheduler.settings import SchedulerSection
from pimentoquay.scheduler.shard import ShardScheduler
from pimentoquay.scheduler.status_polling import StatusPollInterval
from pimentoquay.scheduler.sweep import Cancellation, sweep

__all__ = ["EngineWatch"]

ENGINE_CALL_SECONDS = 0.5
"""Timeout of a status request, a cancellation or a read of cache events, in seconds."""


class EngineWatch:
    """Polls each engine in a task of its own and passes its reports to its scheduler.

    Parameters
    ----------
    node
        The control process.
    connect
        Returns the client of an engine.
    section
        The ``[scheduler]`` settings.
    scheduler_by_shard
        Schedulers of the owned shards; the scheduler part adds and removes them.
    flush
        Sends the messages that the schedulers have queued.
    start_task
        Runs a coroutine as a background task.
    """

    def __init__(
        self,
        node: Node,
        connect: Callable[[Member], EngineClient],
        section: SchedulerSection,
        scheduler_by_shard: dict[str, ShardScheduler],
        flush: Callable[[], None],
        start_task: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._node = node
        self._connect = connect
        self._section = section
        self._scheduler_by_shard = scheduler_by_shard
        self._flush = flush
        self._start_task = start_task
        self._task_by_engine: dict[str, asyncio.Task[None]] = {}
        self._client_by_engine: dict[str, EngineClient] = {}

    def follow(self) -> None:
        """Start and stop polling tasks so that exactly the engines of owned shards are polled."""
        member_by_name = {
            member.name: member
            for scheduler in self._scheduler_by_shard.values()
            for member in scheduler.shard.engines
        }
        for name in sorted(set(self._task_by_engine) - set(member_by_name)):
            self._task_by_engine.pop(name).cancel()
            self._client_by_engine.pop(name, None)
        for name, member in member_by_name.items():
            if name not in self._task_by_engine:
                self._client_by_engine[name] = self._connect(member)
                task = asyncio.get_running_loop().create_task(self._poll(member))
                self._task_by_engine[name] = task

    def stop(self) -> None:
        """Cancel every polling task."""
        for task in self._task_by_engine.values():
            task.cancel()

    async def has_reader(self, engine: str, request_id: str) -> bool:
        """Return whether an engine reports a reader of a request's stream.

        It returns false if the engine cannot be reached.
        """
        client = self._client_by_engine.get(engine)
        if client is None:
            return False
        try:
            async with asyncio.timeout(ENGINE_CALL_SECONDS):
                status = await client.status()
        except (PimentoquayError, OSError, TimeoutError):
            return False
        return any(item.request_id == request_id and item.has_reader for item in status.running)

    async def cancel(self, cancellation: Cancellation) -> None:
        """Cancel an attempt on an engine.

        A failure is only logged, because the next sweep finds the attempt again.
        """
        client = self._client_by_engine.get(cancellation.engine)
        if client is None:
            return
        try:
            async with asyncio.timeout(ENGINE_CALL_SECONDS):
                await client.cancel(cancellation.request_id, cancellation.attempt)
        except (PimentoquayError, OSError, TimeoutError) as error:
            logger.bind(engine=cancellation.engine).info(
                f"could not cancel a request on an engine: {error}"
            )

    async def _poll(self, member: Member) -> None:
        client = self._client_by_engine[member.name]
        poll_interval = StatusPollInterval(
            self._section.status_period, self._section.quiet_status_period
        )
        cache = CacheReader(self._section.cache_event_period)
        while True:
            try:
                async with asyncio.timeout(ENGINE_CALL_SECONDS):
                    status = await client.status()
            except (PimentoquayError, OSError, TimeoutError):
                self._mark_unreachable(member.name)
                cache.reset()
                wait = poll_interval.after_failure()
            else:
                was_swept = self._apply_status(status)
                wait = poll_interval.after_report(self._load_of(member.name), was_swept)
                if self._is_draining(member.name):
                    wait = min(wait, self._section.status_period)
                await self._read_cache(member.name, client, cache)
            self._flush()
            await self._node.timers.sleep(wait)

    async def _read_cache(self, engine: str, client: EngineClient, cache: CacheReader) -> None:
        """Add an engine's cache events to the prefix index.

        A failure is only logged, because prefill reports also update the index.
        """
        now = self._node.clock.now()
        if not self._section.prefixes or not cache.is_due(now):
            return
        try:
            async with asyncio.timeout(ENGINE_CALL_SECONDS):
                events = await cache.read(client, now)
        except (PimentoquayError, OSError, TimeoutError) as error:
            logger.bind(engine=engine).info(f"could not read cache events: {error}")
            return
        for scheduler in self._scheduler_by_shard.values():
            if engine in scheduler.ledger.engine_by_name:
                scheduler.prefixes.apply_events(engine, events)

    def _is_draining(self, engine: str) -> bool:
        return any(item.engines.is_draining(engine) for item in self._scheduler_by_shard.values())

    def _load_of(self, engine: str) -> EngineLoad | None:
        for scheduler in self._scheduler_by_shard.values():
            if engine in scheduler.ledger.engine_by_name:
                return scheduler.ledger.engine_by_name[engine]
        return None

    def _mark_unreachable(self, name: str) -> None:
        for scheduler in self._scheduler_by_shard.values():
            scheduler.engines.mark_unreachable(name)
            scheduler.prefixes.forget_engine(name)

    def _apply_status(self, status: EngineStatus) -> bool:
        """Apply a status report to the ledger; return whether it led to a correction."""
        was_swept = False
        self._node.bus.publish(status)
        now = self._node.clock.now()
        for scheduler in self._scheduler_by_shard.values():
            if status.engine not in scheduler.ledger.engine_by_name:
                continue
            scheduler.engines.update_status(status)
            result = sweep(scheduler.ledger, status, self._section.sweep_grace, now)
            for request_id in result.lost:
                scheduler.drop(request_id, now)
            for cancellation in result.cancellations:
                self._start_task(self.cancel(cancellation))
            if scheduler.engines.is_drained(status, now):
                self._node.bus.publish(EngineIdle(status.engine))
            was_swept = was_swept or bool(result.lost or result.cancellations)
            scheduler.dispatch(now)
        return was_swept
