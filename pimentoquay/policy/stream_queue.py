"""The streams that wait for memory at one VM, and the order in which they get it."""

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from pimentoquay.messages.pools import MAX_PRIORITY
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.service_order import (
    Rank,
    ServiceOrder,
    Supply,
    clamp_priority,
)
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    QueuedTokens,
    StreamTimes,
    StreamUrgency,
    WaitDecision,
    Waiting,
    decide_wait,
)
from pimentoquay.policy.version_choice import engines_for

__all__ = [
    "StreamQueue",
    "WaitingStream",
    "engines_of_wait",
    "parts_ahead",
    "tokens_ahead",
]


QUANTUM_TOKENS = 8_000.0
"""Quantum of one gateway of a full mesh, which sees a part of the streams: about one of them. In a
replay of 7 gateways with one workspace at seven times its usual load, the others are served 0.93
and 0.92 of what they send, and 0.89 and 0.83 by arrival alone."""


WaitingKind = TypeVar("WaitingKind", bound=Waiting)


def engines_of_wait(
    engines: Iterable[EngineEntry], waiting: Iterable[Waiting], software: str
) -> tuple[EngineEntry, ...]:
    """Return the engines by which the wait of a stream is computed.

    New streams leave the versions for which others wait to these, so they wait for the rest, if
    there are others.

    Parameters
    ----------
    engines
        Engines that may run the stream.
    waiting
        The streams that wait.
    software
        Version that began the stream, or empty if none has.
    """
    listed = tuple(engines)
    return engines_for(listed, software, {each.software for each in waiting}) or listed


def parts_ahead(
    waiting: Iterable[WaitingKind],
    software: str,
    engines: Collection[EngineEntry],
    share: float,
) -> list[tuple[WaitingKind, float]]:
    """Return the streams that wait, each with the part of it that waits for a stream's engines.

    Parameters
    ----------
    waiting, software, engines, share
        As for the function ``tokens_ahead``.
    """
    versions = {each.software_version for each in engines}
    part_of_new = share if software else 1.0
    return [
        (each, float(each.software in versions) if each.software else part_of_new)
        for each in waiting
    ]


def tokens_ahead(
    waiting: Iterable[Waiting],
    software: str,
    engines: Collection[EngineEntry],
    share: float,
    now: float,
    limits: AdmissionLimits,
) -> QueuedTokens:
    """Return the memory that streams wait for before another one, where it may run.

    Load pattern: engines of several software versions, and streams of each of them that callers
    take up, beside new ones that may begin anywhere. What waits for other engines does not delay a
    stream.

    Parameters
    ----------
    waiting
        The streams that wait.
    software
        Version that began the stream, or empty if none has.
    engines
        Engines by which its wait is computed.
    share
        Share of all engines that these are. New streams wait for that part of them.
    now
        Current time in seconds.
    limits
        Limits of admission.
    """
    tokens = urgent = 0.0
    for each, part in parts_ahead(waiting, software, engines, share):
        tokens += part * each.tokens
        if each.times.urgency(now, limits) is StreamUrgency.IN_TIME:
            urgent += part * each.tokens
    return QueuedTokens(int(tokens), int(urgent))


@dataclass(frozen=True, eq=False)
class WaitingStream:
    """A stream that waits.

    ``software`` is the version that began it, or empty if none has. ``avoided`` holds the ids of
    engines that it takes only if no other has memory. Priority 0 is the highest; ``workspace`` is
    empty if the configuration has none.
    """

    need: MemoryNeed
    times: StreamTimes
    software: str = ""
    avoided: frozenset[str] = frozenset()
    priority: int = 0
    workspace: str = ""

    @property
    def tokens(self) -> int:
        """Expected memory at its end, in tokens."""
        return self.need.tokens


class StreamQueue:
    """Streams that wait at one VM, by priority and share, urgency and ``StreamTimes.arrived_at``.

    Load pattern: bursts of more streams than the engines' memory allows, at many VMs. Each serves
    its own in order; late ones and those of lower priorities yield to those of other VMs that are
    in time. VMs don't tell priorities and workspaces, so they count as urgent only streams of their
    highest priority within the share of their workspace, and tell others only those of the highest
    priority that the configuration has.

    Parameters
    ----------
    limits
        Limits of admission.
    priorities
        Returns the priorities of the configuration, the highest first; none if they are not known.
    """

    def __init__(
        self, limits: AdmissionLimits, priorities: Callable[[], Sequence[int]] = tuple
    ) -> None:
        self._limits = limits
        self._priorities = priorities
        self._streams: list[WaitingStream] = []
        self._order = ServiceOrder(limits, QUANTUM_TOKENS)

    def __len__(self) -> int:
        return len(self._streams)

    def __iter__(self) -> Iterator[WaitingStream]:
        return iter(self._streams)

    def add(self, stream: WaitingStream) -> None:
        """Let a stream wait."""
        self._streams.append(stream)
        self._order.add(stream, stream)

    def remove(self, stream: WaitingStream) -> None:
        """Remove a stream that has got memory or waits no more."""
        self._streams.remove(stream)
        self._order.remove(stream)

    def record_arrival(self, stream: WaitingStream, now: float) -> None:
        """Record that a stream has arrived, whether or not it has to wait."""
        self._order.record_arrival(stream, now)

    def record_served(self, stream: WaitingStream) -> None:
        """Record that a stream has got memory, whether or not it waited."""
        self._order.serve(stream, stream)

    def queued(self, now: float) -> QueuedTokens:
        """Return the memory that the streams wait for, in tokens, as other VMs are told.

        The urgent part is that of new streams. Late ones of other VMs yield to it, and would leave
        engines unused if they yielded to streams that wait for other engines.
        """
        # A VM that has seen only a lower priority must not let higher ones of others yield to it.
        highest = next(iter(self._priorities()), MAX_PRIORITY)
        new = [
            each
            for each in self._streams
            if not each.software
            and clamp_priority(each.priority) <= highest
            and self._is_first(each, now)
        ]
        return QueuedTokens(
            sum(each.tokens for each in self._streams), sum(each.tokens for each in new)
        )

    def all_tokens_ahead(
        self,
        software: str,
        engines: Collection[EngineEntry],
        share: float,
        peers: QueuedTokens,
        now: float,
    ) -> QueuedTokens:
        """Return the memory that streams here and at other VMs wait for before another one.

        Peers do not tell for which versions their streams wait, so of theirs only the urgent ones,
        which have not begun, count for a stream that has.

        Parameters
        ----------
        software, engines, share, now
            As for the function ``tokens_ahead``.
        peers
            Memory that streams wait for at the other VMs.
        """
        own = tokens_ahead(self._streams, software, engines, share, now, self._limits)
        if software:
            urgent = tokens = int(share * peers.urgent_tokens)
        else:
            urgent, tokens = peers.urgent_tokens, peers.tokens
        return QueuedTokens(own.tokens + tokens, own.urgent_tokens + urgent)

    def ahead_of(self, stream: WaitingStream, now: float) -> list[WaitingStream]:
        """Return the streams that are to be served before another one."""
        return list(self._iterate_ahead(stream, now))

    def _iterate_ahead(self, stream: WaitingStream, now: float) -> Iterator[WaitingStream]:
        promoted = self._promoted(stream, now)

        def rank(each: WaitingStream) -> Rank:
            return self._order.rank(each, now, each is promoted)

        own = rank(stream)
        return (each for each in self._streams if each is not stream and rank(each) < own)

    def count_ahead_of(self, stream: WaitingStream, now: float) -> int:
        """Return the number of streams that may take engines of another one before it.

        For one that has not begun, all that wait count.
        """
        if not stream.software:
            return len(self._streams)
        return sum(1 for _ in self._rivals_of(stream, now))

    def is_next(self, stream: WaitingStream, peers: QueuedTokens, now: float) -> bool:
        """Return whether no stream here or at another VM has to be served before a stream.

        Parameters
        ----------
        stream
            The stream, which need not wait yet.
        peers
            Memory that streams wait for at the other VMs.
        now
            Current time in seconds.
        """
        # All streams that wait ask this at each change, so the first rival decides.
        if any(self._rivals_of(stream, now)):
            return False
        is_first = self._is_first(stream, now) or self._promoted(stream, now) is stream
        return is_first or peers.urgent_tokens == 0

    def decide(
        self,
        stream: WaitingStream,
        engines: Collection[EngineEntry],
        share: float,
        peers: QueuedTokens,
        supply: Supply,
        now: float,
    ) -> WaitDecision:
        """Decide whether a stream, which need not wait yet, waits for memory or is refused.

        Parameters
        ----------
        stream
            The stream.
        engines, share, peers, now
            As for ``all_tokens_ahead``.
        supply
            Memory that comes free, and the number of VMs.
        """
        others = [each for each in self._streams if each is not stream]
        if self._order.is_mixed(now):
            urgent = int(share * peers.urgent_tokens) if stream.software else peers.urgent_tokens
            supply = replace(
                supply,
                peers_urgent=urgent,
                peers_tokens=urgent if stream.software else peers.tokens,
            )
            parts = parts_ahead(others, stream.software, engines, share)
            is_waiting = len(others) < len(self._streams)
            return self._order.decide(stream, parts, supply, now, is_waiting)
        ahead = self.all_tokens_ahead(stream.software, engines, share, peers, now)
        rate = supply.tokens_per_second
        return decide_wait(
            stream.tokens, ahead.urgent_tokens, ahead.tokens, rate, stream.times, now, self._limits
        )

    def may_be_displaced(self, stream: WaitingStream, now: float) -> bool:
        """Return whether a stream that waits is the first to be refused if not all can be served.

        Streams of one priority and workspace are not, nor are those that have begun.
        """
        if not self._order.is_excess(stream, now):
            return False
        return len(self.ahead_of(stream, now)) == len(self._streams) - 1

    def _rivals_of(self, stream: WaitingStream, now: float) -> Iterator[WaitingStream]:
        """Yield the streams before one that may take the engines that it waits for."""
        ahead = self._iterate_ahead(stream, now)
        return (each for each in ahead if each.software in ("", stream.software))

    def _is_first(self, stream: WaitingStream, now: float) -> bool:
        """Return whether a stream can be in time, is of the highest priority, and in its share."""
        in_time = stream.times.urgency(now, self._limits) is StreamUrgency.IN_TIME
        return in_time and not self._order.is_excess(stream, now)

    def _promoted(self, stream: WaitingStream, now: float) -> WaitingStream | None:
        """Return the stream that is next by its guaranteed share, of those here and another one."""
        known: Sequence[WaitingStream] = self._streams
        if not any(each is stream for each in known):
            known = [*known, stream]
        return self._order.promoted(((each, each) for each in known), now)
