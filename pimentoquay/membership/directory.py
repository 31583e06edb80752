"""Copy of the membership list on this VM, with recent changes for peers that lag."""

from collections import defaultdict
from collections.abc import Iterable

from pimentoquay.messages.cluster import Member, MemberKind, MembershipUpdate
from pimentoquay.messages.membership import MembershipDelta

__all__ = ["MemberDirectory"]

KEPT_DELTAS = 64
"""Number of recent changes kept for peers that are a few versions behind."""


class MemberDirectory:
    """The newest known version of the list; the version never decreases.

    Example
    -------
    ::

        directory = MemberDirectory()
        delta = directory.apply_update(MembershipUpdate(1, (member,)))
        assert directory.member_by_name[member.name] is member
    """

    def __init__(self) -> None:
        self.version = -1
        self.member_by_name: dict[str, Member] = {}
        self.vms_by_data_centre: dict[str, tuple[Member, ...]] = {}
        self.removed_vms: set[str] = set()
        self._deltas: list[MembershipDelta] = []

    @property
    def is_known(self) -> bool:
        """Whether any version of the list is known."""
        return self.version >= 0

    def members(self) -> tuple[Member, ...]:
        """Return the members in order of name."""
        return tuple(self.member_by_name[name] for name in sorted(self.member_by_name))

    def apply_update(self, update: MembershipUpdate) -> MembershipDelta | None:
        """Apply a whole list; return what it changed, or ``None`` if it is not newer."""
        if update.version <= self.version:
            return None
        listed = {member.name: member for member in update.members}
        changed = tuple(
            member for name, member in listed.items() if self.member_by_name.get(name) != member
        )
        removed = tuple(name for name in self.member_by_name if name not in listed)
        delta = MembershipDelta(self.version, update.version, changed, removed)
        self._change(delta)
        return delta

    def apply_delta(self, delta: MembershipDelta) -> bool:
        """Apply a change if it is newer and based on the current version; return whether it was."""
        if delta.base != self.version or delta.version <= self.version:
            return False
        self._change(delta)
        return True

    def answer_for(self, have_version: int) -> MembershipDelta | MembershipUpdate | None:
        """Return the message that updates a peer with ``have_version``, ``None`` if none is needed.

        It is one merged change, or the whole list if the changes are no longer kept.
        """
        if have_version >= self.version:
            return None
        starts = [index for index, delta in enumerate(self._deltas) if delta.base == have_version]
        if not starts or have_version < 0:
            return MembershipUpdate(self.version, self.members())
        return self._merged(self._deltas[starts[-1] :])

    def _merged(self, deltas: Iterable[MembershipDelta]) -> MembershipDelta:
        deltas = tuple(deltas)
        touched = {member.name for delta in deltas for member in delta.changed}
        touched.update(name for delta in deltas for name in delta.removed)
        changed = tuple(
            self.member_by_name[name] for name in sorted(touched) if name in self.member_by_name
        )
        removed = tuple(sorted(name for name in touched if name not in self.member_by_name))
        return MembershipDelta(deltas[0].base, self.version, changed, removed)

    def _change(self, delta: MembershipDelta) -> None:
        for name in delta.removed:
            member = self.member_by_name.pop(name, None)
            if member is not None and member.kind is MemberKind.ENTRY_VM:
                self.removed_vms.add(name)
        for member in delta.changed:
            self.member_by_name[member.name] = member
            self.removed_vms.discard(member.name)
        self.version = delta.version
        self._deltas = [*self._deltas[1 - KEPT_DELTAS :], delta]
        self._index_vms()

    def _index_vms(self) -> None:
        vms: dict[str, list[Member]] = defaultdict(list)
        for name in sorted(self.member_by_name):
            member = self.member_by_name[name]
            if member.kind is MemberKind.ENTRY_VM:
                vms[member.data_centre].append(member)
        self.vms_by_data_centre = {name: tuple(members) for name, members in vms.items()}
