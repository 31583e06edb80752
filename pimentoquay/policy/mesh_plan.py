"""Topology of the channels between gateways: a full mesh, or relays in each data centre.

Load pattern: tens to hundreds of VMs that send their loads to each other several times a second. Up
to 16 VMs form a full mesh. If there are more, some VMs of each data centre act as relays. All VMs
compute the same order of the VMs from hashes of their names, and the first of each data centre are
its relays. Every VM keeps channels to two relays of its data centre; relays keep channels to each
other and forward the messages that they receive. A VM then has the same small number of channels
however many VMs there are, and a message reaches all VMs over at most three channels.

Failure pattern: relays that fail, and data centres that are cut off. Unreachable VMs are replaced
as relays by the next ones in the order. The first VMs of the order are still dialled while they are
unreachable, so that both sides of a cut find each other when it is over.
"""

import functools
import hashlib
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

__all__ = ["FULL_MESH_VMS", "MeshPlan", "hash_rank", "needs_relays", "plan_mesh"]

FULL_MESH_VMS = 16
"""Maximum number of VMs in a full mesh.

Each VM then has at most 30 channels, as both ends may have dialled.
"""

VMS_PER_RELAY = 8
"""Number of VMs per relay in a data centre; as each VM uses two relays, a relay serves 16 VMs."""

RELAYS_PER_VM = 2
"""Number of relays that a VM keeps channels to, so that the loss of one does not cut it off."""


@dataclass(frozen=True)
class MeshPlan:
    """VMs to dial, and VMs that act as relays; in a full mesh there are no relays."""

    dialled: frozenset[str]
    relays: frozenset[str] = frozenset()

    @property
    def is_full(self) -> bool:
        """Whether all VMs keep channels to each other, without relays."""
        return not self.relays

    def should_forward(self, source: str | None, target: str) -> bool:
        """Return whether a message received from ``source`` has to be sent to ``target``.

        ``source`` is None for messages of this VM itself. A message from a relay is not forwarded
        to other relays, as that relay has sent it to them itself.
        """
        if source is None:
            return True
        if self.is_full or source == target:
            return False
        return source not in self.relays or target not in self.relays


def needs_relays(vm_count: int) -> bool:
    """Return whether a deployment of so many VMs has relays instead of a full mesh."""
    return vm_count > FULL_MESH_VMS


def plan_mesh(
    own: str, data_centre_by_vm: Mapping[str, str], reachable: Collection[str]
) -> MeshPlan:
    """Return the topology as seen by one VM.

    Load pattern: many VMs that exchange their loads several times a second.

    Parameters
    ----------
    own
        VM for which the plan is made.
    data_centre_by_vm
        Data centre of every known VM, including ``own``.
    reachable
        VMs that are not known to have failed.

    Example
    -------
    >>> sorted(plan_mesh("a", {"a": "hall", "b": "hall", "c": "port"}, ()).dialled)
    ['b', 'c']
    """
    if not needs_relays(len(data_centre_by_vm)):
        return MeshPlan(frozenset(data_centre_by_vm) - {own})
    relays: set[str] = set()
    for data_centre in set(data_centre_by_vm.values()):
        ordered = sorted(
            (vm for vm, each in data_centre_by_vm.items() if each == data_centre), key=hash_rank
        )
        count = max(RELAYS_PER_VM, math.ceil(len(ordered) / VMS_PER_RELAY))
        active = [vm for vm in ordered if vm in reachable or vm == own]
        relays.update(ordered[:count], active[:count])
    if own in relays:
        return MeshPlan(frozenset(relays - {own}), frozenset(relays))
    local_relays = [vm for vm in relays if data_centre_by_vm[vm] == data_centre_by_vm[own]]
    local_relays.sort(key=lambda vm: (vm not in reachable, hash_rank(f"{own} {vm}")))
    return MeshPlan(frozenset(local_relays[:RELAYS_PER_VM]), frozenset(relays))


@functools.lru_cache(maxsize=8192)
def hash_rank(name: str) -> bytes:
    """Return a value by which all VMs order names alike, without any pattern."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
