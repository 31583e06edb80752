"""Requests that wait at a shard: the queue, its deadlines, and rescues of live KV."""

import heapq
import math
from dataclasses import dataclass

from pimentoquay.messages.placement import PlaceRequest
from pimentoquay.policy import FairQueue, QueueItem
from pimentoquay.scheduler.ledger import EntryKey

__all__ = ["Service", "WaitingRequest", "WaitingRoom", "waiting_request"]

KV_RESCUE_SECONDS = 0.6
"""How long a request with live KV waits for another slot before it is prefilled again."""


@dataclass(frozen=True)
class Service:
    """Expected seconds of one request on the best engines now."""

    prefill: float
    first_token: float
    hold: float


@dataclass(frozen=True)
class WaitingRequest:
    """One waiting request; ``deadline`` and the others in seconds of the scheduler's clock.

    ``kv_engine`` names the engine that holds its KV until ``kv_until``, or is empty; ``avoid``
    names one that failed the request. ``version`` is the version of the weights that an
    earlier attempt ran on, or empty.
    """

    request: PlaceRequest
    entry: EntryKey
    deadline: float
    latest_start: float
    since: float
    cost: float
    prefill_seconds: float
    kv_engine: str = ""
    kv_until: float = 0.0
    avoid: str = ""
    version: str = ""


def waiting_request(
    entry: EntryKey,
    request: PlaceRequest,
    deadline: float,
    service: Service,
    now: float,
    kv_engine: str = "",
    avoid: str = "",
    version: str = "",
) -> WaitingRequest:
    """Return a request that waits from now on; one whose KV lives needs no time for a prefill."""
    needed = 0.0 if kv_engine else service.first_token
    return WaitingRequest(
        request,
        entry,
        deadline,
        deadline - needed,
        now,
        service.hold,
        service.prefill,
        kv_engine,
        now + KV_RESCUE_SECONDS if kv_engine else 0.0,
        avoid,
        version,
    )


class WaitingRoom:
    """The waiting requests of one shard, by request."""

    def __init__(self, queue: FairQueue) -> None:
        self._queue = queue
        self._waiting_by_id: dict[str, WaitingRequest] = {}
        self._rescue_by_id: dict[str, WaitingRequest] = {}
        self._latest_starts: list[tuple[float, str]] = []
        self._held_by_workspace: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting_by_id

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request, or ``None``."""
        return self._waiting_by_id.get(request_id)

    def held_by(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return self._held_by_workspace.get(workspace, 0)

    def ahead_of(self, request: PlaceRequest, deadline: float, cost: float) -> float:
        """Return about how many waiting requests go before a new one."""
        return self._queue.ahead_of(_item(request, deadline, cost))

    def add(self, waiting: WaitingRequest) -> None:
        """Let a request wait; one with live KV as a rescue, ahead of the queue."""
        request = waiting.request
        self._waiting_by_id[request.request_id] = waiting
        self._held_by_workspace[request.workspace] = self.held_by(request.workspace) + 1
        heapq.heappush(self._latest_starts, (waiting.latest_start, request.request_id))
        if waiting.kv_engine:
            self._rescue_by_id[request.request_id] = waiting
            return
        self._queue.push(_item(request, waiting.deadline, waiting.cost))

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Take a request out; ``None`` if it does not wait."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is None:
            return None
        if self._rescue_by_id.pop(request_id, None) is None:
            self._queue.remove(request_id)
        self._forget(waiting)
        return waiting

    def rescues(self) -> tuple[WaitingRequest, ...]:
        """Return the requests whose KV is alive somewhere, longest waiting first."""
        return tuple(self._rescue_by_id.values())

    def first(self) -> WaitingRequest | None:
        """Return the request to be placed next, or ``None``."""
        item = self._queue.peek()
        return None if item is None else self._waiting_by_id[item.request_id]

    def take_first(self) -> WaitingRequest:
        """Take the request that ``first`` names and charge its workspace."""
        waiting = self._waiting_by_id[self._queue.pop().request_id]
        self._forget(waiting)
        return waiting

    def expired(self, now: float) -> list[WaitingRequest]:
        """Take out and return the requests whose latest start has passed."""
        late = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            latest_start, request_id = heapq.heappop(self._latest_starts)
            waiting = self._waiting_by_id.get(request_id)
            if waiting is not None and waiting.latest_start == latest_start:
                self.remove(request_id)
                late.append(waiting)
        return late

    def next_latest_start(self) -> float:
        """Return when the next latest start passes; it may be that of one that waits no longer."""
        return self._latest_starts[0][0] if self._latest_starts else math.inf

    def next_kv_end(self) -> float:
        """Return when the next live KV expires."""
        ends = (waiting.kv_until for waiting in self._rescue_by_id.values())
        return min(ends, default=math.inf)

    def of_entry(self, entry: EntryKey) -> list[WaitingRequest]:
        """Return the waiting requests of one entry process."""
        return [waiting for waiting in self._waiting_by_id.values() if waiting.entry == entry]

    def _forget(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        del self._waiting_by_id[request.request_id]
        left = self._held_by_workspace.pop(request.workspace) - 1
        if left:
            self._held_by_workspace[request.workspace] = left


def _item(request: PlaceRequest, deadline: float, cost: float) -> QueueItem:
    return QueueItem(
        request.request_id,
        request.workspace,
        request.urgency,
        deadline,
        cost,
        request.workspace_weight,
    )
