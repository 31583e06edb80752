"""The gateways of a deployment among themselves: who is there, who reads, who holds what."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.reservations import Waiting
from pimentoquay.kernel import Channel, ChannelClosed, ChannelOpened, Envelope, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import (
    EngineRuns,
    EngineTokens,
    FleetCopy,
    RunSize,
    StageOrdered,
    VmAddress,
    VmLoad,
)
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.token_ledger import TokenLedger
from pimentoquay.transport.peers import PeerSet

__all__ = ["Mesh"]

PROCESS = "gateway"

HEARTBEAT_SECONDS = 0.4
"""How often peers hear from each other when nothing happens."""

SILENCE_SECONDS = 1.6
"""The silence after which a channel counts as dead; four heartbeats."""

MISSED_SECONDS = 15.0
"""How long a lost peer counts as one that may still run requests: the longest time budget of
callers; a peer that ended has ended them all, but from here it looks the same."""

COALESCE_SECONDS = 0.005
"""How long changes of what is held are gathered before they are sent."""


class Mesh:
    """Channels to all peers.

    Parameters
    ----------
    node, peers
        The process and its channels.
    fleet, running, prefilling
        What is shared with the peers: records of the store, requests in the memory of decode
        engines, prompts at prefill engines.
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
        address: str,
        waiting: Callable[[], Waiting],
    ) -> None:
        self._node = node
        self._peers = peers
        self._fleet = fleet
        self._running = running
        self._prefilling = prefilling
        self._waiting = waiting
        self._vm = node.identity.vm
        self._address_by_vm: dict[str, str] = {self._vm: address}
        self._started_at = node.timers.now()
        self._lost_at_by_vm: dict[str, float] = {}
        self._heard_at_by_vm: dict[str, float] = {}
        self._load_by_vm: dict[str, VmLoad] = {}
        self._is_send_due = False
        self.is_draining = False
        self.on_load_changed: list[Callable[[], None]] = []
        self.on_stage_ordered: list[Callable[[StageOrdered], None]] = []
        self.inbox = node.bus.subscribe(
            FleetCopy, VmLoad, StageOrdered, ChannelOpened, ChannelClosed
        )

    @property
    def vms(self) -> int:
        """How many gateways share the deployment's limits, this one included."""
        return max(len(self._address_by_vm), 1 + len(self._heard_at_by_vm))

    @property
    def misses_peers(self) -> bool:
        """Whether there may be peers whose requests are not known here."""
        now = self._node.timers.now()
        return now - self._started_at < HEARTBEAT_SECONDS or any(
            now - lost_at < MISSED_SECONDS for lost_at in self._lost_at_by_vm.values()
        )

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
        """Dial peers that are not known yet, and tell the others of them."""
        changed = False
        for peer in vms:
            if self._address_by_vm.get(peer.vm) != peer.address and peer.vm != self._vm:
                self._address_by_vm[peer.vm] = peer.address
                changed = True
        if changed:
            self._peers.want(self._dialled())
            self.publish(FleetCopy(-1, b"", (), -1, self._vms()))

    def dial_seeds(self, addresses: tuple[str, ...]) -> None:
        """Dial addresses whose VMs are not known, until any peer has been heard."""
        known = set(self._address_by_vm.values())
        wanted = {f"seed {each}": each for each in addresses if each not in known}
        if not self._heard_at_by_vm and wanted:
            self._peers.want({**self._dialled(), **wanted})

    def publish(self, copy: FleetCopy | StageOrdered) -> None:
        """Send a change to every peer."""
        for channel in self._channels():
            channel.send(copy)

    def note_held_changed(self) -> None:
        """Tell the peers soon that this gateway holds more or less."""
        if not self._is_send_due:
            self._is_send_due = True
            self._node.timers.after(COALESCE_SECONDS, self._send_load)

    def _dialled(self) -> dict[str, str]:
        return {vm: each for vm, each in self._address_by_vm.items() if vm != self._vm}

    def _vms(self) -> tuple[VmAddress, ...]:
        return tuple(VmAddress(vm, address) for vm, address in self._address_by_vm.items())

    def _channels(self) -> tuple[Channel, ...]:
        """Return one channel a peer; both sides may have dialled."""
        return tuple({each.peer.vm: each for each in self._peers.channels(PROCESS)}.values())

    def _handle(self, envelope: Envelope) -> None:
        if envelope.channel is not None:
            self._heard_at_by_vm[envelope.channel.peer.vm] = self._node.timers.now()
        self._take(envelope.message, envelope)

    @singledispatchmethod
    def _take(self, message: Any, envelope: Envelope) -> None:
        raise TypeError(f"no peer sends {type(message).__name__}")

    @_take.register
    def _take_opened(self, message: ChannelOpened, envelope: Envelope) -> None:
        channel = message.channel
        self._heard_at_by_vm[channel.peer.vm] = self._node.timers.now()
        channel.send(replace(self._fleet.copy(), vms=self._vms()))
        channel.send(self._load())
        logger.bind(peer=channel.peer.vm).info("peer connected")

    @_take.register
    def _take_closed(self, message: ChannelClosed, envelope: Envelope) -> None:
        vm = message.channel.peer.vm
        if self._peers.channel_to(vm, PROCESS) is None:
            self._forget(vm)

    @_take.register
    def _take_copy(self, message: FleetCopy, envelope: Envelope) -> None:
        is_newer = bool(message.configuration) and self._fleet.take_configuration(
            message.configuration_offset, message.configuration
        )
        changed = self._fleet.take_engines(message.engines)
        if message.engines_offset >= 0:
            self._fleet.has_engines = True
        if is_newer:
            news = replace(message, engines=changed, engines_offset=-1, vms=())
            self._pass_on(news, envelope)
        elif changed:
            self._pass_on(FleetCopy(-1, b"", changed, -1, ()), envelope)
        self.know(message.vms)

    @_take.register
    def _take_ordered(self, message: StageOrdered, envelope: Envelope) -> None:
        for call in self.on_stage_ordered:
            call(message)

    @_take.register
    def _take_load(self, message: VmLoad, envelope: Envelope) -> None:
        if envelope.channel is None:
            return
        vm = envelope.channel.peer.vm
        self._load_by_vm[vm] = message
        self._lost_at_by_vm.pop(vm, None)
        self._fleet.confirm(message.list_age)
        self._prefilling.set_peer(vm, {each.engine: each.tokens for each in message.prefilling})
        runs_by_engine = {
            each.engine: tuple(GrowingRun(run.tokens, run.remaining) for run in each.runs)
            for each in message.running
        }
        self._running.set_peer(vm, runs_by_engine, self._node.timers.now())
        for call in self.on_load_changed:
            call()

    def _pass_on(self, copy: FleetCopy, envelope: Envelope) -> None:
        for channel in self._channels():
            if envelope.channel is None or channel.peer.vm != envelope.channel.peer.vm:
                channel.send(copy)

    def _load(self) -> VmLoad:
        age = min(self._fleet.list_age, 1e6)
        waiting = self._waiting()
        return VmLoad(
            age,
            _runs(self._running, self._node.timers.now()),
            _tokens(self._prefilling),
            waiting.tokens,
            waiting.urgent_tokens,
            self.is_draining,
        )

    def _send_load(self) -> None:
        self._is_send_due = False
        load = self._load()
        for channel in self._channels():
            channel.send(load)

    def _heartbeat(self) -> None:
        self._send_load()
        now = self._node.timers.now()
        for channel in self._peers.channels(PROCESS):
            vm = channel.peer.vm
            if now - self._heard_at_by_vm.get(vm, now) > SILENCE_SECONDS:
                logger.bind(peer=vm).warning("peer is silent; closing its channel")
                self._forget(vm)
                task = asyncio.ensure_future(channel.close())
                task.add_done_callback(lambda done: done.cancelled() or done.exception())

    def _forget(self, vm: str) -> None:
        if self._heard_at_by_vm.pop(vm, None) is not None:
            load = self._load_by_vm.get(vm)
            if load is None or not load.is_draining:
                self._lost_at_by_vm[vm] = self._node.timers.now()
            logger.bind(peer=vm).info("peer lost")
        self._load_by_vm.pop(vm, None)
        self._running.lose_peer(vm)
        self._prefilling.drop_peer(vm)
        for call in self.on_load_changed:
            call()


def _runs(running: RunLedger, now: float) -> tuple[EngineRuns, ...]:
    return tuple(
        EngineRuns(engine, tuple(RunSize(run.tokens, run.remaining) for run in runs))
        for engine, runs in running.own(now).items()
    )


def _tokens(ledger: TokenLedger) -> tuple[EngineTokens, ...]:
    return tuple(EngineTokens(engine, tokens) for engine, tokens in ledger.own().items())
