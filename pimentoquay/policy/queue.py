"""Queue of requests before prefill: by urgency, then deadline, and fair between workspaces.

The queue is a form of weighted fair queueing. When a request is served, the virtual time of its
workspace grows by the request's cost divided by the workspace's weight. The virtual time of the
shard grows by the cost divided by the sum of the weights of all workspaces with waiting requests. A
workspace is within its share if its virtual time is at most one quantum ahead of the shard's.

Among the workspaces within their share, the most urgent request with the earliest deadline is
served first. Workspaces over their share are served only if no workspace within its share has
waiting requests, so no capacity is left idle and no workspace starves.

Adding, removing or serving a request takes a number of comparisons that is logarithmic in the
length of the queue.
"""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass, field

__all__ = ["FairQueue", "QueueItem"]

Key = tuple[int, float, str]
"""Sort key of a request: urgency, deadline and request id."""

_Backlog = tuple[float, float, int, float]
"""Backlog of a workspace for an estimate.

Its virtual time, the requests served per unit of virtual time, the number of waiting requests and
their mean cost.
"""

MIN_COST = 1e-6
"""Minimum cost of a request in slot-seconds, to avoid divisions by zero."""

MAX_ESTIMATE_ROUNDS = 4
"""Maximum number of iterations of an estimate of the requests ahead."""


MAX_EXCESS_QUANTA = 4
"""Most by which a workspace is over its share, in quanta; the others catch up on it in seconds."""


@dataclass(frozen=True)
class QueueItem:
    """A waiting request; ``deadline`` in seconds, ``cost`` in slot-seconds.

    Requests with a lower ``urgency`` are served first. ``weight`` is the weight of the workspace;
    the one given with the newest request applies.
    """

    request_id: str
    workspace: str
    urgency: int
    deadline: float
    cost: float
    weight: int = 1

    @property
    def key(self) -> Key:
        """Sort key of the request."""
        return (int(self.urgency), self.deadline, self.request_id)


@dataclass
class _WaitingLine:
    """The waiting requests of one workspace."""

    virtual_time: float = 0.0
    weight: int = 1
    keys: list[Key] = field(default_factory=list)
    cost: float = 0.0
    version: int = 0

    def mean_cost(self) -> float:
        """Return the mean cost of the workspace's waiting requests, in slot-seconds."""
        return self.cost / len(self.keys)

    def count_before(self, key: Key) -> int:
        """Return the number of the workspace's waiting requests that sort before a key."""
        return bisect_left(self.keys, key)

    def backlog(self, count: int) -> _Backlog:
        """Return the first ``count`` waiting requests as a backlog for an estimate."""
        mean_cost = max(self.mean_cost(), MIN_COST)
        return (self.virtual_time, self.weight / mean_cost, count, mean_cost)


class FairQueue:
    """Queue of the waiting requests of one shard.

    Load pattern: one workspace sends far more requests than its share, while others send few. The
    others' requests must not wait behind all requests of that workspace.

    Parameters
    ----------
    quantum
        Maximum lead of a workspace's virtual time over the shard's for it to be within its share,
        in slot-seconds.
    is_fair
        Whether the queue is fair between workspaces. Otherwise requests are served by urgency and
        deadline alone.
    """

    def __init__(self, quantum: float = 20.0, is_fair: bool = True) -> None:
        if quantum <= 0:
            raise ValueError(f"quantum must be positive, got {quantum}")
        self._quantum = quantum
        self._is_fair = is_fair
        self._item_by_id: dict[str, QueueItem] = {}
        self._line_by_workspace: dict[str, _WaitingLine] = {}
        self._nonempty_line_by_workspace: dict[str, _WaitingLine] = {}
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
        """Return the number of waiting requests of a workspace."""
        line = self._line_by_workspace.get(workspace)
        return len(line.keys) if line else 0

    def push(self, item: QueueItem) -> None:
        """Add a request; raise ``ValueError`` if it is in the queue already."""
        if item.request_id in self._item_by_id:
            raise ValueError(f"request {item.request_id!r} is already enqueued")
        self._item_by_id[item.request_id] = item
        insort(self._keys, item.key)
        line = self._line_by_workspace.setdefault(item.workspace, _WaitingLine())
        if not line.keys:
            line.virtual_time = max(line.virtual_time, self._virtual_time)
            line.cost = 0.0
            self._nonempty_line_by_workspace[item.workspace] = line
            self._waiting_weight += line.weight
        self._waiting_weight += item.weight - line.weight
        line.weight = item.weight
        line.cost += item.cost
        insort(line.keys, item.key)
        if line.keys[0] == item.key:
            self._push_head(item.workspace, line)

    def remove(self, request_id: str) -> QueueItem | None:
        """Remove a request without serving it; return ``None`` if it is not in the queue."""
        item = self._item_by_id.pop(request_id, None)
        if item is None:
            return None
        del self._keys[bisect_left(self._keys, item.key)]
        line = self._line_by_workspace[item.workspace]
        index = bisect_left(line.keys, item.key)
        del line.keys[index]
        line.cost -= item.cost
        if not line.keys:
            del self._nonempty_line_by_workspace[item.workspace]
            self._waiting_weight -= line.weight
        if index == 0:
            self._push_head(item.workspace, line)
        return item

    def peek(self) -> QueueItem | None:
        """Return the request to be served next, or ``None`` if the queue is empty."""
        if not self._item_by_id:
            self._in_share.clear()
            self._over_share.clear()
            return None
        if not self._is_fair:
            return self._item_by_id[self._keys[0][2]]
        self._refill_in_share()
        return self._item_by_id[self._in_share[0][0][2]]

    def pop(self) -> QueueItem:
        """Remove and return the next request and charge its cost to its workspace.

        Raise ``IndexError`` if the queue is empty.
        """
        item = self.peek()
        if item is None:
            raise IndexError("the queue is empty")
        self.charge(item.request_id)
        return item

    def charge(self, request_id: str, competing: int = 0) -> None:
        """Remove a request that is served, whatever its place; charge its cost to its workspace.

        Parameters
        ----------
        request_id
            The request; ``KeyError`` is raised if it is not in the queue.
        competing
            Number of workspaces of weight 1 that share the capacity, if more than those that wait
            here. A workspace is then ahead of its share by at most ``MAX_EXCESS_QUANTA``, since
            nobody may have wanted what it got.
        """
        item = self._item_by_id[request_id]
        line = self._line_by_workspace[item.workspace]
        is_head = line.keys[0] == item.key
        line.virtual_time += item.cost / line.weight
        self._virtual_time += item.cost / max(self._waiting_weight, competing)
        if competing:
            most = self._virtual_time + self._quantum * (1 + MAX_EXCESS_QUANTA)
            line.virtual_time = min(line.virtual_time, most)
        self.remove(request_id)
        if not is_head:
            self._push_head(item.workspace, line)

    def excess_of(self, workspace: str, cost: float = 0.0) -> float:
        """Return the virtual time by which a workspace is over its share, or 0 if it is within.

        Parameters
        ----------
        workspace
            The workspace, which need not have waiting requests.
        cost
            Cost of requests that count as served already, in slot-seconds.
        """
        line = self._line_by_workspace.get(workspace) or _WaitingLine()
        own_time = line.virtual_time if line.keys else max(line.virtual_time, self._virtual_time)
        return max(0.0, own_time + cost / line.weight - self._virtual_time - self._quantum)

    def ahead_of(self, item: QueueItem) -> float:
        """Estimate how many requests are served before a new one if no others arrive."""
        key = item.key
        if not self._is_fair:
            return bisect_left(self._keys, key)
        line = self._line_by_workspace.get(item.workspace) or _WaitingLine(0.0, item.weight)
        weights = self._waiting_weight
        own_ahead, own_cost, own_time = 0, 0.0, line.virtual_time
        if line.keys:
            own_ahead = bisect_left(line.keys, key)
            own_cost = own_ahead * line.mean_cost()
        else:
            own_time = max(own_time, self._virtual_time)
            weights += item.weight
        own_time += own_cost / item.weight
        others = [other for other in self._nonempty_line_by_workspace.values() if other is not line]
        ahead = self._ahead_in_share(key, others, own_cost, weights)
        excess = own_time - self._virtual_time - self._quantum
        if excess <= 0:
            return own_ahead + ahead
        return own_ahead + max(
            ahead, _ahead_over_share(own_time, others, excess * weights - own_cost)
        )

    def _ahead_in_share(
        self, key: Key, others: list[_WaitingLine], own_cost: float, weights: int
    ) -> float:
        """Estimate how many requests of others are ahead, for a workspace within its share.

        These are the requests with a smaller key, in other workspaces that are within their share.
        Serving them advances the shard's virtual time, so that more requests of other workspaces
        fall within the share; the estimate is therefore iterated.

        Parameters
        ----------
        key
            Sort key of the request.
        others
            Waiting requests of the other workspaces.
        own_cost
            Cost of the earlier requests of its own workspace, in slot-seconds.
        weights
            Sum of the weights of the workspaces with waiting requests.
        """
        backlogs = [
            other.backlog(max_count) for other in others if (max_count := other.count_before(key))
        ]
        cost = own_cost
        for _ in range(MAX_ESTIMATE_ROUNDS):
            share_end = self._virtual_time + cost / weights + self._quantum
            ahead, ahead_cost = _served_until(share_end, backlogs)
            if own_cost + ahead_cost == cost:
                break
            cost = own_cost + ahead_cost
        return ahead

    def _push_head(self, workspace: str, line: _WaitingLine) -> None:
        """Enter a workspace's first request into a heap; its earlier heap entries become stale."""
        line.version += 1
        if not line.keys or not self._is_fair:
            return
        if line.virtual_time <= self._virtual_time + self._quantum:
            heapq.heappush(self._in_share, (line.keys[0], workspace, line.version))
        else:
            heapq.heappush(self._over_share, (line.virtual_time, workspace, line.version))

    def _is_current(self, workspace: str, version: int) -> bool:
        return self._line_by_workspace[workspace].version == version

    def _refill_in_share(self) -> None:
        self._drop_stale()
        if not self._in_share:
            # No workspace within its share has waiting requests: the one with the lowest virtual
            # time is served, and the shard's virtual time is advanced to bring it within its share.
            lowest_time, workspace, version = heapq.heappop(self._over_share)
            self._virtual_time = max(self._virtual_time, lowest_time - self._quantum)
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


def _ahead_over_share(own_time: float, others: list[_WaitingLine], cost: float) -> float:
    """Estimate how many requests of others are ahead, for a workspace over its share.

    Other workspaces are served until this workspace is within its share again. Of their requests,
    only those count that begin at or before the virtual time ``own_time``.

    Parameters
    ----------
    own_time
        Virtual time of the workspace when the request's turn comes.
    others
        Waiting requests of the other workspaces.
    cost
        Cost of the others' requests that are served until the workspace is within its share again,
        in slot-seconds.
    """
    backlogs = [other.backlog(len(other.keys)) for other in others]
    count, total = _served_until(own_time, backlogs)
    return count * min(1.0, max(0.0, cost) / max(total, MIN_COST))


def _served_until(virtual_time: float, backlogs: list[_Backlog]) -> tuple[int, float]:
    """Return the number of requests that begin at or before a virtual time, and their cost."""
    served, served_cost = 0, 0.0
    for start, rate, max_count, mean_cost in backlogs:
        if start <= virtual_time:
            count = min(max_count, 1 + int((virtual_time - start) * rate))
            served += count
            served_cost += count * mean_cost
    return served, served_cost
