"""Reading the configuration's log for a VM, as a long poll while it is the reader."""

import asyncio
from collections.abc import Callable

from pimentoquay.configuration.keeper import Keeper
from pimentoquay.configuration.places import Place
from pimentoquay.configuration.publish import STREAM
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.services.base import LogClient

__all__ = ["LogReader"]

IDLE_SECONDS = 0.1
MAX_PATIENCE_RANKS = 4
GATHER_SECONDS = 0.5
"""The shortest time between two reads that bring changes, unless a publisher here waits."""


class LogReader:
    """Feeds a keeper with pages of the log.

    The reader of the data centre reads always. Any other VM reads while it publishes, while it
    is not ready although it has a state, and when no peer gave it a state in time.
    """

    def __init__(
        self,
        node: Node,
        log: LogClient,
        section: ConfigurationSection,
        keeper: Keeper,
        on_advance: Callable[[], None],
    ) -> None:
        self._node = node
        self._log = log
        self._section = section
        self._keeper = keeper
        self._on_advance = on_advance
        self._started_at = 0.0
        self._place: Place | None = None
        self._readers_wanted = 0
        self._wake = asyncio.Event()

    @property
    def place(self) -> Place | None:
        """The place of this VM in the order of readers, once it is known."""
        return self._place

    @place.setter
    def place(self, place: Place | None) -> None:
        self._place = place
        self._wake.set()

    @property
    def readers_wanted(self) -> int:
        """How many publishers of this VM wait for the log to be read."""
        return self._readers_wanted

    @readers_wanted.setter
    def readers_wanted(self, count: int) -> None:
        self._readers_wanted = count
        self._wake.set()

    async def run(self) -> None:
        """Read for ever."""
        self._started_at = self._node.clock.now()
        while True:
            if not self._is_reading():
                await self._idle()
                continue
            await self._read_once()

    async def _idle(self) -> None:
        if self._keeper.is_ready:
            # Only a new place or a publisher of this VM can start it.
            self._wake.clear()
            await self._wake.wait()
        else:
            await self._node.timers.sleep(IDLE_SECONDS)

    async def _read_once(self) -> None:
        wait = self._section.log_wait if self._keeper.is_ready else 0.0
        position, started = self._keeper.log_position, self._node.clock.now()
        was_down, offset = self._keeper.is_log_down, self._keeper.offset
        try:
            async with asyncio.timeout(wait + self._section.log_timeout):
                page = await self._log.read(STREAM, position, wait)
        except (PimentoquayError, OSError, TimeoutError) as error:
            self._keeper.take_log_failure()
            self._on_advance()
            if not was_down:
                logger.bind(error=repr(error)).warning("the configuration's log is down")
                self._node.timeline.record("configuration-log-down", detail=repr(error))
            await self._node.timers.sleep(self._section.log_retry)
            return
        if was_down:
            logger.info("the configuration's log is up again")
            self._node.timeline.record("configuration-log-up")
        self._keeper.take_page(page)
        self._on_advance()
        if page.records and wait > 0.0 and self._readers_wanted == 0:
            # In a burst each read then brings several changes; a lone one is read at once.
            await self._node.timers.sleep(started + GATHER_SECONDS - self._node.clock.now())
        if not page.records and (wait == 0.0 or self._keeper.offset > offset):
            await self._node.timers.sleep(IDLE_SECONDS)

    def _is_reading(self) -> bool:
        if self.readers_wanted > 0 or (self.place is not None and self.place.is_reader):
            return True
        if self._keeper.is_ready:
            return False
        if self._keeper.state is not None:
            return True
        rank = self.place.reader_rank if self.place is not None else MAX_PATIENCE_RANKS
        patience = self._section.peer_patience * min(rank, MAX_PATIENCE_RANKS)
        return self._node.clock.now() - self._started_at >= patience
