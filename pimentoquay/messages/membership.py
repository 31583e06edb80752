"""Messages that carry the membership list and liveness between control processes (60 to 69)."""

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
    """What changed on the membership list between two of its versions."""

    base: int
    version: int
    changed: tuple[Member, ...]
    removed: tuple[str, ...]


@message(61)
class MembershipRequest:
    """Ask a peer for the list; answered by ``MembershipDelta`` or ``MembershipUpdate``."""

    have_version: int


@message(62)
class MemberAnnouncement:
    """A VM's own entry, sent when a channel opens: a lagging list may not have it yet."""

    member: Member


@message(63)
class DataCentreReport:
    """How the VMs of one data centre, seen from within, differ from the membership list.

    Between data centres a gateway reports on its own; within a data centre a gateway passes on
    what it heard of another one. ``missing`` names listed VMs that are dead or leaving.
    """

    data_centre: str
    reachable: bool
    missing: tuple[str, ...]
    unlisted: tuple[Member, ...]


@message(65)
class FollowView:
    """An entry whose own control process is lost asks for the view and the configuration."""


@message(64)
class ClusterViewChange:
    """What changed between two versions of the ``ClusterView`` that an entry process has."""

    base: int
    version: int
    changed: tuple[Member, ...]
    removed: tuple[str, ...]
    joined_vms: tuple[str, ...]
    lost_vms: tuple[str, ...]
    reachable_data_centres: tuple[str, ...]
