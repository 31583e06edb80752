"""Polling of the platform's membership list by one VM of each data centre.

The VMs of a data centre are ranked by rendezvous hashing and the first one reads. A VM that fails
to read reports it in its heartbeat and is skipped. If a reader falls silent, the next VM reads as
soon as the last confirmed list is too old.
"""

import asyncio
import math
from collections.abc import Callable

from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.membership.directory import MemberDirectory
from pimentoquay.membership.mesh import rendezvous_order
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.membership import MembershipDelta
from pimentoquay.services.base import MembershipClient

__all__ = ["AGE_UNITS_PER_SECOND", "ListReader"]

EARLY_TOLERANCE_SECONDS = 0.05
"""Time by which a read may start before its poll period has passed."""

TAKEOVER_AGE_PERIODS = 2.3
"""Age of the list, in poll periods, above which the second-ranked VM reads it."""

TAKEOVER_STEP_PERIODS = 0.5
"""Additional age, in poll periods, for each further rank."""

AGE_UNITS_PER_SECOND = 10
"""Resolution of ``Heartbeat.list_age``, in units per second."""

UNKNOWN_AGE = 1e6
"""Age in seconds of a list that was never read."""


class ListReader:
    """Polls the list whenever it is this VM's turn.

    Parameters
    ----------
    node
        The control process.
    client
        Client of the platform's membership list.
    section
        Settings of the membership part.
    directory
        Copy of the list to which updates are applied.
    readable_peers
        Returns the live peers of this data centre that can read the list.
    on_change
        Called with the changes of a newer list.
    on_readable
        Called when reads start to fail or succeed again.
    """

    def __init__(
        self,
        node: Node,
        client: MembershipClient,
        section: MembershipSection,
        directory: MemberDirectory,
        readable_peers: Callable[[], tuple[str, ...]],
        on_change: Callable[[MembershipDelta], None],
        on_readable: Callable[[], None],
    ) -> None:
        self.is_readable = True
        self._node = node
        self._client = client
        self._section = section
        self._directory = directory
        self._readable_peers = readable_peers
        self._on_change = on_change
        self._on_readable = on_readable
        self._confirmed_at = -UNKNOWN_AGE
        self._read_again_at = -UNKNOWN_AGE
        self.has_turn = False
        self._due = asyncio.Event()

    @property
    def age_units(self) -> int:
        """Time since the platform last confirmed this list, in units of ``list_age``."""
        age = self._node.timers.now() - self._confirmed_at
        return math.ceil(min(age, UNKNOWN_AGE) * AGE_UNITS_PER_SECOND)

    def note_confirmed(self, age_units: int) -> None:
        """Record that a peer has the same list, confirmed ``age_units`` ago by the platform."""
        at = self._node.timers.now() - age_units / AGE_UNITS_PER_SECOND
        self._confirmed_at = max(self._confirmed_at, at)

    def tick(self) -> None:
        """Start a read if it is this VM's turn and a poll period has passed since the last one."""
        now = self._node.timers.now()
        # Timer ticks drift, so a tick slightly before the end of the period counts as well.
        if now < self._read_again_at - EARLY_TOLERANCE_SECONDS:
            return
        self.has_turn = self._is_turn()
        if self.has_turn:
            self._read_again_at = now + self._section.poll_period
            self._due.set()

    async def run(self) -> None:
        """Read the list whenever ``tick`` finds it due, until cancelled."""
        while True:
            await self._due.wait()
            self._due.clear()
            await self._read()

    def _is_turn(self) -> bool:
        if not self._directory.is_known:
            return True
        vm = self._node.identity.vm
        key = f"membership-reader:{self._node.identity.data_centre}"
        rank = rendezvous_order(key, {vm, *self._readable_peers()}).index(vm)
        age = (self._node.timers.now() - self._confirmed_at) / self._section.poll_period
        return rank == 0 or age > TAKEOVER_AGE_PERIODS + TAKEOVER_STEP_PERIODS * (rank - 1)

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(self._section.poll_timeout):
                update = await self._client.members()
        except (OSError, TimeoutError, PimentoquayError) as error:
            if not self._directory.is_known:
                logger.warning("cannot read the membership list, this VM is not ready: {}", error)
                self._node.timeline.record("membership-wait", detail=str(error))
            self._note_readable(False)
            return
        self._confirmed_at = self._node.timers.now()
        self._note_readable(True)
        delta = self._directory.apply_update(update)
        if delta is not None:
            self._on_change(delta)

    def _note_readable(self, is_readable: bool) -> None:
        if is_readable != self.is_readable:
            self.is_readable = is_readable
            self._on_readable()
