"""Catch-up requests to peers that report a higher offset, sent if no push arrives in time."""

from collections.abc import Callable

from pimentoquay.configuration.ranks import VmRanks
from pimentoquay.configuration.replica import ConfigurationReplica
from pimentoquay.kernel import Channel, Node
from pimentoquay.membership.mesh import rendezvous_order
from pimentoquay.messages.cluster import CatchUpRequest

__all__ = ["CatchUpRequester"]

CHECK_SECONDS = 0.25
"""Interval at which a VM that lags behind a peer checks whether it still does."""

SHORT_LAG_SECONDS = 0.6
"""Time, in seconds, that the log reader lags before it sends a request.

It also applies to a VM that lags behind a peer in another data centre.
"""

LONG_LAG_SECONDS = 1.8
"""Time, in seconds, that any other VM lags before it sends a request.

A push within the data centre usually arrives sooner.
"""

RESPONSE_TIMEOUT_SECONDS = 1.5
"""Time without a response after which the request goes to another peer."""

BUSY_BACKOFF_SECONDS = 0.5
"""Wait after a peer has responded that it is busy."""


class CatchUpRequester:
    """Requests missed records from peers that are ahead, one peer at a time.

    Each VM tries the peers in a different order, which spreads the load. A VM without a state does
    not wait for a push.

    Parameters
    ----------
    node
        The control process.
    replica
        This VM's copy of the configuration.
    ranks
        Returns the ``VmRanks`` of this VM, ``None`` before the first cluster view.
    """

    def __init__(
        self, node: Node, replica: ConfigurationReplica, ranks: Callable[[], VmRanks | None]
    ) -> None:
        self._node = node
        self._replica = replica
        self._ranks = ranks
        self._is_check_scheduled = False
        self._behind_since: float | None = None
        self._next_request_at = 0.0
        self._requested_channels: set[Channel] = set()

    def schedule_check(self) -> None:
        """Schedule a check if a peer reports a higher offset and none is scheduled yet."""
        if self._is_check_scheduled or self._replica.best_reported_offset <= self._replica.offset:
            return
        self._is_check_scheduled = True
        self._node.timers.after(CHECK_SECONDS, self._run_check)

    def request_from(self, channel: Channel) -> None:
        """Request all records after this VM's offset from a peer."""
        self._next_request_at = self._node.clock.now() + RESPONSE_TIMEOUT_SECONDS
        self._requested_channels.add(channel)
        channel.send(CatchUpRequest(self._replica.offset))

    def note_part_received(self) -> None:
        """Restart the response timeout, because a part of the response arrived."""
        self._next_request_at = self._node.clock.now() + RESPONSE_TIMEOUT_SECONDS

    def note_peer_busy(self) -> None:
        """Shorten the wait for the next request, because the peer responded that it is busy."""
        self._next_request_at = self._node.clock.now() + BUSY_BACKOFF_SECONDS

    def forget_channel(self, channel: Channel) -> None:
        """Discard the state of a closed channel."""
        self._requested_channels.discard(channel)

    def _run_check(self) -> None:
        self._is_check_scheduled = False
        now = self._node.clock.now()
        ahead = [
            channel
            for channel, offset in self._replica.reported_offset_by_channel.items()
            if offset > self._replica.offset
        ]
        if not ahead:
            self._behind_since = None
            self._requested_channels.clear()
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= self._required_lag(ahead) and now >= self._next_request_at:
            self.request_from(self._choose_peer(ahead))
        self.schedule_check()

    def _required_lag(self, ahead: list[Channel]) -> float:
        if self._replica.state is None:
            return 0.0
        own = self._node.identity.data_centre
        ranks = self._ranks()
        if ranks is not None and ranks.is_reader:
            return SHORT_LAG_SECONDS
        is_remote = any(channel.peer.data_centre != own for channel in ahead)
        return SHORT_LAG_SECONDS if is_remote else LONG_LAG_SECONDS

    def _choose_peer(self, ahead: list[Channel]) -> Channel:
        untried = [channel for channel in ahead if channel not in self._requested_channels]
        if not untried:
            self._requested_channels.clear()
        channel_by_vm = {channel.peer.vm: channel for channel in untried or ahead}
        order = rendezvous_order(f"catch-up:{self._node.identity.vm}", channel_by_vm)
        return channel_by_vm[order[0]]
