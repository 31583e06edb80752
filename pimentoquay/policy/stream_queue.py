"""The streams that wait for memory at one VM, and the order in which they get it."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Protocol

from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    QueuedTokens,
    StreamTimes,
    StreamUrgency,
)
from pimentoquay.policy.version_choice import engines_for

__all__ = ["StreamQueue", "Waiting", "WaitingStream", "engines_of_wait", "tokens_ahead"]


class Waiting(Protocol):
    """A stream that waits, here or at a coordinator."""

    @property
    def tokens(self) -> int:
        """Memory that it waits for, in tokens."""

    @property
    def times(self) -> StreamTimes:
        """Its arrival and deadlines."""

    @property
    def software(self) -> str:
        """Version that began it, or empty if none has."""


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
    versions = {each.software_version for each in engines}
    part_of_new = share if software else 1.0
    tokens = urgent = 0.0
    for each in waiting:
        part = float(each.software in versions) if each.software else part_of_new
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
    """Streams that wait at one VM, by urgency and then by ``StreamTimes.arrived_at``.

    Load pattern: bursts of more streams than the engines' memory allows, at many VMs. Each serves
    its own in order; late ones yield to those of other VMs that are in time.

    Parameters
    ----------
    limits
        Limits of admission.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._streams: list[WaitingStream] = []

    def __len__(self) -> int:
        return len(self._streams)

    def __iter__(self) -> Iterator[WaitingStream]:
        return iter(self._streams)

    def add(self, stream: WaitingStream) -> None:
        """Let a stream wait."""
        self._streams.append(stream)

    def remove(self, stream: WaitingStream) -> None:
        """Remove a stream that has got memory or waits no more."""
        self._streams.remove(stream)

    def queued(self, now: float) -> QueuedTokens:
        """Return the memory that the streams wait for, in tokens, as other VMs are told.

        The urgent part is that of new streams. Late ones of other VMs yield to it, and would leave
        engines unused if they yielded to streams that wait for other engines.
        """
        new = [each for each in self._streams if not each.software and self._is_urgent(each, now)]
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

        def rank(each: WaitingStream) -> tuple[StreamUrgency, float]:
            return each.times.urgency(now, self._limits), each.times.arrived_at

        own = rank(stream)
        return [each for each in self._streams if each is not stream and rank(each) < own]

    def count_ahead_of(self, stream: WaitingStream, now: float) -> int:
        """Return the number of streams that may take engines of another one before it.

        For one that has not begun, all that wait count.
        """
        return len(self._rivals_of(stream, now)) if stream.software else len(self._streams)

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
        if self._rivals_of(stream, now):
            return False
        return self._is_urgent(stream, now) or peers.urgent_tokens == 0

    def _rivals_of(self, stream: WaitingStream, now: float) -> list[WaitingStream]:
        """Return the streams before one that may take the engines that it waits for."""
        ahead = self.ahead_of(stream, now)
        return [each for each in ahead if each.software in ("", stream.software)]

    def _is_urgent(self, stream: WaitingStream, now: float) -> bool:
        return stream.times.urgency(now, self._limits) is StreamUrgency.IN_TIME
