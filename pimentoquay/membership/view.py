"""Builds ``ClusterView`` messages, one for each real change and none otherwise."""

from pimentoquay.membership.directory import MemberDirectory
from pimentoquay.messages.cluster import ClusterView, Member

__all__ = ["ViewBuilder"]


class ViewBuilder:
    """Remembers the last view, so that an unchanged cluster costs a few comparisons."""

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
