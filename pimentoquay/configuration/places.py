"""Which VM reads the log for its data centre, who passes changes on, who writes checkpoints."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pimentoquay.membership.mesh import ranked
from pimentoquay.messages.cluster import ClusterView, MemberKind, MemberState

__all__ = ["FAN_OUT", "Place", "listed_neighbours", "place_of", "relay_children"]

FAN_OUT = 2
"""VMs that each VM passes changes on to; four steps reach 30 VMs."""

READER_KEY = "configuration-reader"
CHECKPOINT_KEY = "configuration-checkpoint"


@dataclass(frozen=True)
class Place:
    """A VM's place in the order of readers; rank 0 goes first.

    ``order`` holds the live VMs of the data centre and ``reader_rank`` this VM's place in it;
    ``checkpoint_rank`` is that of the data centre among all data centres.
    """

    order: tuple[str, ...]
    reader_rank: int
    checkpoint_rank: int

    @property
    def is_reader(self) -> bool:
        """Whether this VM reads the log for its data centre."""
        return self.reader_rank == 0


def place_of(view: ClusterView, vm: str, data_centre: str) -> Place:
    """Return the place of a VM by rendezvous order over the live VMs of a view."""
    live = set(view.live_vms)
    data_centre_by_vm = {
        member.name: member.data_centre
        for member in view.members
        if member.kind is MemberKind.ENTRY_VM and member.name in live
    }
    neighbours = [name for name, place in data_centre_by_vm.items() if place == data_centre]
    data_centres = sorted(set(data_centre_by_vm.values()))
    order = ranked(f"{READER_KEY}@{data_centre}", neighbours)
    return Place(order, _rank(vm, order), _rank(data_centre, ranked(CHECKPOINT_KEY, data_centres)))


def listed_neighbours(view: ClusterView, vm: str, data_centre: str) -> frozenset[str]:
    """Return the other VMs of a data centre that are listed as live, heard or not."""
    return frozenset(
        member.name
        for member in view.members
        if member.kind is MemberKind.ENTRY_VM
        and member.state is MemberState.LIVE
        and member.data_centre == data_centre
        and member.name != vm
    )


def relay_children(vm: str, order: Sequence[str], neighbours: Iterable[str]) -> tuple[str, ...]:
    """Return the VMs that ``vm`` passes changes on to.

    The VMs of a data centre form a tree with the reader at its root, ``FAN_OUT`` wide.
    ``neighbours`` that are not in the order, such as those that leave, are its last leaves.
    """
    late = sorted({vm, *neighbours} - set(order))
    names = (*order, *late)
    first = names.index(vm) * FAN_OUT + 1
    return names[first : first + FAN_OUT]


def _rank(name: str, ordered: Sequence[str]) -> int:
    return ordered.index(name) if name in ordered else len(ordered)
