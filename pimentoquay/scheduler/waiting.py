"""Waiting requests of a shard: the fair queue, latest start times, and rescues.

A rescue is a request whose transfer stalled while a prefill engine still holds its KV cache. It
needs another decode slot before the KV cache expires, but no new prefill.
"""

import heapq
import math
from dataclasses import dataclass

from pimentoquay.messages.placement import PlaceRequest
from pimentoquay.policy import FairQueue, QueueItem
from pimentoquay.scheduler.ledger import EntryKey

__all__ = ["ServiceTimes", "WaitingQueue", "WaitingRequest", "waiting_request"]

KV_RESCUE_SECONDS = 0.6
"""Seconds for which a rescue waits for another slot before it is prefilled again."""


@dataclass(frozen=True)
class ServiceTimes:
    """Expected durations of one request on the best engines, in seconds.

    ``prefill`` is the prefill alone, ``first_token`` the time to the first token, and ``hold`` the
    time for which the request occupies a decode slot.
    """

    prefill: float
    first_token: float
    hold: float


@dataclass(frozen=True)
class WaitingRequest:
    """A waiting request.

    Attributes
    ----------
    request
        The request as its entry sent it.
    entry
        The entry process that waits for the answer.
    deadline, latest_start, since
        Times in seconds of the scheduler's clock: when the first token is due, when the request
        must be placed at the latest, and when it began to wait.
    cost
        Expected time in seconds for which the request occupies a decode slot.
    prefill_seconds
        Expected duration of the prefill.
    kv_engine
        Engine that still holds the KV cache if the request is a rescue, else empty.
    kv_until
        Time until which a rescue may use that KV cache.
    avoided_engine
        Engine that failed the previous attempt, or empty.
    version
        Version of the weights that a previous attempt ran on, or empty.
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
    avoided_engine: str = ""
    version: str = ""


def waiting_request(
    entry: EntryKey,
    request: PlaceRequest,
    deadline: float,
    service: ServiceTimes,
    now: float,
    kv_engine: str = "",
    avoided_engine: str = "",
    version: str = "",
) -> WaitingRequest:
    """Return a request that waits from ``now`` on.

    A rescue, which has a ``kv_engine``, needs no prefill and may start until its deadline.
    """
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
        avoided_engine,
        version,
    )


class WaitingQueue:
    """Waiting requests of one shard: a fair queue, and rescues apart from it."""

    def __init__(self, queue: FairQueue) -> None:
        self._queue = queue
        self._waiting_by_id: dict[str, WaitingRequest] = {}
        self._rescue_by_id: dict[str, WaitingRequest] = {}
        self._latest_starts: list[tuple[float, str]] = []
        self._count_by_workspace: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting_by_id

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request by its id, or ``None``."""
        return self._waiting_by_id.get(request_id)

    def count_for_workspace(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        return self._count_by_workspace.get(workspace, 0)

    def ahead_of(self, request: PlaceRequest, deadline: float, cost: float) -> float:
        """Return the approximate number of waiting requests that a new one would queue behind."""
        return self._queue.ahead_of(_queue_item(request, deadline, cost))

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request to the queue, or to the rescues if an engine still holds its KV cache."""
        request = waiting.request
        self._waiting_by_id[request.request_id] = waiting
        self._count_by_workspace[request.workspace] = (
            self.count_for_workspace(request.workspace) + 1
        )
        heapq.heappush(self._latest_starts, (waiting.latest_start, request.request_id))
        if waiting.kv_engine:
            self._rescue_by_id[request.request_id] = waiting
            return
        self._queue.push(_queue_item(request, waiting.deadline, waiting.cost))

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, or return ``None`` if it does not wait."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is None:
            return None
        if self._rescue_by_id.pop(request_id, None) is None:
            self._queue.remove(request_id)
        self._forget(waiting)
        return waiting

    def rescues(self) -> tuple[WaitingRequest, ...]:
        """Return the rescues, longest waiting first."""
        return tuple(self._rescue_by_id.values())

    def first(self) -> WaitingRequest | None:
        """Return the request at the head of the queue, or ``None``."""
        item = self._queue.peek()
        return None if item is None else self._waiting_by_id[item.request_id]

    def pop_first(self) -> WaitingRequest:
        """Remove and return the head of the queue, and charge its cost to its workspace."""
        waiting = self._waiting_by_id[self._queue.pop().request_id]
        self._forget(waiting)
        return waiting

    def expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose latest start has passed."""
        late = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            latest_start, request_id = heapq.heappop(self._latest_starts)
            waiting = self._waiting_by_id.get(request_id)
            if waiting is not None and waiting.latest_start == latest_start:
                self.remove(request_id)
                late.append(waiting)
        return late

    def next_latest_start(self) -> float:
        """Return the first of the latest start times in seconds of the clock, or infinity.

        The time may be that of a request that has already left the queue.
        """
        return self._latest_starts[0][0] if self._latest_starts else math.inf

    def next_kv_expiry(self) -> float:
        """Return when the next KV cache of a rescue expires, or infinity."""
        ends = (waiting.kv_until for waiting in self._rescue_by_id.values())
        return min(ends, default=math.inf)

    def from_entry(self, entry: EntryKey) -> list[WaitingRequest]:
        """Return the waiting requests that one entry process sent."""
        return [waiting for waiting in self._waiting_by_id.values() if waiting.entry == entry]

    def _forget(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        del self._waiting_by_id[request.request_id]
        left = self._count_by_workspace.pop(request.workspace) - 1
        if left:
            self._count_by_workspace[request.workspace] = left


def _queue_item(request: PlaceRequest, deadline: float, cost: float) -> QueueItem:
    return QueueItem(
        request.request_id,
        request.workspace,
        request.urgency,
        deadline,
        cost,
        request.workspace_weight,
    )
