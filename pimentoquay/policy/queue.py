"""The queue before prefill: earliest deadline first within urgency, fair between workspaces.

Each workspace has a virtual time that grows by the cost of what it was served over its weight; the
shard's own virtual time grows by that cost over the weights of the waiting workspaces. A workspace
at most one quantum ahead is in its share. Of the workspaces in their share, the most urgent
request with the earliest deadline goes first; the others are served only when none in its share
waits, so no capacity idles and no workspace starves.

Every operation costs the logarithm of the queue's length in comparisons.
"""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass, field

__all__ = ["FairQueue", "QueueItem"]

Key = tuple[int, float, str]

_Backlog = tuple[float, float, int, float]
"""Of one workspace: virtual time, requests a unit of it, how many wait, and their mean cost."""

LEAST_COST = 1e-6
"""Slot-seconds that every request is taken to cost."""

ESTIMATE_ROUNDS = 4
"""Times that an estimate of the requests ahead is worked out anew from the one before it."""


@dataclass(frozen=True)
class QueueItem:
    """One waiting request; ``deadline`` in seconds, ``cost`` in slot-seconds.

    ``weight`` is its workspace's; that of the newest request counts.
    """

    request_id: str
    workspace: str
    urgency: int
    deadline: float
    cost: float
    weight: int = 1

    @property
    def key(self) -> Key:
        """Return what requests are ordered by."""
        return (int(self.urgency), self.deadline, self.request_id)


@dataclass
class _Line:
    """The waiting requests of one workspace."""

    virtual_time: float = 0.0
    weight: int = 1
    keys: list[Key] = field(default_factory=list)
    cost: float = 0.0
    version: int = 0

    def mean_cost(self) -> float:
        """Return the mean cost of its waiting requests."""
        return self.cost / len(self.keys)

    def count_before(self, key: Key) -> int:
        """Return how many of its requests go before a key."""
        return bisect_left(self.keys, key)

    def backlog(self, count: int) -> _Backlog:
        """Return its first ``count`` waiting requests for an estimate."""
        mean_cost = max(self.mean_cost(), LEAST_COST)
        return (self.virtual_time, self.weight / mean_cost, count, mean_cost)


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
        self._waiting_by_workspace: dict[str, _Line] = {}
        self._keys: list[Key] = []
        self._waiting_weight = 0
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
        line = self._line_by_workspace.setdefault(item.workspace, _Line())
        if not line.keys:
            line.virtual_time = max(line.virtual_time, self._virtual_time)
            line.cost = 0.0
            self._waiting_by_workspace[item.workspace] = line
            self._waiting_weight += line.weight
        self._waiting_weight += item.weight - line.weight
        line.weight = item.weight
        line.cost += item.cost
        insort(line.keys, item.key)
        if line.keys[0] == item.key:
            self._file(item.workspace, line)

    def remove(self, request_id: str) -> QueueItem | None:
        """Take a request out without serving it; ``None`` if it does not wait."""
        item = self._item_by_id.pop(request_id, None)
        if item is None:
            return None
        del self._keys[bisect_left(self._keys, item.key)]
        line = self._line_by_workspace[item.workspace]
        place = bisect_left(line.keys, item.key)
        del line.keys[place]
        line.cost -= item.cost
        if not line.keys:
            del self._waiting_by_workspace[item.workspace]
            self._waiting_weight -= line.weight
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
        line = self._line_by_workspace[item.workspace]
        line.virtual_time += item.cost / line.weight
        self._virtual_time += item.cost / self._waiting_weight
        self.remove(item.request_id)
        return item

    def ahead_of(self, item: QueueItem) -> float:
        """Return about how many requests will be served before a new one, if none follow it."""
        key = item.key
        if not self._is_fair:
            return bisect_left(self._keys, key)
        line = self._line_by_workspace.get(item.workspace) or _Line(0.0, item.weight)
        weights = self._waiting_weight
        own, own_cost, turn = 0, 0.0, line.virtual_time
        if line.keys:
            own = bisect_left(line.keys, key)
            own_cost = own * line.mean_cost()
        else:
            turn = max(turn, self._virtual_time)
            weights += item.weight
        turn += own_cost / item.weight
        others = [other for other in self._waiting_by_workspace.values() if other is not line]
        ahead = self._ahead_in_share(key, others, own_cost, weights)
        late = turn - self._virtual_time - self._quantum
        if late <= 0:
            return own + ahead
        return own + max(ahead, _ahead_until(turn, others, late * weights - own_cost))

    def _ahead_in_share(
        self, key: Key, others: list[_Line], own_cost: float, weights: int
    ) -> float:
        """Return how many requests of others go first, if its workspace stays in its share.

        The others' earlier requests do, as far as they stay in theirs, and their share grows by
        what is served meanwhile.
        """
        backlogs = [other.backlog(most) for other in others if (most := other.count_before(key))]
        cost = own_cost
        for _ in range(ESTIMATE_ROUNDS):
            share_end = self._virtual_time + cost / weights + self._quantum
            ahead, ahead_cost = _served_until(share_end, backlogs)
            if own_cost + ahead_cost == cost:
                break
            cost = own_cost + ahead_cost
        return ahead

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


def _ahead_until(turn: float, others: list[_Line], cost: float) -> float:
    """Return how many requests of others go first, if its workspace is out of its share.

    They are served until the shard's virtual time has caught up, which takes ``cost``, but none
    of them beyond the virtual time at which it is the workspace's turn.
    """
    backlogs = [other.backlog(len(other.keys)) for other in others]
    count, total = _served_until(turn, backlogs)
    return count * min(1.0, max(0.0, cost) / max(total, LEAST_COST))


def _served_until(virtual_time: float, backlogs: list[_Backlog]) -> tuple[int, float]:
    """Return how many requests are begun at or before a virtual time, and what they cost."""
    served, served_cost = 0, 0.0
    for start, rate, most, mean_cost in backlogs:
        if start <= virtual_time:
            count = min(most, 1 + int((virtual_time - start) * rate))
            served += count
            served_cost += count * mean_cost
    return served, served_cost
