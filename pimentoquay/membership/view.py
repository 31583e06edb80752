"""Builds ``ClusterView`` messages and the changes between them.

To encode or decode a whole view of a large cluster takes tens of milliseconds, which delays streams
noticeably. An entry process therefore gets one whole view and then only changes.
"""

from pimentoquay.membership.directory import MemberDirectory
from pimentoquay.messages.cluster import ClusterView, Member
from pimentoquay.messages.membership import ClusterViewChange

__all__ = ["ViewBuilder", "changed_view", "view_change"]


class ViewBuilder:
    """Builds a new view only if its inputs have changed since the last one.

    While nothing has changed, this costs only a few comparisons.
    """

    def __init__(self) -> None:
        self.current: ClusterView | None = None
        self._inputs: object = None

    def build(
        self,
        directory: MemberDirectory,
        unlisted: tuple[Member, ...],
        live_vms: tuple[str, ...],
        reachable: tuple[str, ...],
    ) -> ClusterView | None:
        """Return a new view, or ``None`` if nothing in it has changed."""
        inputs = (directory.version, unlisted, live_vms, reachable)
        if inputs == self._inputs:
            return None
        self._inputs = inputs
        members = directory.members()
        if unlisted:
            by_name = {member.name: member for member in (*members, *unlisted)}
            members = tuple(by_name[name] for name in sorted(by_name))
        version = self.current.version + 1 if self.current is not None else 1
        self.current = ClusterView(version, members, live_vms, reachable)
        return self.current


def view_change(before: ClusterView, after: ClusterView) -> ClusterViewChange:
    """Return the change from one view to a later one."""
    member_by_name = {member.name: member for member in before.members}
    names_after = {member.name for member in after.members}
    live_before, live_after = frozenset(before.live_vms), frozenset(after.live_vms)
    return ClusterViewChange(
        before.version,
        after.version,
        tuple(member for member in after.members if member_by_name.get(member.name) != member),
        tuple(name for name in member_by_name if name not in names_after),
        tuple(sorted(live_after - live_before)),
        tuple(sorted(live_before - live_after)),
        after.reachable_data_centres,
    )


def changed_view(view: ClusterView, change: ClusterViewChange) -> ClusterView:
    """Return the view after a change; raise ``ValueError`` if it is based on another view."""
    if change.base != view.version:
        raise ValueError(f"a change of view {change.base} does not fit view {view.version}")
    member_by_name = {member.name: member for member in view.members}
    member_by_name.update((member.name, member) for member in change.changed)
    for name in change.removed:
        member_by_name.pop(name, None)
    live = (set(view.live_vms) | set(change.joined_vms)) - set(change.lost_vms)
    return ClusterView(
        change.version,
        tuple(member_by_name[name] for name in sorted(member_by_name)),
        tuple(sorted(live)),
        change.reachable_data_centres,
    )
