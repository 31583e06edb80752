"""Membership list combined with liveness; does no I/O, callers pass the time in seconds."""

from pimentoquay.kernel import Identity
from pimentoquay.membership.directory import MemberDirectory
from pimentoquay.membership.liveness import PeerLiveness
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.messages.membership import DataCentreReport

__all__ = ["ClusterState"]

LiveVms = tuple[str, ...]
"""Names of live VMs."""


class ClusterState:
    """Members and live VMs of the cluster, as this VM sees them.

    Parameters
    ----------
    identity
        Identity of this control process.
    section
        Timeouts and the address of this VM.
    """

    def __init__(self, identity: Identity, section: MembershipSection) -> None:
        self.directory = MemberDirectory()
        self.liveness = PeerLiveness(section.silent_after, section.closed_after)
        self.is_draining = False
        self._identity = identity
        self._section = section
        self._announced: dict[str, Member] = {}
        self._settle_until: float | None = None
        self._has_settled = False

    def note_announcement(self, member: Member) -> bool:
        """Store the member entry that a VM announced for itself; return whether it is new."""
        is_new = self._announced.get(member.name) != member
        self._announced[member.name] = member
        return is_new

    @property
    def is_settled(self) -> bool:
        """Whether the start-up wait was over at the last call of ``has_settled``."""
        return self._has_settled

    @property
    def own_member(self) -> Member | None:
        """Member entry of this VM, from the list or else from its settings."""
        identity = self._identity
        listed = self.directory.member_by_name.get(identity.vm)
        if listed is not None or not self._section.advertise:
            return listed
        return Member(
            identity.vm,
            MemberKind.ENTRY_VM,
            MemberState.LIVE,
            identity.region,
            identity.data_centre,
            self._section.advertise,
            "",
            False,
        )

    @property
    def is_leaving(self) -> bool:
        """Whether this VM is draining, is listed as leaving or was removed from the list."""
        vm = self._identity.vm
        is_removed = vm in self.directory.removed_vms
        return self.is_draining or is_removed or self._is_listed_leaving(vm)

    def live_peers(self, now: float) -> LiveVms:
        """Return the peers of this data centre that are alive and not leaving."""
        return tuple(
            vm
            for vm in self.liveness.known_vms(self._identity.data_centre)
            if self.liveness.is_alive(vm, now)
            and not self.liveness.is_leaving(vm)
            and not self._is_listed_leaving(vm)
            and (vm in self.directory.member_by_name or vm in self._announced)
        )

    def live_vms(self, now: float) -> LiveVms:
        """Return the sorted live VMs of this data centre, including this one unless it leaves."""
        vm = self._identity.vm
        own = () if self.is_leaving or self.own_member is None else (vm,)
        return tuple(sorted((*own, *self.live_peers(now))))

    def has_settled(self, live: LiveVms, remote: dict[str, DataCentreReport], now: float) -> bool:
        """Return whether the start-up wait is over, because all have reported or by timeout.

        All have reported once this VM has heartbeats of the listed live VMs of its data centre and
        a report of each other data centre with listed live VMs. Once true, the result stays true.
        """
        if not self._has_settled:
            if self._settle_until is None:
                self._settle_until = now + self._section.settle
            own = self._identity.data_centre
            other_data_centres = [name for name in self.directory.vms_by_data_centre if name != own]
            have_reported = set(self._listed_live(own)) <= set(live) and all(
                name in remote for name in other_data_centres if self._listed_live(name)
            )
            self._has_settled = have_reported or now >= self._settle_until
        return self._has_settled

    def report(self, live: LiveVms) -> DataCentreReport:
        """Return how the live VMs of this data centre differ from the list."""
        own = self._identity.data_centre
        missing = tuple(name for name in self._listed_live(own) if name not in live)
        return DataCentreReport(own, True, missing, self.unlisted(live))

    def unlisted(self, live: LiveVms) -> tuple[Member, ...]:
        """Return the member entries of live VMs that are not on the list."""
        return tuple(
            self._member_of(name) for name in live if name not in self.directory.member_by_name
        )

    def live_by_data_centre(
        self, live: LiveVms, remote: dict[str, DataCentreReport]
    ) -> dict[str, LiveVms]:
        """Return the live VMs by data centre.

        Those of another data centre are the VMs listed as live, corrected by its report if there
        is one.
        """
        own = self._identity.data_centre
        live_by_name = {own: live}
        for data_centre in self.directory.vms_by_data_centre:
            if data_centre == own:
                continue
            names = set(self._listed_live(data_centre))
            report = remote.get(data_centre)
            if report is not None:
                names.update(member.name for member in report.unlisted)
                names.difference_update(report.missing)
            live_by_name[data_centre] = tuple(sorted(names))
        return live_by_name

    def _listed_live(self, data_centre: str) -> LiveVms:
        members = self.directory.vms_by_data_centre.get(data_centre, ())
        return tuple(member.name for member in members if member.state is MemberState.LIVE)

    def _is_listed_leaving(self, vm: str) -> bool:
        member = self.directory.member_by_name.get(vm)
        return member is not None and member.state is MemberState.LEAVING

    def _member_of(self, vm: str) -> Member:
        own = self.own_member
        return own if own is not None and own.name == vm else self._announced[vm]
