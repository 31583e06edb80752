"""Records of VMs in the platform's store: this gateway's own, and those of VMs that are gone.

As long as all VMs are heard, nothing is written after the start, and little is read. The reader of
the store removes the records of VMs that are gone, and tells the others. A VM that learns that its
record is void, or states other addresses than its own, writes it again; for one of an older build,
which doesn't write a void one again, the reader does.
"""

import math
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.feed import StoreFeed, VmListing
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.mesh import PROCESS, Mesh
from pimentoquay.kernel import Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import VmAddress, VmNews
from pimentoquay.platform.store import StoreError
from pimentoquay.policy.store_position import StoreEra, era_of
from pimentoquay.policy.vm_liveness import (
    NO_NEWS_SECONDS,
    READ_SECONDS,
    REMOVED_SECONDS,
    VmLiveness,
)
from pimentoquay.transport.peers import PeerSet

__all__ = ["VmRegistry"]

TICK_SECONDS = 0.25
"""Interval at which it is looked for VMs that have fallen silent."""

ENDED_CHANNEL_SECONDS = 1.2
"""Age of the last message up to which a closed channel shows the end of its process. One that is
closed since nothing arrives has been silent for longer."""

REPORT_SECONDS = 4.0
"""Interval at which relays name the VMs that they hear to the reader of the store."""

REPORT_AGE_SECONDS = 10.0
"""Age up to which the report of a relay is used."""

NEWS_SECONDS = 30.0
"""Time for which VMs that are gone are named to all others repeatedly, as messages get lost."""

REWRITE_SECONDS = 3.0
"""Time after which the reader writes the removed record of a VM that it hears, and least time
between two records of this VM."""

RESYNC_SECONDS = 60.0
"""Interval at which all VMs of a full mesh read the records, in case they have missed a removal."""

RESYNC_BEHIND_RELAYS_SECONDS = 300.0
"""The same with relays, where there are more VMs and longer lists."""

RETRY_SECONDS = 0.5
"""Delay before the records are read again after a failed read."""

MAX_REMOVALS = 100
"""Number of records that are removed after one read."""


class VmRegistry:
    """Keeps the records of VMs up to date.

    Parameters
    ----------
    node, fleet, mesh, peers
        The process, the age of its news of the store, the VMs that it knows, and its channels.
    era
        Tells when the store was restored.
    feed
        Returns the reader and writer of the records.
    """

    def __init__(
        self,
        node: Node,
        fleet: Fleet,
        mesh: Mesh,
        peers: PeerSet,
        era: StoreEra,
        feed: Callable[[], StoreFeed],
    ) -> None:
        self._vm = node.identity.vm
        self._timers = node.timers
        self._fleet, self._mesh, self._peers, self._feed = fleet, mesh, peers, feed
        self._liveness = VmLiveness(self._vm)
        self._observed_at = -math.inf
        self._connected: frozenset[str] = frozenset()
        self._report_by_relay: dict[str, tuple[float, tuple[str, ...]]] = {}
        self._sent_at = -math.inf
        self._news_by_vm: dict[str, tuple[float, VmAddress]] = {}
        self._read_at = -math.inf
        self._has_missed_news = False
        self._listed: frozenset[str] = frozenset()
        self._listed_end = 0
        self._is_void = False
        self._was_restored = False
        self._entered_at = -math.inf
        era.on_raised.append(self._handle_restored)

    async def run(self) -> None:
        """Write this VM's record, and keep all up to date until cancelled."""
        await self._enter()
        while True:
            await self._timers.sleep(TICK_SECONDS)
            self._observe()
            if self._is_void or self._was_restored or self._is_displaced():
                await self._enter()
            elif self._timers.now() - self._read_at >= self._read_interval():
                await self._look()

    @singledispatchmethod
    def receive(self, message: Any, source: str) -> None:
        """Handle a message of a gateway; those of other types are not for the registry."""

    @receive.register
    def _handle_news(self, message: VmNews, source: str) -> None:
        now, addresses = self._timers.now(), self._mesh.addresses
        if message.heard:
            self._report_by_relay[source] = now, message.heard
        for each in message.gone:
            if each.vm == self._vm and each.position >= addresses.own.position >= 0:
                self._is_void = True
        addresses.record_removals(message.gone, now)

    def _handle_restored(self) -> None:
        # A restored store may have lost this VM's address and have those of new VMs.
        self._was_restored = True

    async def _enter(self) -> None:
        """Write this VM's record, and read all."""
        self._is_void = self._was_restored = False
        self._entered_at = self._timers.now()
        await self._feed().announce(self._mesh.addresses.own)
        while (listing := await self._read()) is None:
            await self._timers.sleep(RETRY_SECONDS)
        self._mesh.step.knows_peers = True
        self._apply(listing)

    def _is_displaced(self) -> bool:
        """Return whether to write this VM's record again, as peers have another one."""
        is_due = self._timers.now() - self._entered_at > REWRITE_SECONDS
        return is_due and self._mesh.addresses.is_displaced

    async def _read(self) -> VmListing | None:
        self._read_at = self._timers.now()
        try:
            return await self._feed().read_vm_addresses()
        except StoreError as error:
            logger.bind(error=str(error)).info("failed to read the peers' addresses; will retry")
            return None

    def _read_interval(self) -> float:
        now, mesh = self._timers.now(), self._mesh
        has_news_again = self._has_missed_news and self._fleet.list_age < NO_NEWS_SECONDS
        if has_news_again or self._gone():
            return RETRY_SECONDS
        is_missing = self._may_look() and self._liveness.missing(now, not mesh.plan.is_full)
        addresses = mesh.addresses
        is_open = addresses.removed_at_by_vm or addresses.forgotten(self._heard())
        if is_missing or (is_open and mesh.is_reader()):
            return READ_SECONDS
        return RESYNC_SECONDS if mesh.plan.is_full else RESYNC_BEHIND_RELAYS_SECONDS

    def _heard(self) -> frozenset[str]:
        """Return the VMs that are connected to this gateway, or to a relay that has said so."""
        return self._connected.union(*(vms for _, vms in self._report_by_relay.values()))

    def _gone(self) -> frozenset[str]:
        """Return the VMs that are gone, of those whose records have not been removed."""
        mesh, addresses = self._mesh, self._mesh.addresses
        if not self._may_look():
            return frozenset()
        counted = {
            vm: each.data_centre
            for vm, each in addresses.by_vm.items()
            if vm not in addresses.removed_at_by_vm and (each.address or vm == self._vm)
        }
        has_relays = not mesh.plan.is_full
        return self._liveness.gone(counted, self._timers.now(), has_relays, mesh.is_reader())

    def _may_look(self) -> bool:
        """Return whether this gateway hears, itself or by relays, of all VMs that are alive."""
        mesh, now = self._mesh, self._timers.now()
        relays = mesh.relays.live_relays() - {self._vm}
        if mesh.plan.is_full or not relays:
            return True
        reported = {
            vm for vm, (at, _) in self._report_by_relay.items() if now - at <= REPORT_AGE_SECONDS
        }
        return mesh.is_reader() and relays <= reported

    def _observe(self) -> None:
        """Record which VMs are heard, and tell others what they need to know."""
        now, mesh = self._timers.now(), self._mesh
        self._has_missed_news |= self._fleet.list_age >= NO_NEWS_SECONDS
        direct = mesh.presence.last_direct_at_by_vm
        heard_at = dict(direct)
        for vm, (at, vms) in tuple(self._report_by_relay.items()):
            if now - at > REPORT_AGE_SECONDS:
                del self._report_by_relay[vm]
            for each in vms:
                heard_at[each] = max(at, heard_at.get(each, at))
        # A VM without an address for peers may run although nobody hears it.
        known = {vm for vm, each in mesh.addresses.by_vm.items() if each.address}
        self._liveness.update(known, heard_at, now)
        connected = frozenset(each.peer.vm for each in self._peers.channels(PROCESS))
        if mesh.plan.is_full and now - self._observed_at <= ENDED_CHANNEL_SECONDS:
            for vm in self._connected - connected:
                if now - direct.get(vm, -math.inf) <= ENDED_CHANNEL_SECONDS:
                    self._liveness.record_end(vm, now)
        self._connected, self._observed_at = connected, now
        self._record_absent()
        forgotten = mesh.addresses.forget_removed(REMOVED_SECONDS, connected, now)
        for vm in forgotten:
            logger.bind(peer=vm).info("VM is gone")
            mesh.relays.forget_vm(vm)
            mesh.presence.forget_vm(vm)
        if forgotten:
            mesh.update_plan()
        if now - self._sent_at >= REPORT_SECONDS:
            self._sent_at = now
            self._send_reports()

    def _send_reports(self) -> None:
        mesh, now = self._mesh, self._timers.now()
        for vm, (at, _) in tuple(self._news_by_vm.items()):
            if now - at > NEWS_SECONDS:
                del self._news_by_vm[vm]
        self._send_news(tuple(each for _, each in self._news_by_vm.values()))
        if not mesh.plan.is_full and self._vm in mesh.plan.relays and not mesh.is_reader():
            states = mesh.relays.live_states()
            readers = [vm for vm, state in states.items() if not state.is_draining]
            if readers and self._connected:
                news = VmNews(tuple(sorted(self._connected)), ())
                mesh.relays.send_to(min(readers), news)

    def _send_news(self, gone: tuple[VmAddress, ...]) -> None:
        if gone:
            for vm in self._mesh.addresses.by_vm.keys() - {self._vm}:
                self._mesh.relays.send_to(vm, VmNews((), gone[-MAX_REMOVALS:]))

    async def _look(self) -> None:
        """Read the records, and remove those of VMs that are gone."""
        listing = await self._read()
        if listing is None:
            return
        self._has_missed_news = False
        self._apply(listing)
        try:
            await self._remove(listing, sorted(self._gone())[:MAX_REMOVALS])
            if self._mesh.is_reader():
                await self._write_again()
        except StoreError as error:
            logger.bind(error=str(error)).info("failed to write records of VMs; will retry")

    def _apply(self, listing: VmListing) -> None:
        self._mesh.update_addresses(listing.addresses)
        self._listed = frozenset(each.vm for each in listing.addresses)
        self._listed_end = listing.next_position
        self._is_void |= self._vm not in self._listed
        self._record_absent()

    def _record_absent(self) -> None:
        """Record that VMs are known, maybe from a peer only, whose records have been removed."""
        addresses, end, now = self._mesh.addresses, self._listed_end, self._timers.now()
        absent = (
            VmAddress(vm, "", "", end - 1)
            for vm, each in addresses.by_vm.items()
            if vm not in self._listed
            and 0 <= each.position < end
            and era_of(each.position) == era_of(end)
        )
        removed = addresses.record_removals(tuple(absent), now)
        if removed and self._mesh.is_reader():
            self._tell(removed)

    def _tell(self, removed: tuple[VmAddress, ...]) -> None:
        """Tell all VMs, also those that were taken for gone, whose records are void."""
        now = self._timers.now()
        self._news_by_vm.update({each.vm: (now, each) for each in removed})
        self._send_news(removed)

    async def _remove(self, listing: VmListing, vms: list[str]) -> None:
        """Remove records, as long as nobody else has written one since they were read."""
        addresses, position = self._mesh.addresses, listing.next_position
        removed = []
        try:
            for vm in vms:
                if vm in self._listed:
                    written = await self._feed().remove_vm(vm, position)
                    if written is None:
                        break
                    position = written + 1
                logger.bind(peer=vm).info("VM is taken for gone; its record is removed")
                self._liveness.record_removal(vm, self._timers.now())
                removed.append(VmAddress(vm, "", "", max(0, position - 1)))
        finally:
            addresses.record_removals(removed, self._timers.now())
            self._tell(tuple(removed))

    async def _write_again(self) -> None:
        """Write the records of VMs that are heard although their records were removed."""
        addresses, now, heard = self._mesh.addresses, self._timers.now(), self._heard()
        for each in addresses.forgotten(heard):
            await self._feed().write_vm(each)
        for vm, at in tuple(addresses.removed_at_by_vm.items()):
            if vm in heard and now - at > REWRITE_SECONDS:
                await self._feed().write_vm(addresses.by_vm[vm])
