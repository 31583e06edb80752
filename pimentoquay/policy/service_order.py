"""Order of waiting streams by priority and with fair shares of workspaces, and their waits.

Load pattern: bursts of 2.2 times the rate that the engines' memory allows, of streams of several
priorities, and one workspace that sends seven times its usual load beside others. By arrival alone,
paid streams waited behind unpaid ones and earned 0.626 of their worth, the unpaid ones 0.873.

Streams that have begun come first, since what engines have done for them would be lost. Then those
of a lower priority number, those that can still be in time, those of workspaces within their share,
and the earliest. Each lower priority keeps a small share of what is granted, so none starves. What
cannot be served is refused at once, the lowest priority and the largest excess first.

Failure pattern: a coordinator that is replaced or was suspended. All that is kept here is a matter
of seconds, so a new one begins with no shares used and learns them from the streams that it serves.
Streams of one priority without workspaces are in the order of ``stream_admission``.
"""

import math
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol, TypeVar

from pimentoquay.messages.pools import MAX_PRIORITY
from pimentoquay.policy.class_demand import ClassDemand
from pimentoquay.policy.queue import FairQueue, QueueItem
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    StreamUrgency,
    WaitDecision,
    Waiting,
    decide_by_waits,
)

__all__ = [
    "GUARANTEED_SHARE",
    "Classed",
    "Rank",
    "ServiceOrder",
    "Supply",
    "Waits",
    "clamp_priority",
]

GUARANTEED_SHARE = 0.04
"""Share of the granted memory that all lower priorities together get while higher ones could use
all. Higher priorities must keep 0.95 of what they get alone."""

MAX_CREDIT_TOKENS = 30_000
"""Most memory that the guaranteed share of a priority adds up to while it has no stream that fits,
in tokens: two of the largest streams, so that a later burst of it does not pass the others."""

QUANTUM_TOKENS = 28_000.0
"""Quantum of a coordinator: the memory of two to five streams, so that workspaces with few streams
are not ordered by chance."""

DISPLACED_MARGIN = 1.5
"""Ratio of the estimated wait to the time left from which a stream that waits already is refused.
Arrivals of a short time vary by more than a quarter."""

ADMISSION_MARGIN = 0.6
"""Ratio of the wait to the time left up to which a stream that yields to others is let wait, so
that it is refused at once and not when more of the others have come. In replays 0.75 of the
refusals of the lower priority are then at once, 0.57 with a ratio of 1; it is served 0.02 less."""

_BEGUN = -2
_PROMOTED = -1

Rank = tuple[int, StreamUrgency, float, float]
"""Level, urgency, excess over the share, and arrival; streams with a lower rank come first."""


Key = TypeVar("Key", bound=Hashable)


class Classed(Waiting, Protocol):
    """A stream that waits, with its priority and workspace."""

    @property
    def priority(self) -> int:
        """Its priority; 0 is the highest."""

    @property
    def workspace(self) -> str:
        """Name of its workspace, or empty."""


@dataclass(frozen=True)
class Supply:
    """Memory for which a stream waits.

    Parameters
    ----------
    tokens_per_second
        Rate at which memory comes free.
    senders
        Number of gateways that send as much as is seen here.
    peers_urgent, peers_tokens
        Memory that streams wait for at other gateways: those of the highest priority that can be in
        time, and all, in tokens.
    """

    tokens_per_second: float
    senders: int = 1
    peers_urgent: int = 0
    peers_tokens: int = 0


@dataclass(frozen=True)
class Waits:
    """Estimated waits of a stream in seconds, and what they depend on.

    ``urgent`` is the wait behind streams that can still be in time, ``total`` behind all. Streams
    of higher priorities wait for ``higher`` tokens, and ``demand`` tokens of them arrive a second.
    """

    urgent: float
    total: float
    higher: float
    demand: float


def clamp_priority(priority: int) -> int:
    """Return a priority within 0 and ``MAX_PRIORITY``."""
    return min(MAX_PRIORITY, max(0, priority))


class ServiceOrder:
    """Order of the streams that wait at one place: at a coordinator, or a gateway of a full mesh.

    Load pattern: bursts of 2.2 times the capacity with several priorities, and one workspace that
    sends seven times its usual load.

    Parameters
    ----------
    limits
        Limits of admission.
    quantum
        Memory in tokens by which a workspace may be ahead of its share and still goes by arrival.
    """

    def __init__(self, limits: AdmissionLimits, quantum: float = QUANTUM_TOKENS) -> None:
        self._limits = limits
        self._quantum = quantum
        self._demand = ClassDemand()
        self._queue_by_priority: dict[int, FairQueue] = {}
        self._item_by_key: dict[Hashable, tuple[int, str]] = {}
        self._credit_by_priority: dict[int, float] = {}
        self._next_item = 0

    def record_arrival(self, stream: Classed, now: float) -> None:
        """Record that a stream has arrived, whether or not it has to wait."""
        # Those that have begun come back once after a failure, so they foretell no others.
        tokens = 0 if stream.software else stream.tokens
        self._demand.record(clamp_priority(stream.priority), stream.workspace, tokens, now)

    def add(self, key: Hashable, stream: Classed) -> None:
        """Let a stream wait; one that waits already under the key is replaced."""
        self.remove(key)
        self._next_item += 1
        priority, item = clamp_priority(stream.priority), str(self._next_item)
        self._item_by_key[key] = priority, item
        queue = self._queue_by_priority.setdefault(priority, FairQueue(self._quantum))
        queue.push(
            QueueItem(item, stream.workspace, 0, stream.times.arrived_at, max(1, stream.tokens))
        )

    def remove(self, key: Hashable) -> None:
        """Forget a stream that waits no more and was not served."""
        priority, item = self._item_by_key.pop(key, (0, ""))
        if item:
            queue = self._queue_by_priority[priority]
            queue.remove(item)
            queue.peek()

    def serve(self, key: Hashable, stream: Classed) -> None:
        """Charge a stream that has got memory to its workspace and its priority."""
        if key not in self._item_by_key:
            self.add(key, stream)
        priority, item = self._item_by_key.pop(key)
        queue = self._queue_by_priority[priority]
        queue.charge(item, self._demand.workspaces_of(priority))
        queue.peek()
        lower = [each for each in self._demand.priorities if each > priority]
        for each in lower:
            credit = self._credit_by_priority.get(each, 0.0)
            credit += GUARANTEED_SHARE / len(lower) * stream.tokens
            self._credit_by_priority[each] = min(credit, MAX_CREDIT_TOKENS)
        if not stream.software:
            credit = self._credit_by_priority.get(priority, 0.0)
            self._credit_by_priority[priority] = max(0.0, credit - stream.tokens)

    def is_mixed(self, now: float) -> bool:
        """Return whether streams of several priorities or workspaces have arrived lately."""
        for priority in self._demand.prune(now):
            self._credit_by_priority.pop(priority, None)
            queue = self._queue_by_priority.get(priority)
            if queue is not None and not len(queue):
                del self._queue_by_priority[priority]
        return self._demand.class_count > 1

    def is_highest(self, stream: Classed, now: float) -> bool:
        """Return whether a stream has begun, or none of a higher priority has arrived lately."""
        if stream.software or not self.is_mixed(now):
            return True
        return clamp_priority(stream.priority) <= self._demand.priorities[0]

    def is_excess(self, stream: Classed, now: float) -> bool:
        """Return whether a stream yields to those of higher priorities or smaller workspaces."""
        if stream.software or not self.is_mixed(now):
            return False
        excess = self._excess(clamp_priority(stream.priority), stream.workspace)
        return excess > 0 or not self.is_highest(stream, now)

    def promoted(self, waiting: Iterable[tuple[Key, Classed]], now: float) -> Key | None:
        """Return the key of the stream that is next by the guaranteed share of its priority.

        ``None`` if no lower priority is behind with its share, or none of its streams waits.
        """
        if not self.is_mixed(now) or len(self._demand.priorities) < 2:
            return None
        first: tuple[Rank, Key] | None = None
        for key, stream in waiting:
            credit = self._credit_by_priority.get(clamp_priority(stream.priority), 0.0)
            if stream.software or self.is_highest(stream, now) or credit < stream.tokens:
                continue
            rank = self.rank(stream, now)
            if first is None or rank < first[0]:
                first = rank, key
        return first[1] if first is not None else None

    def rank(self, stream: Classed, now: float, is_promoted: bool = False) -> Rank:
        """Return the place of a stream; those with a lower one are served first."""
        times = stream.times
        urgency = times.urgency(now, self._limits)
        if not self.is_mixed(now):
            return 0, urgency, 0.0, times.arrived_at
        if stream.software:
            return _BEGUN, urgency, 0.0, times.arrived_at
        priority = clamp_priority(stream.priority)
        if is_promoted:
            return _PROMOTED, urgency, 0.0, times.arrived_at
        return priority, urgency, self._excess(priority, stream.workspace), times.arrived_at

    def decide(
        self,
        stream: Classed,
        others: Sequence[tuple[Classed, float]],
        supply: Supply,
        now: float,
        is_waiting: bool = False,
    ) -> WaitDecision:
        """Decide whether a stream waits or is refused, among streams of several classes.

        Parameters
        ----------
        stream, others, supply, now
            As for ``waits``.
        is_waiting
            Whether the stream has been let wait before.
        """
        margin = 1.0
        if self.is_excess(stream, now):
            margin = DISPLACED_MARGIN if is_waiting else ADMISSION_MARGIN
        waits = self.waits(stream, others, supply, now)
        urgent, total = waits.urgent / margin, waits.total / margin
        decision = decide_by_waits(urgent, total, stream.times, now, self._limits)
        bounds = self._limits.min_retry_after, self._limits.max_retry_after
        seconds = min(bounds[1], max(bounds[0], waits.total))
        basis = (
            f"wait {waits.total:.3f} s, {waits.higher:.0f} tokens wait before,"
            f" {waits.demand:.0f} arrive and {supply.tokens_per_second:.0f} come free a second"
        )
        return replace(decision, seconds=seconds, basis=basis)

    def waits(
        self,
        stream: Classed,
        others: Sequence[tuple[Classed, float]],
        supply: Supply,
        now: float,
    ) -> Waits:
        """Estimate how long a stream waits for memory, among streams of several classes.

        Of what comes free, higher priorities take what waits and what arrives, but for the
        guaranteed share. Of the rest, a workspace gets an equal part, or what the others leave.

        Parameters
        ----------
        stream
            The stream, which may wait already.
        others
            The other streams that wait, each with the part of its memory that it takes where the
            stream may run.
        supply
            Memory that comes free, and what waits elsewhere.
        now
            Current time in seconds.
        """
        rate = max(1.0, supply.tokens_per_second)
        own_rank = self.rank(stream, now)
        level, is_highest = own_rank[0], self.is_highest(stream, now)
        higher = 0.0 if is_highest else float(supply.peers_urgent)
        same: list[tuple[Classed, float, Rank]] = []
        for other, part in others:
            rank = self.rank(other, now)
            if rank[0] < level:
                higher += part * other.tokens
            elif rank[0] == level:
                same.append((other, part * other.tokens, rank))
        demand = 0.0 if stream.software else supply.senders * self._demand.above(level, now)
        sources = [(rate - demand, higher)]
        if not is_highest:
            lower = max(1, len(self._demand.priorities) - 1)
            credit = self._credit_by_priority.get(level, 0.0)
            sources.append((GUARANTEED_SHARE / lower * rate, -credit))
        in_time = [each for each in same if each[2][1] is StreamUrgency.IN_TIME]
        urgent_elsewhere = supply.peers_urgent if is_highest else 0
        elsewhere = supply.peers_tokens - (0 if is_highest else supply.peers_urgent)
        return Waits(
            self._wait(stream, own_rank, in_time, urgent_elsewhere, sources, supply.senders, now),
            self._wait(stream, own_rank, same, elsewhere, sources, supply.senders, now),
            higher,
            demand,
        )

    def _wait(
        self,
        stream: Classed,
        own_rank: Rank,
        same: list[tuple[Classed, float, Rank]],
        elsewhere: float,
        sources: list[tuple[float, float]],
        senders: int,
        now: float,
    ) -> float:
        """Return the shortest of the waits that the shares of a stream assure, in seconds."""
        before = sum(tokens for _, tokens, rank in same if rank < own_rank) + elsewhere
        if stream.software:
            rate, higher = sources[0]
            return (higher + before + stream.tokens) / rate
        priority, workspace = clamp_priority(stream.priority), stream.workspace
        own = sum(
            tokens
            for other, tokens, rank in same
            if other.workspace == workspace and rank < own_rank
        )
        count = max(1, self._demand.workspaces_of(priority))
        rest_demand = senders * self._demand.beside(priority, workspace, now)
        everything = sum(tokens for _, tokens, _ in same) + elsewhere
        is_in_share = not self._excess(priority, workspace, own)
        waits = []
        for rate, offset in sources:
            if rate <= 0:
                continue
            waits.append((offset + count * (own + stream.tokens)) / rate)
            if is_in_share or count == 1:
                waits.append((offset + before + stream.tokens) / rate)
            if rate > rest_demand:
                waits.append((offset + everything + stream.tokens) / (rate - rest_demand))
        return max(0.0, min(waits, default=math.inf))

    def _excess(self, priority: int, workspace: str, tokens: float = 0.0) -> float:
        queue = self._queue_by_priority.get(priority)
        return queue.excess_of(workspace, tokens) if queue is not None else 0.0
