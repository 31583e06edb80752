"""Long-poll reader of the configuration log."""

import asyncio
from collections.abc import Callable

from pimentoquay.configuration.publish import STREAM
from pimentoquay.configuration.ranks import VmRanks
from pimentoquay.configuration.replica import ConfigurationReplica
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.services.base import LogClient

__all__ = ["LogReader"]

IDLE_SECONDS = 0.1
"""Time between two polls while there is nothing to read, or this VM may not read yet."""

MAX_WAIT_RANKS = 4
"""Maximum rank that counts for the wait before a VM without a configuration reads the log.

The wait, in which a peer may send a configuration, is ``peer_patience`` seconds per rank.
"""

MIN_READ_INTERVAL_SECONDS = 0.5
"""Minimum time between two reads that return changes, unless a publisher of this VM waits."""


class LogReader:
    """Applies pages of the log to this VM's copy of the configuration.

    The reader of the data centre always reads. Any other VM reads in three cases: one of its
    publishers waits for an outcome; its copy is not ready for use yet (see
    ``ConfigurationReplica``); or it has no copy, and no peer has sent one in time.

    Parameters
    ----------
    node
        The control process.
    log
        Client of the log service.
    section
        Settings of the configuration part.
    replica
        This VM's copy of the configuration.
    on_advance
        Called after each read, also after a failed one.
    """

    def __init__(
        self,
        node: Node,
        log: LogClient,
        section: ConfigurationSection,
        replica: ConfigurationReplica,
        on_advance: Callable[[], None],
    ) -> None:
        self._node = node
        self._log = log
        self._section = section
        self._replica = replica
        self._on_advance = on_advance
        self._started_at = 0.0
        self._ranks: VmRanks | None = None
        self._waiting_publishers = 0
        self._wake = asyncio.Event()

    @property
    def ranks(self) -> VmRanks | None:
        """Ranks that decide if this VM reads the log; ``None`` before the first cluster view."""
        return self._ranks

    @ranks.setter
    def ranks(self, ranks: VmRanks | None) -> None:
        self._ranks = ranks
        self._wake.set()

    @property
    def waiting_publishers(self) -> int:
        """Number of publishers of this VM that wait for the outcome of a change."""
        return self._waiting_publishers

    @waiting_publishers.setter
    def waiting_publishers(self, count: int) -> None:
        self._waiting_publishers = count
        self._wake.set()

    async def run(self) -> None:
        """Read the log whenever this VM needs to, until cancelled."""
        self._started_at = self._node.clock.now()
        while True:
            if not self._should_read():
                await self._wait_until_needed()
                continue
            await self._read_once()

    async def _wait_until_needed(self) -> None:
        if self._replica.is_ready:
            # Only new ranks or a publisher of this VM make a further read necessary.
            self._wake.clear()
            await self._wake.wait()
        else:
            await self._node.timers.sleep(IDLE_SECONDS)

    async def _read_once(self) -> None:
        wait = self._section.log_wait if self._replica.is_ready else 0.0
        position, started = self._replica.log_position, self._node.clock.now()
        was_down, offset = self._replica.is_log_down, self._replica.offset
        try:
            async with asyncio.timeout(wait + self._section.log_timeout):
                page = await self._log.read(STREAM, position, wait)
        except (PimentoquayError, OSError, TimeoutError) as error:
            self._replica.note_log_failure()
            self._on_advance()
            if not was_down:
                logger.bind(error=repr(error)).warning("configuration log is unavailable")
                self._node.timeline.record("configuration-log-down", detail=repr(error))
            await self._node.timers.sleep(self._section.log_retry)
            return
        if was_down:
            logger.info("configuration log is available again")
            self._node.timeline.record("configuration-log-up")
        self._replica.apply_log_page(page)
        self._on_advance()
        if page.records and wait > 0.0 and self._waiting_publishers == 0:
            # Changes of a burst accumulate during this pause, so that one read returns several.
            # A single change after an idle time has been read without delay.
            await self._node.timers.sleep(
                started + MIN_READ_INTERVAL_SECONDS - self._node.clock.now()
            )
        if not page.records and (wait == 0.0 or self._replica.offset > offset):
            await self._node.timers.sleep(IDLE_SECONDS)

    def _should_read(self) -> bool:
        if self.waiting_publishers > 0 or (self.ranks is not None and self.ranks.is_reader):
            return True
        if self._replica.is_ready:
            return False
        if self._replica.state is not None:
            return True
        rank = self.ranks.reader_rank if self.ranks is not None else MAX_WAIT_RANKS
        peer_wait = self._section.peer_patience * min(rank, MAX_WAIT_RANKS)
        return self._node.clock.now() - self._started_at >= peer_wait
