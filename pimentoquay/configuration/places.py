"""Which VM reads the log for its data centre, and who copies the configuration onto it."""

import hashlib
from dataclasses import dataclass

from pimentoquay.messages.cluster import ClusterView, MemberKind

__all__ = ["Place", "place_of"]

READER_KEY = "configuration-reader"
CHECKPOINT_KEY = "configuration-checkpoint"


@dataclass(frozen=True)
class Place:
    """A VM's place in the order of readers; rank 0 goes first.

    ``reader_rank`` is among the VMs of the data centre, ``checkpoint_rank`` that of the data
    centre among all data centres.
    """

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
    return Place(
        _rank(f"{READER_KEY}@{data_centre}", vm, neighbours),
        _rank(CHECKPOINT_KEY, data_centre, data_centres),
    )


def _rank(key: str, name: str, candidates: list[str]) -> int:
    ordered = sorted(candidates, key=lambda item: (_weight(key, item), item), reverse=True)
    return ordered.index(name) if name in ordered else len(ordered)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
