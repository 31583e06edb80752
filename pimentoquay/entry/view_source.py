"""Choice of the control process from which an entry receives the cluster view.

Normally it is the control process of the entry's own VM. While that one is lost, the entry follows
a control process on another VM of its data centre. With an outdated view it would place requests
on engines that are leaving and wait for schedulers that are dead.
"""

from collections.abc import Callable

from pimentoquay.entry.directory import ClusterDirectory
from pimentoquay.kernel import Channel, Identity
from pimentoquay.membership import owner_of
from pimentoquay.messages.cluster import MemberKind
from pimentoquay.messages.membership import FollowView

__all__ = ["MAX_DIALLED_VMS", "ViewSource"]

MAX_DIALLED_VMS = 3
"""Maximum number of VMs dialled at once to find a control process that answers."""


class ViewSource:
    """Selection of the one channel from which cluster views are accepted.

    Parameters
    ----------
    identity
        Identity of the entry process.
    channel_to
        Function that returns a live channel to the control process of a VM, or ``None``.
    """

    def __init__(self, identity: Identity, channel_to: Callable[[str], Channel | None]) -> None:
        self._identity = identity
        self._channel_to = channel_to
        self._fallback_channel: Channel | None = None

    def accepts(self, channel: Channel | None) -> bool:
        """Return whether a view received on a channel is to be used.

        A view without a channel is always used; it did not come from a peer.
        """
        own = self._channel_to(self._identity.vm)
        return (
            channel is None or channel is own or (own is None and channel is self._fallback_channel)
        )

    def follow(self, directory: ClusterDirectory) -> tuple[str, ...]:
        """Request the view from another VM if the control process of the entry's VM is lost.

        Returns
        -------
        tuple of str
            VMs to dial, if no other VM is connected; empty otherwise.
        """
        if self._channel_to(self._identity.vm) is not None:
            self._fallback_channel = None
            return ()
        if self._fallback_channel is not None:
            if self._channel_to(self._fallback_channel.peer.vm) is self._fallback_channel:
                return ()
            self._fallback_channel = None
        candidates = self._candidates(directory)
        connected = [vm for vm in candidates if self._channel_to(vm) is not None]
        chosen = owner_of(self._identity.vm, connected)
        if not chosen:
            return tuple(candidates[:MAX_DIALLED_VMS])
        self._fallback_channel = self._channel_to(chosen)
        if self._fallback_channel is not None:
            self._fallback_channel.send(FollowView())
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
