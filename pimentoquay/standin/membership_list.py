"""Stand-in for the platform's membership list, whose changes become visible after a delay."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from pimentoquay.messages.cluster import Member, MembershipUpdate, MemberState

__all__ = ["StandinMembership"]


@dataclass(frozen=True)
class _Revision:
    visible_at: float
    update: MembershipUpdate


class StandinMembership:
    """List of live and leaving members; it implements ``MembershipClient``.

    Parameters
    ----------
    members
        Members at start, visible at once.
    lag
        Delay until a change is visible, in seconds.
    """

    def __init__(self, members: Iterable[Member] = (), lag: float = 0.0) -> None:
        self.lag = lag
        self._outage_until = 0.0
        first = MembershipUpdate(1, tuple(members))
        self._revisions = deque([_Revision(0.0, first)])

    @property
    def current_update(self) -> MembershipUpdate:
        """The current list, including changes that are not visible yet."""
        return self._revisions[-1].update

    async def members(self) -> MembershipUpdate:
        """Return the list as it was ``lag`` seconds ago."""
        now = asyncio.get_running_loop().time()
        if now < self._outage_until:
            raise ConnectionError("the membership list is down")
        while len(self._revisions) > 1 and self._revisions[1].visible_at <= now:
            self._revisions.popleft()
        return self._revisions[0].update

    def put(self, *members: Member) -> None:
        """Add members, or replace members that have the same names."""
        member_by_name = {member.name: member for member in self.current_update.members}
        member_by_name.update({member.name: member for member in members})
        self._publish(member_by_name.values())

    def leave(self, name: str) -> None:
        """Mark a member as leaving."""
        found = [member for member in self.current_update.members if member.name == name]
        if not found:
            raise LookupError(f"no member {name}")
        self.put(replace(found[0], state=MemberState.LEAVING))

    def remove(self, name: str) -> None:
        """Remove a member from the list."""
        self._publish(member for member in self.current_update.members if member.name != name)

    def outage(self, seconds: float) -> None:
        """Reject all reads for some seconds."""
        self._outage_until = asyncio.get_running_loop().time() + seconds

    def _publish(self, members: Iterable[Member]) -> None:
        visible_at = asyncio.get_running_loop().time() + self.lag
        update = MembershipUpdate(self.current_update.version + 1, tuple(members))
        self._revisions.append(_Revision(visible_at, update))
