"""Reads the platform's membership list when it is this VM's turn.

One VM of each data centre reads; the others follow in rendezvous order. A VM that fails to read
says so in its heartbeat and is passed over; a reader that falls silent is replaced once the list
that everybody knows has grown old.
"""

import asyncio
import math
from collections.abc import Callable

from pimentoquay.kernel import Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.membership.directory import MemberDirectory
from pimentoquay.membership.mesh import ranked
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.membership import MembershipDelta
from pimentoquay.services.base import MembershipClient

__all__ = ["AGE_UNITS", "ListReader"]

EARLY_SECONDS = 0.05
"""How much earlier than a period after the last read the next one may begin."""

TAKEOVER_AGE = 2.3
"""Age of the list, in poll periods, at which the second in order starts to read it."""

TAKEOVER_STEP = 0.5
"""Further age, in poll periods, for each later place in the order."""

AGE_UNITS = 10
"""Units of ``Heartbeat.list_age`` in a second."""

UNKNOWN_AGE = 1e6
"""The age in seconds of a list that was never read."""


class ListReader:
    """Takes turns at reading the list.

    Parameters
    ----------
    node, client, section
        The control process, the platform's list and the settings.
    directory
        Where a newer list is put.
    readable_peers
        Returns the live peers of this data centre that can read the list.
    on_change
        Called with what a newer list changed.
    on_readable
        Called when reading starts to fail or to work again.
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
        """How long ago the platform was last known to have given this list, in ``AGE_UNITS``."""
        age = self._node.timers.now() - self._confirmed_at
        return math.ceil(min(age, UNKNOWN_AGE) * AGE_UNITS)

    def confirm(self, age_units: int) -> None:
        """Note that a peer knows the same list and how old that knowledge is."""
        at = self._node.timers.now() - age_units / AGE_UNITS
        self._confirmed_at = max(self._confirmed_at, at)

    def tick(self) -> None:
        """Start a read if it is this VM's turn and a period has passed since the last began."""
        now = self._node.timers.now()
        # The ticks of a timer drift, so one that comes a little early still counts.
        if now < self._read_again_at - EARLY_SECONDS:
            return
        self.has_turn = self._is_turn()
        if self.has_turn:
            self._read_again_at = now + self._section.poll_period
            self._due.set()

    async def run(self) -> None:
        """Read whenever ``tick`` finds it due, until cancelled."""
        while True:
            await self._due.wait()
            self._due.clear()
            await self._read()

    def _is_turn(self) -> bool:
        if not self._directory.is_known:
            return True
        vm = self._node.identity.vm
        key = f"membership-reader:{self._node.identity.data_centre}"
        place = ranked(key, {vm, *self._readable_peers()}).index(vm)
        age = (self._node.timers.now() - self._confirmed_at) / self._section.poll_period
        return place == 0 or age > TAKEOVER_AGE + TAKEOVER_STEP * (place - 1)

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(self._section.poll_timeout):
                update = await self._client.members()
        except (OSError, TimeoutError, PimentoquayError) as error:
            if not self._directory.is_known:
                logger.warning("no membership list yet, not ready: {}", error)
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
