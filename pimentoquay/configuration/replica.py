"""A VM's copy of the configuration, updated from the log and from peers."""

from pimentoquay.configuration.checkpoint import Bootstrap
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.relay import EntriesReceiver
from pimentoquay.kernel import Channel
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.services.base import LogPage

__all__ = ["ConfigurationReplica"]


class ConfigurationReplica:
    """Copy of the configuration on one VM, and the rule for when it is ready for use.

    The offset of the state never decreases. The state becomes ready once it has reached both the
    end of the log and the highest offset that any reachable peer reports. While the log is
    unavailable, its end is not required. Instead, all listed peers must have reported or the wait
    for them must be over, at least one peer must report an offset, and the state must not be older
    than the one that the entry process of this VM already uses.
    """

    def __init__(self) -> None:
        self.state: ConfigurationState | None = None
        self.is_ready = False
        self.has_reached_log_end = False
        self.is_log_down = False
        self.have_peers_reported = False
        self.served_offset = -1
        self.reported_offset_by_channel: dict[Channel, int] = {}
        self._bootstrap: Bootstrap | None = None
        self._is_log_reset = False
        self._receiver_by_channel: dict[Channel, EntriesReceiver] = {}

    @property
    def offset(self) -> int:
        """Number of log records replayed; -1 without any state."""
        return -1 if self.state is None else self.state.offset

    @property
    def log_position(self) -> int:
        """Offset on the log of the next record to read."""
        if self._bootstrap is not None:
            return self._bootstrap.offset
        return max(self.offset - self.log_base, 0)

    @property
    def log_base(self) -> int:
        """Configuration offset of the first record of the log; 0 until the log is reset."""
        return 0 if self.state is None else self.state.log_base

    @property
    def is_behind_log(self) -> bool:
        """Whether the log has dropped records that this state lacks."""
        return self._bootstrap is not None and self.state is not None

    @property
    def is_log_reset(self) -> bool:
        """Whether the log was reset and holds no checkpoint with a new log base yet."""
        return self.is_behind_log and self._is_log_reset

    @property
    def log_end_if_lost(self) -> int | None:
        """Offset of the log's end if the configuration is lost, else ``None``.

        It is lost if neither the log nor any reachable peer holds one.
        """
        if self._bootstrap is None or self.state is not None or self.best_reported_offset >= 0:
            return None
        return self._bootstrap.offset

    @property
    def best_reported_offset(self) -> int:
        """Highest offset that any reachable peer reports; -1 if none does."""
        return max(self.reported_offset_by_channel.values(), default=-1)

    def apply_log_page(self, page: LogPage) -> None:
        """Replay a page that was read from ``log_position``."""
        self.is_log_down = False
        if page.next_offset < self.log_position:
            self._bootstrap_reset_log()
            return
        self._check_first_offset(page.first_offset)
        for record in page.records:
            if self._bootstrap is not None:
                self._use_found_state(self._bootstrap.add(record.offset, record.data))
            elif self.state is not None and record.offset >= self.log_position:
                self.state.fold(self.state.log_base + record.offset, record.data)
        if self.state is not None and self.state.has_newer_log_base:
            self.state.has_newer_log_base = False
            self._bootstrap_reset_log()
        elif self._bootstrap is None and self.offset - self.log_base >= page.next_offset:
            self.has_reached_log_end = True
        self._check_ready()

    def note_log_failure(self) -> None:
        """Record that a read of the log failed."""
        self.is_log_down = True
        self._check_ready()

    def apply_entries(self, entries: ConfigurationEntries, channel: Channel) -> None:
        """Apply entries that a peer sent."""
        receiver = self._receiver_by_channel.setdefault(channel, EntriesReceiver())
        base = self.log_base
        self.state = receiver.add(self.state, entries)
        bootstrap = self._bootstrap
        if bootstrap is not None:
            is_found = (
                self.log_base > base
                if self._is_log_reset
                else self.offset - self.log_base >= bootstrap.start
            )
            if is_found:
                self._bootstrap, self._is_log_reset = None, False
        self._check_ready()

    def note_reported_offset(self, channel: Channel, offset: int) -> None:
        """Record the offset that a peer reports."""
        self.reported_offset_by_channel[channel] = offset
        self._check_ready()

    def note_peers_reported(self) -> None:
        """Record that all listed peers have reported, or that the wait for them is over."""
        self.have_peers_reported = True
        self._check_ready()

    def note_served_offset(self, offset: int) -> None:
        """Record the offset that the entry process of this VM uses."""
        self.served_offset = max(self.served_offset, offset)

    def forget_channel(self, channel: Channel) -> None:
        """Discard the state of a closed channel."""
        self.reported_offset_by_channel.pop(channel, None)
        self._receiver_by_channel.pop(channel, None)
        self._check_ready()

    def skip_gap(self) -> None:
        """Continue without records that the log has dropped and no reachable peer holds."""
        bootstrap = self._bootstrap
        if bootstrap is None or self.state is None or self._is_log_reset:
            return
        self._bootstrap = None
        base = self.state.log_base
        self.state.offset = max(self.state.offset, base + bootstrap.start)
        for offset, data in bootstrap.records():
            self.state.fold(base + offset, data)

    def _bootstrap_reset_log(self) -> None:
        """Read a reset log from offset 0, to find a checkpoint with a higher log base."""
        self._is_log_reset = True
        self._bootstrap = Bootstrap(0, self.log_base)

    def _check_first_offset(self, first_offset: int) -> None:
        if self._bootstrap is not None or first_offset <= self.offset - self.log_base:
            return
        if first_offset == 0:
            self.state = ConfigurationState()
        else:
            self._bootstrap = Bootstrap(first_offset)

    def _use_found_state(self, found: ConfigurationState | None) -> None:
        if found is None:
            return
        self._bootstrap, self._is_log_reset = None, False
        if self.state is None or found.offset > self.state.offset:
            self.state = found

    def _check_ready(self) -> None:
        if self.is_ready or self.state is None or self.offset < self.best_reported_offset:
            return
        peers_suffice = (
            self.is_log_down
            and self.have_peers_reported
            and self.best_reported_offset >= 0
            and self.offset >= self.served_offset
        )
        self.is_ready = self.has_reached_log_end or peers_suffice
