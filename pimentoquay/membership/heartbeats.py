"""Heartbeats to other control processes, fewer of them while they tell nothing new.

What a heartbeat costs is the system call for each peer and the wake-up there.
"""

from collections.abc import Callable
from dataclasses import replace

from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.cluster import Heartbeat
from pimentoquay.transport.peers import PeerSet

__all__ = ["HeartbeatSender"]

MOST_QUIET_PERIODS = 2
"""The most heartbeat periods between two heartbeats that tell the same."""


class HeartbeatSender:
    """Sends the heartbeats of one control process.

    Parameters
    ----------
    peers
        Its channels.
    section
        The settings of periods, in seconds.
    current
        Returns the heartbeat as it would be sent now.
    """

    def __init__(
        self, peers: PeerSet, section: MembershipSection, current: Callable[[], Heartbeat]
    ) -> None:
        self._peers = peers
        self._current = current
        # A heartbeat that is left out must not make a late one look like silence.
        room = int((section.silent_after - section.heartbeat_period) / section.heartbeat_period)
        self._most_quiet_periods = max(1, min(MOST_QUIET_PERIODS, room))
        self._told: Heartbeat | None = None
        self._quiet_periods = 0

    def beat(self, always: bool) -> None:
        """Send at the end of a period, if it is ``always`` due, tells news or was left out."""
        is_news = _without_age(self._current()) != self._told
        self._quiet_periods += 1
        if is_news or always or self._quiet_periods >= self._most_quiet_periods:
            self.send()

    def send(self) -> None:
        """Send now."""
        heartbeat = self._current()
        self._told = _without_age(heartbeat)
        self._quiet_periods = 0
        for channel in self._peers.channels("control"):
            channel.send(heartbeat)


def _without_age(heartbeat: Heartbeat) -> Heartbeat:
    """Leave out the age of the list, which changes without being news."""
    return replace(heartbeat, list_age=0)
