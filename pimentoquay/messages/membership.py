"""Messages about the membership list and the liveness of VMs (60 to 69)."""

from pimentoquay.messages.cluster import Member
from pimentoquay.messages.codec import message

__all__ = [
    "ClusterViewChange",
    "DataCentreReport",
    "FollowView",
    "MemberAnnouncement",
    "MembershipDelta",
    "MembershipRequest",
]


@message(60)
class MembershipDelta:
    """Changes of the membership list from version ``base`` to ``version``."""

    base: int
    version: int
    changed: tuple[Member, ...]
    removed: tuple[str, ...]


@message(61)
class MembershipRequest:
    """Request for the membership list; answered by ``MembershipDelta`` or ``MembershipUpdate``."""

    have_version: int


@message(62)
class MemberAnnouncement:
    """A VM's own list entry, sent when a channel opens because a stale list may lack it."""

    member: Member


@message(63)
class DataCentreReport:
    """Differences between the live VMs of one data centre and the membership list.

    Between data centres, a gateway reports on its own data centre; within a data centre, a gateway
    relays the report on another one. ``missing`` names listed VMs that are dead or leaving,
    ``unlisted`` holds live VMs that are not on the list.
    """

    data_centre: str
    reachable: bool
    missing: tuple[str, ...]
    unlisted: tuple[Member, ...]


@message(65)
class FollowView:
    """Request for cluster view and configuration by an entry whose control process is lost."""


@message(64)
class ClusterViewChange:
    """Changes from version ``base`` of the ``ClusterView``, which the entry has, to ``version``."""

    base: int
    version: int
    changed: tuple[Member, ...]
    removed: tuple[str, ...]
    joined_vms: tuple[str, ...]
    lost_vms: tuple[str, ...]
    reachable_data_centres: tuple[str, ...]
