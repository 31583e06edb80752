"""The queue before prefill: earliest deadline first within urgency, fair between workspaces.

Each workspace has a virtual time that grows by the cost of what it was served; the shard's own
virtual time grows by that cost over the number of waiting workspaces. A workspace at most one
quantum ahead is in its share. Of the workspaces in their share, the most urgent request with
the earliest deadline goes first; the others are served only when none in its share waits, so
no capacity idles and no workspace starves.

Every operation costs the logarithm of the queue's length in comparisons.
"""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass, field

__all__ = ["FairQueue", "QueueItem"]

Key = tuple[int, float, str]


@dataclass(frozen=True)
class QueueItem:
    """One waiting request; ``deadline`` in seconds, ``cost`` in slot-seconds."""

    request_id: str
    workspace: str
    urgency: int
    deadline: float
    cost: float

    @property
    def key(self) -> Key:
        """Return what requests are ordered by."""
        return (int(self.urgency), self.deadline, self.request_id)


@dataclass
class _Line:
    """The waiting requests of one workspace."""

    virtual_time: float = 0.0
    keys: list[Key] = field(default_factory=list)
    version: int = 0


class FairQueue:
    """The waiting requests of one shard.

    Parameters
    ----------
    quantum
        How far ahead of its share a workspace may be served, in slot-seconds.
    is_fair
        Without it the workspaces are ignored: earliest deadline first within urgency.
    """

    def __init__(self, quantum: float = 20.0, is_fair: bool = True) -> None:
        if quantum <= 0:
            raise ValueError(f"quantum must be positive, got {quantum}")
        self._quantum = quantum
        self._is_fair = is_fair
        self._item_by_id: dict[str, QueueItem] = {}
        self._line_by_workspace: dict[str, _Line] = {}
        self._keys: list[Key] = []
        self._waiting = 0
        self._cost = 0.0
        self._virtual_time = 0.0
        self._in_share: list[tuple[Key, str, int]] = []
        self._over_share: list[tuple[float, str, int]] = []

    def __len__(self) -> int:
        return len(self._item_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._item_by_id

    def count_of(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        line = self._line_by_workspace.get(workspace)
        return len(line.keys) if line else 0

    def push(self, item: QueueItem) -> None:
        """Add a request; ``ValueError`` if it waits already."""
        if item.request_id in self._item_by_id:
            raise ValueError(f"request {item.request_id!r} waits already")
        self._item_by_id[item.request_id] = item
        insort(self._keys, item.key)
        self._cost += item.cost
        line = self._line_by_workspace.setdefault(item.workspace, _Line())
        if not line.keys:
            self._waiting += 1
            line.virtual_time = max(line.virtual_time, self._virtual_time)
        insort(line.keys, item.key)
        if line.keys[0] == item.key:
            self._file(item.workspace, line)

    def remove(self, request_id: str) -> QueueItem | None:
        """Take a request out without serving it; ``None`` if it does not wait."""
        item = self._item_by_id.pop(request_id, None)
        if item is None:
            return None
        del self._keys[bisect_left(self._keys, item.key)]
        self._cost -= item.cost
        line = self._line_by_workspace[item.workspace]
        place = bisect_left(line.keys, item.key)
        del line.keys[place]
        if not line.keys:
            self._waiting -= 1
        if place == 0:
            self._file(item.workspace, line)
        return item

    def peek(self) -> QueueItem | None:
        """Return the request to be served next, or ``None``."""
        if not self._item_by_id:
            return None
        if not self._is_fair:
            return self._item_by_id[self._keys[0][2]]
        self._admit_to_share()
        return self._item_by_id[self._in_share[0][0][2]]

    def pop(self) -> QueueItem:
        """Take the next request and charge its workspace; ``IndexError`` if none waits."""
        item = self.peek()
        if item is None:
            raise IndexError("the queue is empty")
        waiting = self._waiting
        line = self._line_by_workspace[item.workspace]
        line.virtual_time += item.cost
        self._virtual_time += item.cost / waiting
        self.remove(item.request_id)
        return item

    def ahead_of(self, workspace: str, key: Key) -> float:
        """Return about how many requests will be served before a new one with this key."""
        position = bisect_left(self._keys, key)
        if not self._is_fair:
            return position
        line = self._line_by_workspace.get(workspace)
        own = bisect_left(line.keys, key) if line else 0
        others = self._waiting - (1 if line and line.keys else 0)
        by_share = own + (own + 1) * others
        lead = (line.virtual_time if line else 0.0) - self._virtual_time - self._quantum
        if lead <= 0:
            return min(position, by_share)
        # The workspace waits until the others have used as much, which many requests may do.
        catching_up = lead * (others + 1) / max(self._mean_cost(), 1e-9)
        return min(len(self._keys), by_share + catching_up)

    def _mean_cost(self) -> float:
        return self._cost / len(self._item_by_id) if self._item_by_id else 1.0

    def _file(self, workspace: str, line: _Line) -> None:
        line.version += 1
        if not line.keys or not self._is_fair:
            return
        if line.virtual_time <= self._virtual_time + self._quantum:
            heapq.heappush(self._in_share, (line.keys[0], workspace, line.version))
        else:
            heapq.heappush(self._over_share, (line.virtual_time, workspace, line.version))

    def _is_current(self, workspace: str, version: int) -> bool:
        return self._line_by_workspace[workspace].version == version

    def _admit_to_share(self) -> None:
        self._drop_stale()
        if not self._in_share:
            # Nobody in its share waits: the one least ahead is served, and time moves up to it.
            least, workspace, version = heapq.heappop(self._over_share)
            self._virtual_time = max(self._virtual_time, least - self._quantum)
            line = self._line_by_workspace[workspace]
            heapq.heappush(self._in_share, (line.keys[0], workspace, version))
        while self._over_share and self._over_share[0][0] <= self._virtual_time + self._quantum:
            _, workspace, version = heapq.heappop(self._over_share)
            if self._is_current(workspace, version):
                line = self._line_by_workspace[workspace]
                heapq.heappush(self._in_share, (line.keys[0], workspace, version))

    def _drop_stale(self) -> None:
        while self._in_share and not self._is_current(*self._in_share[0][1:]):
            heapq.heappop(self._in_share)
        while self._over_share and not self._is_current(*self._over_share[0][1:]):
            heapq.heappop(self._over_share)
