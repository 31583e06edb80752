"""Writing checkpoints before the log's retention removes a workspace that is in force.

The readers of all data centres are ranked. The first one writes when the newest checkpoint reaches
its maximum age, each further one a quarter of that age later. So when a data centre is cut off from
the log, another one takes over without any coordination.
"""

import asyncio
import math
from collections.abc import Callable

from pimentoquay.configuration.checkpoint import checkpoint_parts
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.publish import STREAM
from pimentoquay.configuration.ranks import VmRanks
from pimentoquay.configuration.replica import ConfigurationReplica
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.services.base import LogClient

__all__ = ["CheckpointWriter"]

RANK_DELAY_FRACTION = 0.25
"""Extra age at which each further data centre writes, as a fraction of the maximum age."""

CHECKS_PER_AGE_LIMIT = 20
"""Number of times that a checkpoint's age is checked before it reaches the maximum age."""

MAX_CHECK_SECONDS = 60.0
"""Maximum time between two checks."""

LOG_BASE_STEP = 1 << 20
"""Log bases are multiples of this, so that all readers that may write one choose the same.

A log that was reset counts its records from 0 again; its base is added to those offsets.
"""

RESET_CHECK_SECONDS = 1.0
"""Time between two checks while the log is reset and has no new base yet."""

RESET_WAIT_SECONDS = 5.0
"""Time that a reader gives its peers to send newer changes before it writes a new log base.

Each ``checkpoint_rank`` of its data centre adds the same time again.
"""

GAP_WAIT_SECONDS = 20.0
"""Time that a reader waits for a peer with the records that the log has dropped by retention.

Each ``checkpoint_rank`` of its data centre adds the same time again.
"""


class CheckpointWriter:
    """Appends checkpoints to the log while this VM is the reader of its data centre.

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
    ranks
        Returns the ``VmRanks`` of this VM, ``None`` before the first cluster view.
    """

    def __init__(
        self,
        node: Node,
        log: LogClient,
        section: ConfigurationSection,
        replica: ConfigurationReplica,
        ranks: Callable[[], VmRanks | None],
    ) -> None:
        self._node = node
        self._log = log
        self._section = section
        self._replica = replica
        self._ranks = ranks
        self._max_age_seconds = section.log_retention * section.checkpoint_fraction
        self._checkpoint_written_at = -math.inf
        self._checkpoint_log_offset = -2
        self._behind_since: float | None = None
        self._wake_up = asyncio.Event()
        self._checkpoint_count = 0

    async def run(self) -> None:
        """Check the age of the newest checkpoint and write one when due, until cancelled."""
        period = min(MAX_CHECK_SECONDS, self._max_age_seconds / CHECKS_PER_AGE_LIMIT)
        while True:
            await self._wait(RESET_CHECK_SECONDS if self._replica.is_log_reset else period)
            ranks = self._ranks()
            if ranks is None or not ranks.is_reader or not self._replica.is_ready:
                continue
            try:
                async with asyncio.timeout(self._max_age_seconds):
                    await self._run_check(ranks)
            except (PimentoquayError, OSError, TimeoutError) as error:
                logger.bind(error=repr(error)).warning("failed to write a checkpoint")

    def schedule_check(self) -> None:
        """Schedule an early check, because the log was reset."""
        if self._behind_since is None:
            self._behind_since = self._node.clock.now()
            self._node.timers.after(RESET_CHECK_SECONDS, self._wake_up.set)

    async def _wait(self, seconds: float) -> None:
        self._wake_up.clear()
        subscription = self._node.timers.after(seconds, self._wake_up.set)
        await self._wake_up.wait()
        subscription.cancel()

    async def _run_check(self, ranks: VmRanks) -> None:
        if self._replica.is_log_reset:
            await self._check_reset_log(ranks)
            return
        if self._skip_gap_if_lost(ranks):
            await self._write()
            return
        max_age = self._max_age_seconds * (1 + RANK_DELAY_FRACTION * ranks.checkpoint_rank)
        if self._replica.is_behind_log or await self._checkpoint_age(max_age) < max_age:
            return
        await self._write()

    async def _check_reset_log(self, ranks: VmRanks) -> None:
        """Write a checkpoint with a new log base, once peers had time to send newer changes."""
        now = self._node.clock.now()
        if self._behind_since is None:
            self._behind_since = now
        wait_seconds = RESET_WAIT_SECONDS * (1 + ranks.checkpoint_rank)
        replica = self._replica
        if now - self._behind_since < wait_seconds or replica.best_reported_offset > replica.offset:
            return
        self._behind_since = None
        state = replica.state
        assert state is not None
        base = (state.offset // LOG_BASE_STEP + 1) * LOG_BASE_STEP
        logger.bind(log_base=base).warning("the log has started anew")
        self._node.timeline.record("configuration-log-anew", detail=f"goes on at offset {base}")
        await self.write(state.with_log_base(base))

    async def _checkpoint_age(self, max_age: float) -> float:
        """Return the age of the newest checkpoint in seconds, infinite if the log dropped it."""
        state = self._replica.state
        assert state is not None
        offset = max(state.checkpoint_offset - state.log_base, 0)
        age = self._node.clock.now() - self._checkpoint_written_at
        if self._checkpoint_log_offset == offset and age < max_age:
            return age
        page = await self._log.read(STREAM, offset, 0.0)
        if page.first_offset > offset:
            return math.inf
        age = page.records[0].age if page.records else 0.0
        self._checkpoint_log_offset, self._checkpoint_written_at = (
            offset,
            self._node.clock.now() - age,
        )
        return age

    def _skip_gap_if_lost(self, ranks: VmRanks) -> bool:
        now = self._node.clock.now()
        if not self._replica.is_behind_log:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        wait_seconds = GAP_WAIT_SECONDS * (1 + ranks.checkpoint_rank)
        if now - self._behind_since < wait_seconds:
            return False
        if self._replica.best_reported_offset > self._replica.offset:
            return False
        logger.warning(
            "log has dropped records that no reachable peer holds; continuing without them"
        )
        self._node.timeline.record("configuration-gap-skipped", detail=str(self._replica.offset))
        self._replica.skip_gap()
        return True

    async def _write(self) -> None:
        state = self._replica.state
        assert state is not None
        await self.write(state)

    async def write(self, state: ConfigurationState) -> None:
        """Append a checkpoint of a state; errors of the log client are raised unchanged."""
        identity = self._node.identity
        self._checkpoint_count += 1
        generation = f"{identity.vm}/{identity.incarnation}/{self._checkpoint_count}"
        parts = checkpoint_parts(state, generation, self._section.checkpoint_part_bytes)
        for part in parts:
            await self._log.append(STREAM, part)
            await self._node.timers.sleep(1.0 / self._section.checkpoint_rate)
        self._node.timeline.record("configuration-checkpoint", detail=f"{len(parts)} parts")
