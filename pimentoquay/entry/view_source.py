"""Which control process tells an entry of the cluster.

It is the one of the own VM. While that one is lost, another VM of the data centre is asked, so that
an entry neither places on engines that are leaving nor waits for a scheduler that is dead.
"""

from collections.abc import Callable

from pimentoquay.entry.directory import ClusterDirectory
from pimentoquay.kernel import Channel, Identity
from pimentoquay.membership import owner_of
from pimentoquay.messages.cluster import MemberKind
from pimentoquay.messages.membership import FollowView

__all__ = ["MAX_DIALLED", "ViewSource"]

MAX_DIALLED = 3
"""VMs dialled at once to find one that answers."""


class ViewSource:
    """Keeps one live channel on which the view comes.

    Parameters
    ----------
    identity
        The entry process.
    channel_to
        Returns a live channel to the control process of a VM, or ``None``.
    """

    def __init__(self, identity: Identity, channel_to: Callable[[str], Channel | None]) -> None:
        self._identity = identity
        self._channel_to = channel_to
        self._followed: Channel | None = None

    def accepts(self, channel: Channel | None) -> bool:
        """Tell whether a view that came on a channel counts."""
        own = self._channel_to(self._identity.vm)
        return channel is None or channel is own or (own is None and channel is self._followed)

    def seek(self, directory: ClusterDirectory) -> tuple[str, ...]:
        """Ask for the view where it can be had; return VMs to dial if no channel is up."""
        if self._channel_to(self._identity.vm) is not None:
            self._followed = None
            return ()
        if self._followed is not None:
            if self._channel_to(self._followed.peer.vm) is self._followed:
                return ()
            self._followed = None
        candidates = self._candidates(directory)
        connected = [vm for vm in candidates if self._channel_to(vm) is not None]
        chosen = owner_of(self._identity.vm, connected)
        if not chosen:
            return tuple(candidates[:MAX_DIALLED])
        self._followed = self._channel_to(chosen)
        if self._followed is not None:
            self._followed.send(FollowView())
        return ()

    def _candidates(self, directory: ClusterDirectory) -> list[str]:
        live = set(directory.view.live_vms)
        return [
            member.name
            for member in directory.view.members
            if member.kind is MemberKind.ENTRY_VM
            and member.name in live
            and member.name != self._identity.vm
            and member.data_centre == self._identity.data_centre
        ]
