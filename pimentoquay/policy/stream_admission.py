"""Admission and order of streams that wait for memory on decode engines.

Load pattern: bursts of twice the rate that the decode engines' memory allows, a few seconds long,
between quieter periods with spare memory. Streams that can still begin in time are served first, in
order of arrival. Late streams get the remaining memory, as long as their callers wait. A queue that
has grown too long then does not make every stream slightly late, and no stream is refused that can
still be served. A stream is refused at once only if the memory for the streams before it takes
longer to come free than its caller waits. The refusal says when memory is expected to be free.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

__all__ = [
    "AdmissionLimits",
    "QueuedTokens",
    "ReleaseRate",
    "StreamTimes",
    "StreamUrgency",
    "WaitDecision",
    "Waiting",
    "decide_by_waits",
    "decide_wait",
    "first_request_at",
    "patience_seconds",
    "stream_times",
]

NEW_SAMPLE_WEIGHT = 0.1
"""Weight of the newest stream in the moving average."""


class StreamUrgency(IntEnum):
    """Priority of a waiting stream; lower values are served first."""

    IN_TIME = 0
    LATE = 1


@dataclass(frozen=True)
class AdmissionLimits:
    """Limits of admission, in seconds.

    ``work_seconds`` is the time from the reservation of memory for a stream to its first event.
    ``min_retry_after`` and ``max_retry_after`` bound the time after which a refused caller is asked
    to retry.
    """

    work_seconds: float = 0.3
    min_retry_after: float = 0.1
    max_retry_after: float = 4.0


@dataclass(frozen=True)
class StreamTimes:
    """Arrival and deadlines of a stream, in seconds on the same clock as ``now``.

    Streams are served in the order of ``arrived_at``, which is that of the first attempt if the
    stream has begun. After ``late_at`` it yields to those that can still be in time; at
    ``leaves_at`` its caller stops waiting for it.
    """

    arrived_at: float
    late_at: float
    leaves_at: float

    def urgency(self, now: float, limits: AdmissionLimits) -> StreamUrgency:
        """Return ``IN_TIME`` if the stream begins in time when it is given memory now."""
        in_time = now + limits.work_seconds <= self.late_at
        return StreamUrgency.IN_TIME if in_time else StreamUrgency.LATE


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


@dataclass(frozen=True)
class WaitDecision:
    """Whether a stream is to wait for memory.

    ``seconds`` is the estimated wait or, for a refusal, the time after which to retry. ``basis``
    says for the log what a decision between several priorities or workspaces depended on.
    """

    should_wait: bool
    seconds: float
    basis: str = ""


@dataclass(frozen=True)
class QueuedTokens:
    """Memory that streams wait for, in tokens.

    ``urgent_tokens`` is the part for streams that can still be in time.
    """

    tokens: int
    urgent_tokens: int


class ReleaseRate:
    """Estimated rate at which ending streams release memory.

    It is derived from the average time for which streams hold their memory.

    Parameters
    ----------
    seconds
        Assumed hold time before any stream has ended, in seconds.
    """

    def __init__(self, seconds: float = 3.0) -> None:
        self.seconds = seconds

    def record(self, seconds: float) -> None:
        """Add the hold time of a stream that has ended."""
        self.seconds += NEW_SAMPLE_WEIGHT * (seconds - self.seconds)

    def tokens_per_second(self, held_tokens: int) -> float:
        """Return the rate at which memory comes free while ``held_tokens`` are held."""
        return held_tokens / max(0.1, self.seconds)


def patience_seconds(target_seconds: float, gap_seconds: float) -> float:
    """Return the time for which a caller waits for the first event of a stream, in seconds.

    It is the maximum of 2 s, 4 times the target time and 8 times the longest pause.

    Parameters
    ----------
    target_seconds
        Maximum time to the first event of a stream that is on time.
    gap_seconds
        Longest allowed pause between two events of the stream.
    """
    return max(2.0, 4.0 * target_seconds, 8.0 * gap_seconds)


def first_request_at(
    arrived_at: float, wait_seconds: float | None, longest_wait: float | None
) -> float:
    """Estimate the time of a caller's first attempt, which may have been refused.

    Load pattern: callers that retry after a refusal, and whose requests should keep their place. A
    caller that retries is willing to wait for less time than at its first attempt, by the time that
    has passed since then.

    Parameters
    ----------
    arrived_at
        Arrival time of the present attempt.
    wait_seconds
        Time for which the caller is willing to wait now, or None if it is not known.
    longest_wait
        Maximum time for which callers of the route are willing to wait, or None if it is not known.
    """
    if wait_seconds is None or longest_wait is None:
        return arrived_at
    return arrived_at - max(0.0, longest_wait - wait_seconds)


def stream_times(
    arrived_at: float,
    first_sent_at: float,
    has_begun: bool,
    target_seconds: float,
    gap_seconds: float,
    deadline: float,
) -> StreamTimes:
    """Return when a stream becomes late and when its caller stops waiting for it.

    Load pattern: callers that take streams up again in large numbers, beside more new ones than the
    engines' memory allows. They come together, so they would turn late together and yield to all
    new ones from then on, of which some are always in time. A stream that has begun is never late,
    and keeps its place when its caller comes back after a refusal: what engines have already done
    for it is lost if it does not go on.

    Parameters
    ----------
    arrived_at, first_sent_at
        Times of the present and of the first attempt of the caller.
    has_begun
        Whether the caller has got a part of the stream, which is to go on.
    target_seconds, gap_seconds
        Maximum time to the first event, and between two events, of a stream that is on time.
    deadline
        Time at which the caller's or the route's timeout ends.

    Example
    -------
    >>> stream_times(10.0, 7.0, False, 1.0, 0.3, 20.0).late_at
    8.0
    >>> stream_times(10.0, 7.0, True, 1.0, 0.3, 20.0).late_at
    14.0
    """
    leaves_at = min(arrived_at + patience_seconds(target_seconds, gap_seconds), deadline)
    if has_begun:
        return StreamTimes(min(arrived_at, first_sent_at), leaves_at, leaves_at)
    late_at = first_sent_at + target_seconds
    return StreamTimes(arrived_at, late_at, max(leaves_at, late_at))


def decide_wait(
    tokens: int,
    urgent_ahead: int,
    all_ahead: int,
    release_rate: float,
    times: StreamTimes,
    now: float,
    limits: AdmissionLimits,
) -> WaitDecision:
    """Decide whether a stream waits for memory or is refused.

    Load pattern: bursts of twice the rate that the decode engines' memory allows.

    Parameters
    ----------
    tokens
        Memory that the stream needs, in tokens.
    urgent_ahead, all_ahead
        Memory in tokens needed by the streams before it that can still be in time, and by all
        streams before it.
    release_rate
        Rate at which memory comes free, in tokens per second.
    times
        Arrival and deadlines of the stream.
    now
        Current time.
    limits
        Time that the stream needs after its wait, and bounds on the time until a retry.
    """
    rate = max(1.0, release_rate)
    return decide_by_waits(
        (urgent_ahead + tokens) / rate, (all_ahead + tokens) / rate, times, now, limits
    )


def decide_by_waits(
    urgent_wait: float, wait: float, times: StreamTimes, now: float, limits: AdmissionLimits
) -> WaitDecision:
    """Decide whether a stream waits, by its estimated waits in seconds.

    Parameters
    ----------
    urgent_wait, wait
        Wait behind the streams before it that can still be in time, and behind all before it.
    times, now, limits
        As for the function ``decide_wait``.
    """
    if now + urgent_wait + limits.work_seconds <= times.late_at:
        return WaitDecision(True, urgent_wait)
    if now + wait + limits.work_seconds <= times.leaves_at:
        return WaitDecision(True, wait)
    retry_after = min(limits.max_retry_after, max(limits.min_retry_after, wait))
    return WaitDecision(False, retry_after)
