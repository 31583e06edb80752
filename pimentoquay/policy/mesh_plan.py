"""Which peers a gateway keeps channels to.

Load pattern: some tens to hundreds of VMs that tell each other what they hold several times a
second. Up to sixteen keep channels to all others. More than that name relays in each data centre,
by an order that all compute alike from the VMs' names: every VM keeps channels to two relays of its
data centre, and relays keep channels to each other and pass on what they hear. A VM then has the
same few channels however many VMs there are, and what one says reaches all over three channels.

Failure pattern: relays that end, and data centres that are cut off. VMs that are not heard are
passed over in the order, and the first of the order are dialled all the same, so that both sides of
a cut find each other when it ends.
"""

import hashlib
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

__all__ = ["MeshPlan", "plan_mesh"]

FULL_MESH_VMS = 16
"""The most VMs that all keep channels to each other; each then has at most 30."""

VMS_PER_RELAY = 8
"""The VMs of a data centre for each of its relays; with two relays a VM, each serves sixteen."""

RELAYS_OF_A_VM = 2
"""The relays that a VM keeps channels to, so that the end of one cuts nobody off."""


@dataclass(frozen=True)
class MeshPlan:
    """The VMs to dial, and those that pass on what they hear; none do in a full mesh."""

    dialled: frozenset[str]
    relays: frozenset[str] = frozenset()

    @property
    def is_full(self) -> bool:
        """Whether all VMs keep channels to each other."""
        return not self.relays

    def passes_on(self, source: str | None, target: str) -> bool:
        """Return whether news that came from ``source`` is to be sent to ``target``.

        ``source`` is None for news of this VM itself. What a relay says has reached the other
        relays already.
        """
        if source is None:
            return True
        if self.is_full or source == target:
            return False
        return source not in self.relays or target not in self.relays


def plan_mesh(own: str, data_centre_by_vm: Mapping[str, str], heard: Collection[str]) -> MeshPlan:
    """Return the plan of the VM ``own``, which is among the VMs given.

    Parameters
    ----------
    own
        The VM whose plan it is.
    data_centre_by_vm
        Every VM that is known, this one included.
    heard
        The VMs that are heard, directly or over relays.

    Example
    -------
    >>> sorted(plan_mesh("a", {"a": "hall", "b": "hall", "c": "port"}, ()).dialled)
    ['b', 'c']
    """
    if len(data_centre_by_vm) <= FULL_MESH_VMS:
        return MeshPlan(frozenset(data_centre_by_vm) - {own})
    relays: set[str] = set()
    for data_centre in set(data_centre_by_vm.values()):
        ordered = sorted(
            (vm for vm, each in data_centre_by_vm.items() if each == data_centre), key=_rank
        )
        count = max(RELAYS_OF_A_VM, math.ceil(len(ordered) / VMS_PER_RELAY))
        acting = [vm for vm in ordered if vm in heard or vm == own]
        relays.update(ordered[:count], acting[:count])
    if own in relays:
        return MeshPlan(frozenset(relays - {own}), frozenset(relays))
    near = [vm for vm in relays if data_centre_by_vm[vm] == data_centre_by_vm[own]]
    near.sort(key=lambda vm: (vm not in heard, _rank(f"{own} {vm}")))
    return MeshPlan(frozenset(near[:RELAYS_OF_A_VM]), frozenset(relays))


def _rank(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
