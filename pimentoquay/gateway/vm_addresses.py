"""Addresses of the gateways of a deployment, as one of them knows them."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace

from pimentoquay.kernel.input_checks import refuse
from pimentoquay.messages.fleet import VmAddress
from pimentoquay.policy.tunnel_peers import PeerPlace
from pimentoquay.transport.addresses import check_address

__all__ = ["VmAddresses"]

MAX_VOID_ADDRESSES = 10_000
"""Number of VMs that are gone whose old addresses are not taken over from peers again."""


class VmAddresses:
    """Newest known address of each VM, including this one.

    Parameters
    ----------
    own
        Address of this VM.

    ``removed_at_by_vm`` holds the times at which the records of VMs were removed from the store.
    These VMs still count for a while, and are forgotten unless they write their records again.
    """

    def __init__(self, own: VmAddress) -> None:
        self.by_vm: dict[str, VmAddress] = {own.vm: own}
        self._vm = own.vm
        self._place_by_vm: Mapping[str, PeerPlace] = {}
        self._heard: Collection[str] | None = None
        self.removed_at_by_vm: dict[str, float] = {}
        self._void_by_vm: dict[str, VmAddress] = {}
        self._displaced_position = -1

    @property
    def is_displaced(self) -> bool:
        """Whether the newest known record of this VM states other addresses than its own."""
        return self._displaced_position > self.own.position

    @property
    def own(self) -> VmAddress:
        """Address of this VM."""
        return self.by_vm[self._vm]

    @property
    def turn_order(self) -> tuple[int, int]:
        """Place of this VM in the order of all known VMs, from 0, and their number."""
        return sorted(self.by_vm).index(self._vm), len(self.by_vm)

    def set_tunnel_address(self, address: str) -> None:
        """Set the address at which this VM accepts tunnels."""
        self.by_vm[self._vm] = replace(self.own, tunnel_address=address)

    def update(self, addresses: Collection[VmAddress]) -> tuple[VmAddress, ...]:
        """Store newer addresses, and return those that were newer.

        Those of other VMs to which no connection can be tried are ignored.
        Those of this VM are newer once its own record is read from the store; the position of that
        record lets peers that have an earlier one take the addresses over. A record of this VM that
        states other addresses is from another writer, or from an earlier process.
        """
        for each in addresses:
            if each.vm == self._vm and not self._is_current(each):
                self._displaced_position = max(self._displaced_position, each.position)
        changed = tuple(
            each
            for each in addresses
            if self._is_newer(each)
            and (self._is_current(each) if each.vm == self._vm else _is_usable(each))
        )
        if changed:
            self.by_vm.update({each.vm: each for each in changed})
            for each in changed:
                self.removed_at_by_vm.pop(each.vm, None)
            self._heard = None
        return changed

    def record_removals(self, removed: Iterable[VmAddress], now: float) -> tuple[VmAddress, ...]:
        """Record that records of VMs up to the given positions are removed; return new ones."""
        new = []
        for each in removed:
            known = self.by_vm.get(each.vm)
            if each.vm != self._vm and known is not None and known.position <= each.position:
                if each.vm not in self.removed_at_by_vm:
                    self.removed_at_by_vm[each.vm] = now
                    new.append(each)
                self._void_by_vm.pop(each.vm, None)
                self._void_by_vm[each.vm] = replace(known, position=each.position)
        while len(self._void_by_vm) > MAX_VOID_ADDRESSES:
            del self._void_by_vm[next(iter(self._void_by_vm))]
        return tuple(new)

    def forgotten(self, heard: Collection[str]) -> tuple[VmAddress, ...]:
        """Return the last addresses of VMs that are heard although they have been forgotten."""
        return tuple(
            self._void_by_vm[vm] for vm in heard if vm not in self.by_vm and vm in self._void_by_vm
        )

    def forget_removed(self, seconds: float, heard: Collection[str], now: float) -> tuple[str, ...]:
        """Forget the VMs whose records were removed so long ago, if not heard, and return them."""
        gone = tuple(
            vm for vm, at in self.removed_at_by_vm.items() if now - at > seconds and vm not in heard
        )
        for vm in gone:
            del self.by_vm[vm], self.removed_at_by_vm[vm]
            self._heard = None
        return gone

    def places(self, heard: Collection[str]) -> Mapping[str, PeerPlace]:
        """Return the peers that accept tunnels, with whether they are among those heard lately."""
        if self._heard != heard:
            self._heard = frozenset(heard)
            self._place_by_vm = {
                vm: PeerPlace(each.data_centre, each.tunnel_address, vm in self._heard)
                for vm, each in self.by_vm.items()
                if vm != self._vm and each.tunnel_address
            }
        return self._place_by_vm

    def _is_current(self, address: VmAddress) -> bool:
        return replace(address, position=self.own.position) == self.own

    def _is_newer(self, address: VmAddress) -> bool:
        known = self.by_vm.get(address.vm)
        void = self._void_by_vm.get(address.vm)
        if void is not None and address.vm != self._vm and address.position <= void.position:
            return False
        return known is None or known.position < address.position


def _is_usable(item: VmAddress) -> bool:
    """Return whether both addresses of a VM are empty or can be connected; log if not."""
    try:
        for address in (item.address, item.tunnel_address):
            if address:
                check_address(address)
    except ValueError as error:
        refuse("address of a VM", item.vm, error)
        return False
    return True
