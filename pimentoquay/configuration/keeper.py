"""The configuration that a VM holds: fed by pages of the log and by peers, never moving back."""

from pimentoquay.configuration.checkpoint import Bootstrap
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.relay import EntriesReceiver
from pimentoquay.kernel import Channel
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.services.base import LogPage

__all__ = ["Keeper"]


class Keeper:
    """Holds the state and knows when it may be served by.

    The state is ready once it has reached the highest offset that any peer in reach reports, and
    the end of the log as well. Where the log does not answer, peers are taken in its place: once
    those that are listed were heard, or had the time to be, and no older than what the entry of
    this VM already serves by.
    """

    def __init__(self) -> None:
        self.state: ConfigurationState | None = None
        self.is_ready = False
        self.has_reached_tail = False
        self.is_log_down = False
        self.are_peers_heard = False
        self.served_offset = -1
        self.reported_offset_by_channel: dict[Channel, int] = {}
        self._bootstrap: Bootstrap | None = None
        self._is_anew = False
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
        return max(self.offset - self.log_base, 0)

    @property
    def log_base(self) -> int:
        """The offset that stands for the first record of the log."""
        return 0 if self.state is None else self.state.log_base

    @property
    def is_behind_log(self) -> bool:
        """Whether the log has dropped records that this state has not seen."""
        return self._bootstrap is not None and self.state is not None

    @property
    def is_log_anew(self) -> bool:
        """Whether the log has started anew and holds no checkpoint yet that says so."""
        return self.is_behind_log and self._is_anew

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
        if page.next_offset < self.log_position:
            self._read_anew()
            return
        self._check_start(page.first_offset)
        for record in page.records:
            if self._bootstrap is not None:
                self._adopt(self._bootstrap.add(record.offset, record.data))
            elif self.state is not None and record.offset >= self.log_position:
                self.state.fold(self.state.log_base + record.offset, record.data)
        if self.state is not None and self.state.is_superseded:
            self.state.is_superseded = False
            self._read_anew()
        elif self._bootstrap is None and self.offset - self.log_base >= page.next_offset:
            self.has_reached_tail = True
        self._check_ready()

    def take_log_failure(self) -> None:
        """Note that the log did not answer."""
        self.is_log_down = True
        self._check_ready()

    def take_entries(self, entries: ConfigurationEntries, channel: Channel) -> None:
        """Apply what a peer sent."""
        receiver = self._receiver_by_channel.setdefault(channel, EntriesReceiver())
        base = self.log_base
        self.state = receiver.add(self.state, entries)
        bootstrap = self._bootstrap
        if bootstrap is not None:
            is_found = (
                self.log_base > base
                if self._is_anew
                else self.offset - self.log_base >= bootstrap.start
            )
            if is_found:
                self._bootstrap, self._is_anew = None, False
        self._check_ready()

    def take_report(self, channel: Channel, offset: int) -> None:
        """Note the offset that a peer reports."""
        self.reported_offset_by_channel[channel] = offset
        self._check_ready()

    def take_peers_heard(self) -> None:
        """Note that the listed peers were heard, or that they had the time to be."""
        self.are_peers_heard = True
        self._check_ready()

    def take_served(self, offset: int) -> None:
        """Note the offset that the entry of this VM serves by."""
        self.served_offset = max(self.served_offset, offset)

    def forget_channel(self, channel: Channel) -> None:
        """Drop what is kept for a closed channel."""
        self.reported_offset_by_channel.pop(channel, None)
        self._receiver_by_channel.pop(channel, None)
        self._check_ready()

    def skip_gap(self) -> None:
        """Go on behind records that the log has dropped and no peer in reach has seen."""
        bootstrap = self._bootstrap
        if bootstrap is None or self.state is None or self._is_anew:
            return
        self._bootstrap = None
        base = self.state.log_base
        self.state.offset = max(self.state.offset, base + bootstrap.start)
        for offset, data in bootstrap.records():
            self.state.fold(base + offset, data)

    def _read_anew(self) -> None:
        """Read a log that has started anew for the checkpoint that says where it goes on."""
        self._is_anew = True
        self._bootstrap = Bootstrap(0, self.log_base)

    def _check_start(self, first_offset: int) -> None:
        if self._bootstrap is not None or first_offset <= self.offset - self.log_base:
            return
        if first_offset == 0:
            self.state = ConfigurationState()
        else:
            self._bootstrap = Bootstrap(first_offset)

    def _adopt(self, found: ConfigurationState | None) -> None:
        if found is None:
            return
        self._bootstrap, self._is_anew = None, False
        if self.state is None or found.offset > self.state.offset:
            self.state = found

    def _check_ready(self) -> None:
        if self.is_ready or self.state is None or self.offset < self.best_reported_offset:
            return
        peers_suffice = (
            self.is_log_down
            and self.are_peers_heard
            and self.best_reported_offset >= 0
            and self.offset >= self.served_offset
        )
        self.is_ready = self.has_reached_tail or peers_suffice
