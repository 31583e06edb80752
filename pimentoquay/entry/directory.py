"""Index of the cluster view for the lookups of each request, built once per view."""

from collections import defaultdict

from pimentoquay.membership import Shard, owner_of, shards_of
from pimentoquay.messages.cluster import ClusterView, Member, MemberKind, MemberState

__all__ = ["ClusterDirectory"]


class ClusterDirectory:
    """Lookup of members, shards, shard owners and plain services in one ``ClusterView``.

    Parameters
    ----------
    view
        The cluster view received from a control process.
    """

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.member_by_name: dict[str, Member] = {member.name: member for member in view.members}
        self.shard_by_name: dict[str, Shard] = shards_of(view.members)
        self.shards_by_pool: dict[str, list[Shard]] = defaultdict(list)
        for shard in self.shard_by_name.values():
            self.shards_by_pool[shard.pool].append(shard)
        self.servers_by_service: dict[str, list[Member]] = defaultdict(list)
        self._vms_by_location: dict[str, list[str]] = defaultdict(list)
        self._owner_by_shard: dict[str, str] = {}
        live = set(view.live_vms)
        for member in view.members:
            if member.kind is MemberKind.SERVICE:
                self.servers_by_service[member.pool].append(member)
            elif member.kind is MemberKind.ENTRY_VM and member.name in live:
                for place in dict.fromkeys((member.data_centre, member.region)):
                    self._vms_by_location[place].append(member.name)

    @property
    def is_known(self) -> bool:
        """Whether a cluster view has been received."""
        return bool(self.view.members)

    def shards_of_pool(self, pool: str) -> list[Shard]:
        """Return the shards of one model."""
        return self.shards_by_pool.get(pool, [])

    def live_servers_of(self, service: str) -> list[Member]:
        """Return the servers of a plain service that are not leaving."""
        servers = self.servers_by_service.get(service, [])
        return [member for member in servers if member.state is MemberState.LIVE]

    def owner(self, shard_name: str) -> str:
        """Return the name of the VM that schedules a shard, or an empty string if there is none."""
        owner = self._owner_by_shard.get(shard_name)
        if owner is None:
            shard = self.shard_by_name.get(shard_name)
            vms = self._vms_by_location.get(shard.data_centre, []) if shard else []
            owner = self._owner_by_shard[shard_name] = owner_of(shard_name, vms)
        return owner
