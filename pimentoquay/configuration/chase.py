"""Catching up: asking a peer that reports a higher offset, once the usual push has had its time."""

from collections.abc import Callable

from pimentoquay.configuration.keeper import Keeper
from pimentoquay.configuration.places import Place
from pimentoquay.kernel import Channel, Node
from pimentoquay.membership.mesh import ranked
from pimentoquay.messages.cluster import CatchUpRequest

__all__ = ["Chaser"]

CHASE_SECONDS = 0.25
"""How often a VM that lags looks whether it still does."""

FIRST_LAG_SECONDS = 0.6
"""How long a VM that reads the log, or sees another data centre ahead, lags before it asks."""

LAG_SECONDS = 1.8
"""How long any other VM does, so that a push within the data centre usually comes first."""

ANSWER_SECONDS = 1.5
"""How long an asked peer has before another one is asked."""

BUSY_SECONDS = 0.5
"""How long a VM waits after a peer said that it is busy."""


class Chaser:
    """Asks peers that are ahead, one at a time, each VM in an order of its own.

    Parameters
    ----------
    node, keeper
        The control process and its configuration.
    place
        Returns this VM's place in the order of readers.
    """

    def __init__(self, node: Node, keeper: Keeper, place: Callable[[], Place | None]) -> None:
        self._node = node
        self._keeper = keeper
        self._place = place
        self._is_due = False
        self._lags_since: float | None = None
        self._ask_again_at = 0.0
        self._asked: set[Channel] = set()

    def watch(self) -> None:
        """Look again shortly if a peer reports a higher offset; nothing runs while none does."""
        if self._is_due or self._keeper.best_reported_offset <= self._keeper.offset:
            return
        self._is_due = True
        self._node.timers.after(CHASE_SECONDS, self._look)

    def ask(self, channel: Channel) -> None:
        """Ask a peer for everything after this VM's offset."""
        self._ask_again_at = self._node.clock.now() + ANSWER_SECONDS
        self._asked.add(channel)
        channel.send(CatchUpRequest(self._keeper.offset))

    def hears_from(self) -> None:
        """Note that a part of an answer arrived, so that nobody else is asked yet."""
        self._ask_again_at = self._node.clock.now() + ANSWER_SECONDS

    def is_turned_away(self) -> None:
        """Note that the asked peer is busy; another one is asked soon."""
        self._ask_again_at = self._node.clock.now() + BUSY_SECONDS

    def forget_channel(self, channel: Channel) -> None:
        """Drop what is kept for a closed channel."""
        self._asked.discard(channel)

    def _look(self) -> None:
        self._is_due = False
        now = self._node.clock.now()
        ahead = [
            channel
            for channel, offset in self._keeper.reported_offset_by_channel.items()
            if offset > self._keeper.offset
        ]
        if not ahead:
            self._lags_since = None
            self._asked.clear()
            return
        if self._lags_since is None:
            self._lags_since = now
        if now - self._lags_since >= self._patience(ahead) and now >= self._ask_again_at:
            self.ask(self._choice(ahead))
        self.watch()

    def _patience(self, ahead: list[Channel]) -> float:
        if self._keeper.state is None:
            return 0.0
        own = self._node.identity.data_centre
        place = self._place()
        if place is not None and place.is_reader:
            return FIRST_LAG_SECONDS
        is_remote = any(channel.peer.data_centre != own for channel in ahead)
        return FIRST_LAG_SECONDS if is_remote else LAG_SECONDS

    def _choice(self, ahead: list[Channel]) -> Channel:
        fresh = [channel for channel in ahead if channel not in self._asked]
        if not fresh:
            self._asked.clear()
        channel_by_vm = {channel.peer.vm: channel for channel in fresh or ahead}
        order = ranked(f"catch-up:{self._node.identity.vm}", channel_by_vm)
        return channel_by_vm[order[0]]
