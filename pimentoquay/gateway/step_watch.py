"""Whether this gateway is in step with the others, so that it would know of a new version."""

from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.load_exchange import HEARTBEAT_SECONDS
from pimentoquay.gateway.peer_presence import LOST_PEER_SECONDS
from pimentoquay.gateway.relays import BUNDLE_SECONDS
from pimentoquay.gateway.relays import HEARTBEAT_SECONDS as RELAY_HEARTBEAT_SECONDS
from pimentoquay.kernel import ChannelClosed, ChannelOpened, Envelope, TimerService
from pimentoquay.kernel.clock import boot_time
from pimentoquay.messages.fleet import PeerLoads
from pimentoquay.messages.pools import Bundle, ChannelAlive
from pimentoquay.policy.mesh_plan import MeshPlan
from pimentoquay.policy.version_doubt import Contact, Doubt, HeardPeers, Standstill, find_doubt

__all__ = ["StepWatch"]

HEARTBEAT_SLACK = 1.5
"""Age of the last heartbeat above which a peer counts as not heard, in heartbeats."""

TICK_SECONDS = 0.2
"""Interval at which the process records that it runs."""


class StepWatch:
    """Watches the channels to the peers and the clock of this gateway.

    ``knows_peers`` is whether the addresses of the VMs have been read from the store.

    Parameters
    ----------
    timers, fleet
        The process's timers, and the list of engines.
    max_list_age
        Highest age of the list in seconds while all is well.
    """

    def __init__(self, timers: TimerService, fleet: Fleet, max_list_age: float) -> None:
        self._timers = timers
        self._fleet = fleet
        self._max_list_age = max_list_age
        self._peers = HeardPeers(LOST_PEER_SECONDS)
        self._is_full = True
        self._standstill = Standstill(boot_time())
        self.knows_peers = False

    def start(self) -> None:
        """Begin to watch the clock."""
        self._timers.every(TICK_SECONDS, lambda: self._standstill.tick(boot_time()))

    def update_plan(self, plan: MeshPlan) -> None:
        """Expect to hear the peers that a plan of the channels names."""
        self._is_full = plan.is_full
        self._peers.expect(plan.dialled, self._timers.now())

    def lost_peer_at(self) -> float:
        """Return when the last of the missing peers was lost, or minus infinity if none is."""
        now = self._timers.now()
        missing = self._peers.missing_since(now, self._timeout)
        return max(missing.values(), default=float("-inf"))

    @property
    def _timeout(self) -> float:
        """Age of the last heartbeat above which a peer counts as not heard, in seconds."""
        if self._is_full:
            return HEARTBEAT_SLACK * HEARTBEAT_SECONDS
        return HEARTBEAT_SLACK * RELAY_HEARTBEAT_SECONDS + BUNDLE_SECONDS

    def find_doubt(self, is_loaded: bool) -> Doubt | None:
        """Return why this gateway may have missed a version, or ``None`` if it is in step.

        ``is_loaded`` is whether it knows what earlier gateways have stored.
        """
        now, timeout = self._timers.now(), self._timeout
        contact = Contact(
            is_loaded and (self.knows_peers or bool(self._peers.expected)),
            self._standstill.is_recent(boot_time()),
            self._peers.unheard(now, timeout),
            self._peers.missing_since(now, timeout),
            self._is_full,
            self._fleet.list_age,
            self._max_list_age,
        )
        return find_doubt(contact)

    def receive(self, envelope: Envelope) -> None:
        """Record what a message shows about the channel that it came on."""
        self._record(envelope.message, envelope)

    @singledispatchmethod
    def _record(self, message: Any, envelope: Envelope) -> None:
        """Ignore messages that are no heartbeats: they may come before others that wait."""

    @_record.register
    def _record_channel(self, message: ChannelOpened | ChannelClosed, envelope: Envelope) -> None:
        self._peers.record_interruption(message.channel.peer.vm, self._timers.now())

    @_record.register
    def _record_heartbeat(
        self, message: PeerLoads | ChannelAlive | Bundle, envelope: Envelope
    ) -> None:
        if envelope.channel is not None:
            self._peers.record_heartbeat(envelope.channel.peer.vm, self._timers.now())
