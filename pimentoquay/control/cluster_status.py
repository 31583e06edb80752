"""Status lines about the cluster as this VM sees it: shards, VMs and data centres."""

from collections.abc import Iterator

from pimentoquay.kernel import Identity
from pimentoquay.membership.ownership import shard_owner, shards_of
from pimentoquay.messages.cluster import ClusterView, MemberKind, MemberState
from pimentoquay.messages.operator import StatusLine

__all__ = ["cluster_status_lines"]


def cluster_status_lines(view: ClusterView | None, identity: Identity) -> list[StatusLine]:
    """Return the status lines about shards, silent VMs and unreachable data centres.

    Parameters
    ----------
    view
        Current view of the cluster, or ``None`` if there is none yet.
    identity
        Identity of this process. Only shards of its data centre or region, and silent VMs of its
        data centre, are reported.
    """
    if view is None:
        return [StatusLine("membership", "list", "stuck", "no membership list yet")]
    return [*_shard_lines(view, identity), *_vm_lines(view, identity), *_data_centre_lines(view)]


def _shard_lines(view: ClusterView, identity: Identity) -> Iterator[StatusLine]:
    for shard in shards_of(view.members).values():
        if not shard.is_near(identity):
            continue
        owner = shard_owner(shard, view.members, view.live_vms)
        if owner == identity.vm:
            detail = f"owned, {len(shard.engines)} engines"
            yield StatusLine("scheduler", shard.name, "ok", detail)
        elif not owner:
            detail = "no owner: every VM near it is leaving or silent"
            yield StatusLine("scheduler", shard.name, "stuck", detail)


def _vm_lines(view: ClusterView, identity: Identity) -> Iterator[StatusLine]:
    for member in view.members:
        if member.kind is not MemberKind.ENTRY_VM or member.name in view.live_vms:
            continue
        if member.data_centre != identity.data_centre or member.name == identity.vm:
            continue
        if member.state is MemberState.LIVE:
            detail = "suspected: listed as live, but silent or leaving; others own its shards"
            yield StatusLine("membership", member.name, "waiting", detail)


def _data_centre_lines(view: ClusterView) -> Iterator[StatusLine]:
    listed = {
        member.data_centre
        for member in view.members
        if member.kind is MemberKind.ENTRY_VM and member.state is MemberState.LIVE
    }
    for name in sorted(listed - set(view.reachable_data_centres)):
        yield StatusLine("membership", name, "waiting", "cut off: none of its VMs is in reach")
