"""Heartbeats to other control processes, sent less often while their content is unchanged.

Each skipped heartbeat saves, for each peer, a system call here and a wake-up of the peer.
"""

from collections.abc import Callable
from dataclasses import replace

from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.cluster import Heartbeat
from pimentoquay.transport.peers import PeerSet

__all__ = ["HeartbeatSender"]

MAX_QUIET_PERIODS = 2
"""Maximum number of heartbeat periods between two heartbeats with the same content."""


class HeartbeatSender:
    """Sends the heartbeats of this control process to all connected control processes.

    Parameters
    ----------
    peers
        Channels to other processes.
    section
        Settings of the membership part, with the heartbeat period and timeout.
    current
        Returns the heartbeat to send now.
    """

    def __init__(
        self, peers: PeerSet, section: MembershipSection, current: Callable[[], Heartbeat]
    ) -> None:
        self._peers = peers
        self._current = current
        # A late heartbeat after skipped ones must still arrive before ``silent_after``.
        spare_periods = int(
            (section.silent_after - section.heartbeat_period) / section.heartbeat_period
        )
        self._max_quiet_periods = max(1, min(MAX_QUIET_PERIODS, spare_periods))
        self._last_sent: Heartbeat | None = None
        self._quiet_periods = 0

    def send_if_due(self, always: bool) -> None:
        """Send the heartbeat at the end of a period, unless it may be skipped.

        It is skipped if its content is unchanged, unless ``always`` is set or the last heartbeat
        was sent ``MAX_QUIET_PERIODS`` periods ago (fewer if ``silent_after`` is short).
        """
        has_changed = _without_age(self._current()) != self._last_sent
        self._quiet_periods += 1
        if has_changed or always or self._quiet_periods >= self._max_quiet_periods:
            self.send()

    def send(self) -> None:
        """Send a heartbeat to every connected control process."""
        heartbeat = self._current()
        self._last_sent = _without_age(heartbeat)
        self._quiet_periods = 0
        for channel in self._peers.channels("control"):
            channel.send(heartbeat)


def _without_age(heartbeat: Heartbeat) -> Heartbeat:
    """Return the heartbeat without the age of the list, which always changes."""
    return replace(heartbeat, list_age=0)
