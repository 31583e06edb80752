"""The streams that wait for memory at one VM, and the order in which they get it."""

from collections.abc import Iterator
from dataclasses import dataclass

from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    QueuedTokens,
    StreamTimes,
    StreamUrgency,
)

__all__ = ["StreamQueue", "WaitingStream"]


@dataclass(frozen=True, eq=False)
class WaitingStream:
    """A stream that waits; ``software`` is the version that began it, or empty if none has."""

    need: MemoryNeed
    times: StreamTimes
    software: str = ""


class StreamQueue:
    """Streams that wait at one VM, by urgency and then by arrival.

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
        """Return the memory that the streams wait for, in tokens."""
        return QueuedTokens(
            sum(each.need.tokens for each in self._streams),
            sum(each.need.tokens for each in self._streams if self._is_urgent(each, now)),
        )

    def ahead_of(self, stream: WaitingStream, now: float) -> list[WaitingStream]:
        """Return the streams that are to be served before another one."""

        def rank(each: WaitingStream) -> tuple[StreamUrgency, float]:
            return each.times.urgency(now, self._limits), each.times.arrived_at

        own = rank(stream)
        return [each for each in self._streams if each is not stream and rank(each) < own]

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
        if any(each.software in ("", stream.software) for each in self.ahead_of(stream, now)):
            return False
        return self._is_urgent(stream, now) or peers.urgent_tokens == 0

    def _is_urgent(self, stream: WaitingStream, now: float) -> bool:
        return stream.times.urgency(now, self._limits) is StreamUrgency.IN_TIME
