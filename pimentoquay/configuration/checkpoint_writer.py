"""Writing checkpoints in time, so that the log never forgets a workspace in force.

The readers of all data centres stand in one order. The first one writes when the newest
checkpoint has reached the age limit, each further one a quarter of the limit later, so that a
data centre that is cut off from the log needs no replacement to be agreed on.
"""

import asyncio
import math
from collections.abc import Callable

from pimentoquay.configuration.checkpoint import checkpoint_parts
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.keeper import Keeper
from pimentoquay.configuration.places import Place
from pimentoquay.configuration.publish import STREAM
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.services.base import LogClient

__all__ = ["CheckpointWriter"]

RANK_SHARE = 0.25
"""How much later each further data centre writes, as a share of the age limit."""

LOOKS_PER_LIMIT = 20
MAX_LOOK_SECONDS = 60.0
ANEW_STEP = 1 << 20
"""Offsets go on at the next multiple of this on a log that has started anew, so that all readers
that could write this down choose the same."""

HURRY_SECONDS = 1.0
ANEW_PATIENCE_SECONDS = 5.0
"""How long a reader waits for what its peers hold before it writes down where the log goes on."""

GAP_PATIENCE_SECONDS = 20.0
"""How long a reader that lost records to the log's retention waits for a peer that has them."""


class CheckpointWriter:
    """Appends checkpoints while its VM reads the log for its data centre."""

    def __init__(
        self,
        node: Node,
        log: LogClient,
        section: ConfigurationSection,
        keeper: Keeper,
        place: Callable[[], Place | None],
    ) -> None:
        self._node = node
        self._log = log
        self._section = section
        self._keeper = keeper
        self._place = place
        self._limit = section.log_retention * section.checkpoint_fraction
        self._taken_at = -math.inf
        self._taken_offset = -2
        self._behind_since: float | None = None
        self._due = asyncio.Event()
        self._generations = 0

    async def run(self) -> None:
        """Look at the newest checkpoint's age for ever, and write where it is due."""
        period = min(MAX_LOOK_SECONDS, self._limit / LOOKS_PER_LIMIT)
        while True:
            await self._wait(HURRY_SECONDS if self._keeper.is_log_anew else period)
            place = self._place()
            if place is None or not place.is_reader or not self._keeper.is_ready:
                continue
            try:
                async with asyncio.timeout(self._limit):
                    await self._look(place)
            except (PimentoquayError, OSError, TimeoutError) as error:
                logger.bind(error=repr(error)).warning("no checkpoint written")

    def hurry(self) -> None:
        """Look soon, because the log has started anew."""
        if self._behind_since is None:
            self._behind_since = self._node.clock.now()
            self._node.timers.after(HURRY_SECONDS, self._due.set)

    async def _wait(self, seconds: float) -> None:
        self._due.clear()
        subscription = self._node.timers.after(seconds, self._due.set)
        await self._due.wait()
        subscription.cancel()

    async def _look(self, place: Place) -> None:
        if self._keeper.is_log_anew:
            await self._look_anew(place)
            return
        if self._skips_gap(place):
            await self._write()
            return
        allowed = self._limit * (1 + RANK_SHARE * place.checkpoint_rank)
        if self._keeper.is_behind_log or await self._age(allowed) < allowed:
            return
        await self._write()

    async def _look_anew(self, place: Place) -> None:
        """Tell all readers where a log that has started anew goes on, once peers had their time."""
        now = self._node.clock.now()
        if self._behind_since is None:
            self._behind_since = now
        patience = ANEW_PATIENCE_SECONDS * (1 + place.checkpoint_rank)
        keeper = self._keeper
        if now - self._behind_since < patience or keeper.best_reported_offset > keeper.offset:
            return
        self._behind_since = None
        state = keeper.state
        assert state is not None
        base = (state.offset // ANEW_STEP + 1) * ANEW_STEP
        logger.bind(log_base=base).warning("the log has started anew")
        self._node.timeline.record("configuration-log-anew", detail=f"goes on at offset {base}")
        await self.write(state.moved_to(base))

    async def _age(self, allowed: float) -> float:
        """Return the age of the newest checkpoint in seconds, infinite if it is not kept."""
        state = self._keeper.state
        assert state is not None
        offset = max(state.checkpoint_offset - state.log_base, 0)
        age = self._node.clock.now() - self._taken_at
        if self._taken_offset == offset and age < allowed:
            return age
        page = await self._log.read(STREAM, offset, 0.0)
        if page.first_offset > offset:
            return math.inf
        age = page.records[0].age if page.records else 0.0
        self._taken_offset, self._taken_at = offset, self._node.clock.now() - age
        return age

    def _skips_gap(self, place: Place) -> bool:
        now = self._node.clock.now()
        if not self._keeper.is_behind_log:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        patience = GAP_PATIENCE_SECONDS * (1 + place.checkpoint_rank)
        if now - self._behind_since < patience:
            return False
        if self._keeper.best_reported_offset > self._keeper.offset:
            return False
        logger.warning("the log has dropped records that no peer in reach has seen")
        self._node.timeline.record("configuration-gap-skipped", detail=str(self._keeper.offset))
        self._keeper.skip_gap()
        return True

    async def _write(self) -> None:
        state = self._keeper.state
        assert state is not None
        await self.write(state)

    async def write(self, state: ConfigurationState) -> None:
        """Append a checkpoint of a state; raises what the log's ``append`` raises."""
        identity = self._node.identity
        self._generations += 1
        generation = f"{identity.vm}/{identity.incarnation}/{self._generations}"
        parts = checkpoint_parts(state, generation, self._section.checkpoint_part_bytes)
        for part in parts:
            await self._log.append(STREAM, part)
            await self._node.timers.sleep(1.0 / self._section.checkpoint_rate)
        self._node.timeline.record("configuration-checkpoint", detail=f"{len(parts)} parts")
