"""The configuration that a VM holds: fed by pages of the log and by peers, never moving back."""

from pimentoquay.configuration.checkpoint import Bootstrap
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.relay import EntriesReceiver
from pimentoquay.kernel import Channel
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.platform.base import LogPage

__all__ = ["Keeper"]


class Keeper:
    """Holds the state and knows when it may be served by.

    The state is ready once it has reached the highest offset that any peer in reach reports, and
    the end of the log as well, unless the log does not answer and peers are there in its place.
    """

    def __init__(self) -> None:
        self.state: ConfigurationState | None = None
        self.is_ready = False
        self.has_reached_tail = False
        self.is_log_down = False
        self.reported_offset_by_channel: dict[Channel, int] = {}
        self._bootstrap: Bootstrap | None = None
        self._receiver_by_channel: dict[Channel, EntriesReceiver] = {}

    @property
    def offset(self) -> int:
        """How many log records are folded; -1 without any state."""
        return -1 if self.state is None else self.state.offset

    @property
    def log_position(self) -> int:
        """The offset to read the log from."""
        if self._bootstrap is not None:
            return self._bootstrap.offset
        return max(self.offset, 0)

    @property
    def is_behind_log(self) -> bool:
        """Whether the log has dropped records that this state has not seen."""
        return self._bootstrap is not None and self.state is not None

    @property
    def lost_at(self) -> int | None:
        """Where the log ends, if it holds no configuration and no peer in reach has one."""
        if self._bootstrap is None or self.state is not None or self.best_reported_offset >= 0:
            return None
        return self._bootstrap.offset

    @property
    def best_reported_offset(self) -> int:
        """The highest offset that any peer in reach reports; -1 if none does."""
        return max(self.reported_offset_by_channel.values(), default=-1)

    def take_page(self, page: LogPage) -> None:
        """Fold a page that was read from ``log_position``."""
        self.is_log_down = False
        self._check_start(page.first_offset)
        for record in page.records:
            if self._bootstrap is not None:
                self._adopt(self._bootstrap.add(record.offset, record.data))
            elif self.state is not None and record.offset >= self.state.offset:
                self.state.fold(record.offset, record.data)
        if self._bootstrap is None and self.offset >= page.next_offset:
            self.has_reached_tail = True
        self._check_ready()

    def take_log_failure(self) -> None:
        """Note that the log did not answer."""
        self.is_log_down = True
        self._check_ready()

    def take_entries(self, entries: ConfigurationEntries, channel: Channel) -> None:
        """Apply what a peer sent."""
        receiver = self._receiver_by_channel.setdefault(channel, EntriesReceiver())
        self.state = receiver.add(self.state, entries)
        bootstrap = self._bootstrap
        if bootstrap is not None and self.offset >= bootstrap.start:
            self._bootstrap = None
        self._check_ready()

    def take_report(self, channel: Channel, offset: int) -> None:
        """Note the offset that a peer reports."""
        self.reported_offset_by_channel[channel] = offset
        self._check_ready()

    def forget_channel(self, channel: Channel) -> None:
        """Drop what is kept for a closed channel."""
        self.reported_offset_by_channel.pop(channel, None)
        self._receiver_by_channel.pop(channel, None)
        self._check_ready()

    def skip_gap(self) -> None:
        """Go on behind records that the log has dropped and no peer in reach has seen."""
        bootstrap = self._bootstrap
        if bootstrap is None or self.state is None:
            return
        self._bootstrap = None
        self.state.offset = max(self.state.offset, bootstrap.start)
        for offset, data in bootstrap.records():
            self.state.fold(offset, data)

    def _check_start(self, first_offset: int) -> None:
        if self._bootstrap is not None or first_offset <= self.offset:
            return
        if first_offset == 0:
            self.state = ConfigurationState()
        else:
            self._bootstrap = Bootstrap(first_offset)

    def _adopt(self, found: ConfigurationState | None) -> None:
        if found is None:
            return
        self._bootstrap = None
        if self.state is None or found.offset > self.state.offset:
            self.state = found

    def _check_ready(self) -> None:
        if self.is_ready or self.state is None or self.offset < self.best_reported_offset:
            return
        peers_suffice = self.is_log_down and self.best_reported_offset >= 0
        self.is_ready = self.has_reached_tail or peers_suffice
