"""The gateways of a deployment among themselves: who is there, who reads, who holds what."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.load_relay import HEARTBEAT_SECONDS, LoadRelay
from pimentoquay.gateway.reservations import Waiting
from pimentoquay.kernel import Channel, ChannelClosed, ChannelOpened, Envelope, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import (
    EngineRuns,
    EngineTokens,
    FleetCopy,
    PeerLoads,
    RunSize,
    StageOrdered,
    VmAddress,
    VmLoad,
    VmWork,
)
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.mesh_plan import plan_mesh
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.stage_plan import StageDemand, StageWork
from pimentoquay.policy.token_ledger import TokenLedger
from pimentoquay.transport.peers import PeerSet

__all__ = ["Mesh"]

PROCESS = "gateway"

SILENT_HEARTBEATS = 4
"""The missed heartbeats after which a channel, or a VM heard over relays, counts as lost."""

MISSED_SECONDS = 15.0
"""How long a lost peer counts as one that may still run requests: the longest time budget of
callers; a peer that ended has ended them all, but from here it looks the same."""

MISSED_SHARE = 0.1
"""The share of the VMs whose loss makes the sum of what is known wrong; one of seven does, one of
eighty does not."""


class Mesh:
    """The gateways that are there, and what they tell each other.

    Up to sixteen keep channels to all others; more keep channels to relays, by the plan of
    ``policy/mesh_plan.py``.

    Parameters
    ----------
    node, peers
        The process and its channels.
    fleet, running, prefilling, demand
        What is shared with the peers: records of the store, requests in the memory of decode
        engines, prompts at prefill engines, and what requests have needed of both.
    address
        Where this gateway listens for them.
    waiting
        Returns the memory that streams wait for here.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerSet,
        fleet: Fleet,
        running: RunLedger,
        prefilling: TokenLedger,
        demand: StageDemand,
        address: str,
        waiting: Callable[[], Waiting],
    ) -> None:
        self._node = node
        self._peers = peers
        self._fleet = fleet
        self._running = running
        self._prefilling = prefilling
        self._demand = demand
        self._waiting = waiting
        self._vm = node.identity.vm
        own = VmAddress(self._vm, address, node.identity.data_centre, -1)
        self._address_by_vm: dict[str, VmAddress] = {self._vm: own}
        self._started_at = node.timers.now()
        self._lost_at_by_vm: dict[str, float] = {}
        self._heard_at_by_vm: dict[str, float] = {}
        self._heard_directly_at_by_vm: dict[str, float] = {}
        self._load_by_vm: dict[str, VmLoad] = {}
        self._seen_fences: set[int] = set()
        self.loads = LoadRelay(node, self._load, self._channels)
        self.is_draining = False
        self.on_load_changed: list[Callable[[], None]] = []
        self.on_stage_ordered: list[Callable[[StageOrdered], None]] = []
        self.inbox = node.bus.subscribe(
            FleetCopy, PeerLoads, StageOrdered, ChannelOpened, ChannelClosed
        )

    @property
    def vms(self) -> int:
        """How many gateways share the deployment's limits, this one included."""
        return max(len(self._address_by_vm), 1 + len(self._heard_at_by_vm))

    @property
    def misses_peers(self) -> bool:
        """Whether so many peers may be there unheard that the sum of all loads is wrong."""
        now = self._node.timers.now()
        missed = sum(now - lost_at < MISSED_SECONDS for lost_at in self._lost_at_by_vm.values())
        return now - self._started_at < HEARTBEAT_SECONDS or missed > MISSED_SHARE * self.vms

    @property
    def peers_waiting(self) -> Waiting:
        """The memory that streams wait for at the peers."""
        loads = self._load_by_vm.values()
        return Waiting(
            sum(load.waiting_tokens for load in loads), sum(load.urgent_tokens for load in loads)
        )

    def is_reader(self) -> bool:
        """Return whether this gateway reads the store for those that it hears."""
        taking_part = (
            vm
            for vm in self._heard_at_by_vm
            if vm not in self._load_by_vm or not self._load_by_vm[vm].is_draining
        )
        return all(self._vm < vm for vm in taking_part)

    async def run(self) -> None:
        """Handle what peers send until cancelled."""
        self._node.timers.every(HEARTBEAT_SECONDS, self._heartbeat)
        while True:
            self._handle(await self.inbox.get())

    def know(self, vms: tuple[VmAddress, ...]) -> None:
        """Take addresses of VMs; dial those that the plan names, and tell of new ones."""
        changed = tuple(each for each in vms if each.vm != self._vm and self._is_newer(each))
        if changed:
            self._address_by_vm.update({each.vm: each for each in changed})
            self._follow_plan()
            self.publish(FleetCopy(-1, b"", (), -1, changed))

    def _is_newer(self, address: VmAddress) -> bool:
        known = self._address_by_vm.get(address.vm)
        return known is None or known.offset < address.offset

    def dial_seeds(self, addresses: tuple[str, ...]) -> None:
        """Dial addresses whose VMs are not known, until any peer has been heard."""
        known = {each.address for each in self._address_by_vm.values()}
        wanted = {f"seed {each}": each for each in addresses if each not in known}
        if not self._heard_at_by_vm and wanted:
            self._peers.want({**self._dialled(), **wanted})

    def publish(self, news: FleetCopy | StageOrdered) -> None:
        """Send a change to every peer that this gateway has a channel to."""
        for channel in self._channels():
            channel.send(news)

    def note_held_changed(self) -> None:
        """Tell the peers soon that this gateway holds more or less."""
        self.loads.note_own_changed()

    def _follow_plan(self) -> None:
        data_centre_by_vm = {vm: each.data_centre for vm, each in self._address_by_vm.items()}
        self.loads.plan = plan_mesh(self._vm, data_centre_by_vm, self._heard_at_by_vm)
        self._peers.want(self._dialled())

    def _dialled(self) -> dict[str, str]:
        return {vm: self._address_by_vm[vm].address for vm in self.loads.plan.dialled}

    def _channels(self) -> tuple[Channel, ...]:
        """Return one channel a peer; both sides may have dialled."""
        return tuple({each.peer.vm: each for each in self._peers.channels(PROCESS)}.values())

    def _pass_on(self, news: FleetCopy | StageOrdered, source: str) -> None:
        """Send on what came from a peer, to those that it does not send it to itself."""
        for channel in self._channels():
            if self.loads.plan.should_forward(source, channel.peer.vm):
                channel.send(news)

    def _handle(self, envelope: Envelope) -> None:
        channel = envelope.channel
        if channel is not None:
            self._heard_directly_at_by_vm[channel.peer.vm] = self._node.timers.now()
            self._note_heard((channel.peer.vm,))
        self._take(envelope.message, envelope)

    def _note_heard(self, vms: Iterable[str]) -> None:
        now = self._node.timers.now()
        for vm in vms:
            self._heard_at_by_vm[vm] = now

    @singledispatchmethod
    def _take(self, message: Any, envelope: Envelope) -> None:
        raise TypeError(f"no peer sends {type(message).__name__}")

    @_take.register
    def _take_opened(self, message: ChannelOpened, envelope: Envelope) -> None:
        channel = message.channel
        self._heard_directly_at_by_vm[channel.peer.vm] = self._node.timers.now()
        self._note_heard((channel.peer.vm,))
        self.loads.meet(channel.peer.vm, channel.peer.incarnation)
        channel.send(replace(self._fleet.copy(), vms=tuple(self._address_by_vm.values())))
        self.loads.tell(channel)
        logger.bind(peer=channel.peer.vm).info("peer connected")

    @_take.register
    def _take_closed(self, message: ChannelClosed, envelope: Envelope) -> None:
        vm = message.channel.peer.vm
        # In a large deployment its load may still come over a relay; if not, its silence shows.
        if self.loads.plan.is_full and self._peers.channel_to(vm, PROCESS) is None:
            self._forget(vm)

    @_take.register
    def _take_copy(self, message: FleetCopy, envelope: Envelope) -> None:
        source = _source(envelope)
        is_newer = bool(message.configuration) and self._fleet.take_configuration(
            message.configuration_offset, message.configuration
        )
        changed = self._fleet.take_engines(message.engines)
        if message.engines_offset >= 0:
            self._fleet.has_engines = True
        if is_newer:
            self._pass_on(replace(message, engines=changed, engines_offset=-1, vms=()), source)
        elif changed:
            self._pass_on(FleetCopy(-1, b"", changed, -1, ()), source)
        self.know(message.vms)

    @_take.register
    def _take_ordered(self, message: StageOrdered, envelope: Envelope) -> None:
        if message.fence in self._seen_fences:
            return
        self._seen_fences.add(message.fence)
        self._pass_on(message, _source(envelope))
        for call in self.on_stage_ordered:
            call(message)

    @_take.register
    def _take_loads(self, message: PeerLoads, envelope: Envelope) -> None:
        news = self.loads.take(message, _source(envelope))
        for vm, load in news:
            self._take_load(vm, load)
        self._note_heard(vm for vm, _ in news)
        if news:
            for call in self.on_load_changed:
                call()

    def _take_load(self, vm: str, load: VmLoad) -> None:
        self._load_by_vm[vm] = load
        self._lost_at_by_vm.pop(vm, None)
        self._fleet.confirm(load.list_age)
        self._prefilling.set_peer(vm, {each.engine: each.tokens for each in load.prefilling})
        runs_by_engine = {
            each.engine: tuple(GrowingRun(run.tokens, run.remaining) for run in each.runs)
            for each in load.running
        }
        self._running.set_peer(vm, runs_by_engine, self._node.timers.now())
        work = load.work
        self._demand.set_peer(
            vm,
            StageWork(work.prefills, work.prefill_seconds, work.decodes, work.decode_seconds),
        )

    def _load(self) -> VmLoad:
        age = min(self._fleet.own_list_age, 1e6)
        waiting, own = self._waiting(), self._demand.own
        return VmLoad(
            age,
            _runs(self._running, self._node.timers.now()),
            _tokens(self._prefilling),
            waiting.tokens,
            waiting.urgent_tokens,
            self.is_draining,
            VmWork(own.prefills, own.prefill_seconds, own.decodes, own.decode_seconds),
        )

    def _heartbeat(self) -> None:
        self.loads.beat()
        now = self._node.timers.now()
        silence = SILENT_HEARTBEATS * self.loads.heartbeat_seconds
        for channel in self._peers.channels(PROCESS):
            # A peer may have dialled as well; it sends on one channel of the two.
            if now - self._heard_directly_at_by_vm.get(channel.peer.vm, now) > silence:
                logger.bind(peer=channel.peer.vm).warning("peer is silent; closing its channel")
                task = asyncio.ensure_future(channel.close())
                task.add_done_callback(lambda done: done.cancelled() or done.exception())
        for vm, heard_at in tuple(self._heard_at_by_vm.items()):
            if now - heard_at > silence:
                self._forget(vm)
        self._follow_plan()

    def _forget(self, vm: str) -> None:
        if self._heard_at_by_vm.pop(vm, None) is not None:
            load = self._load_by_vm.get(vm)
            if load is None or not load.is_draining:
                self._lost_at_by_vm[vm] = self._node.timers.now()
            logger.bind(peer=vm).info("peer lost")
        self._load_by_vm.pop(vm, None)
        self.loads.forget(vm)
        self._running.mark_peer_lost(vm)
        self._prefilling.remove_peer(vm)
        for call in self.on_load_changed:
            call()


def _source(envelope: Envelope) -> str:
    """Return the VM that a message came from over a channel."""
    assert envelope.channel is not None
    return envelope.channel.peer.vm


def _runs(running: RunLedger, now: float) -> tuple[EngineRuns, ...]:
    return tuple(
        EngineRuns(engine, tuple(RunSize(run.tokens, run.remaining) for run in runs))
        for engine, runs in running.own(now).items()
    )


def _tokens(ledger: TokenLedger) -> tuple[EngineTokens, ...]:
    return tuple(EngineTokens(engine, tokens) for engine, tokens in ledger.own().items())
