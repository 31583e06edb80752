"""Ranking of VMs: which one reads the log, writes checkpoints and pushes changes to which peers."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pimentoquay.membership.mesh import rendezvous_order
from pimentoquay.messages.cluster import ClusterView, MemberKind, MemberState

__all__ = ["FAN_OUT", "VmRanks", "listed_neighbours", "ranks_of", "relay_children"]

FAN_OUT = 2
"""Number of VMs that each VM pushes changes to; with 2, four steps reach 30 VMs."""

READER_KEY = "configuration-reader"
CHECKPOINT_KEY = "configuration-checkpoint"


@dataclass(frozen=True)
class VmRanks:
    """Ranks that decide the tasks of a VM; rank 0 comes first.

    Attributes
    ----------
    order
        Live VMs of the data centre; the first one reads the log.
    reader_rank
        Position of this VM in ``order``, or its length if the VM is not in it.
    checkpoint_rank
        Position of the data centre among all data centres for writing checkpoints.
    """

    order: tuple[str, ...]
    reader_rank: int
    checkpoint_rank: int

    @property
    def is_reader(self) -> bool:
        """Whether this VM reads the log for its data centre."""
        return self.reader_rank == 0


def ranks_of(view: ClusterView, vm: str, data_centre: str) -> VmRanks:
    """Return the ranks of a VM by rendezvous hashing over the live VMs of a view."""
    live = set(view.live_vms)
    data_centre_by_vm = {
        member.name: member.data_centre
        for member in view.members
        if member.kind is MemberKind.ENTRY_VM and member.name in live
    }
    neighbours = [name for name, location in data_centre_by_vm.items() if location == data_centre]
    data_centres = sorted(set(data_centre_by_vm.values()))
    order = rendezvous_order(f"{READER_KEY}@{data_centre}", neighbours)
    return VmRanks(
        order, _rank(vm, order), _rank(data_centre, rendezvous_order(CHECKPOINT_KEY, data_centres))
    )


def listed_neighbours(view: ClusterView, vm: str, data_centre: str) -> frozenset[str]:
    """Return the other VMs of a data centre that the membership list states as live."""
    return frozenset(
        member.name
        for member in view.members
        if member.kind is MemberKind.ENTRY_VM
        and member.state is MemberState.LIVE
        and member.data_centre == data_centre
        and member.name != vm
    )


def relay_children(vm: str, order: Sequence[str], neighbours: Iterable[str]) -> tuple[str, ...]:
    """Return the VMs that ``vm`` pushes changes to.

    The VMs of a data centre form a tree with the reader at its root, in which a VM has up to
    ``FAN_OUT`` children. ``neighbours`` that are not in ``order``, such as leaving VMs, are added
    at its end.
    """
    late = sorted({vm, *neighbours} - set(order))
    names = (*order, *late)
    first = names.index(vm) * FAN_OUT + 1
    return names[first : first + FAN_OUT]


def _rank(name: str, ordered: Sequence[str]) -> int:
    return ordered.index(name) if name in ordered else len(ordered)
