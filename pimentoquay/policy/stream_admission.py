"""Whether a stream that finds no memory waits for it or is sent away, and who is served first.

Load pattern: bursts of twice the rate that the decode engines' memory allows, a few seconds long,
between calmer times with room to spare. Streams that can still begin in time go first, in the order
of their arrival; those that cannot any more are served from what is left, as long as their callers
wait. So a queue that has grown too long does not make every stream a little late, and nobody is
sent away who can still be served. A stream is refused at once only if the memory wanted before it
takes longer to come free than its caller waits; then it is told when there will be room.
"""

from dataclasses import dataclass
from enum import IntEnum

__all__ = [
    "AdmissionLimits",
    "ReleaseRate",
    "StreamTimes",
    "StreamUrgency",
    "WaitDecision",
    "decide_wait",
    "first_asked_at",
    "patience_seconds",
]

SMOOTHING = 0.1
"""The weight of the newest stream in the averages."""


class StreamUrgency(IntEnum):
    """Who goes first; lower values do."""

    IN_TIME = 0
    LATE = 1


@dataclass(frozen=True)
class AdmissionLimits:
    """Times in seconds.

    ``work_seconds`` is what a stream needs from its reservation to its first event.
    ``least_return`` and ``longest_return`` bound the time after which a caller is told to return.
    """

    work_seconds: float = 0.3
    least_return: float = 0.1
    longest_return: float = 4.0


@dataclass(frozen=True)
class StreamTimes:
    """When a stream is of use to its caller, on the clock of the decisions.

    ``late_at`` is when its first event stops being in time, ``leaves_at`` when its caller stops
    waiting for it.
    """

    arrived_at: float
    late_at: float
    leaves_at: float

    def urgency(self, now: float, limits: AdmissionLimits) -> StreamUrgency:
        """Return whether a stream that is given memory now begins in time."""
        in_time = now + limits.work_seconds <= self.late_at
        return StreamUrgency.IN_TIME if in_time else StreamUrgency.LATE


@dataclass(frozen=True)
class WaitDecision:
    """Whether to wait; ``seconds`` is the estimated wait, or when to return."""

    waits: bool
    seconds: float


class ReleaseRate:
    """How long streams hold their memory, learned from those that ended.

    Parameters
    ----------
    seconds
        What is assumed before any has ended.
    """

    def __init__(self, seconds: float = 3.0) -> None:
        self.seconds = seconds

    def note(self, seconds: float) -> None:
        """Count a stream that ended."""
        self.seconds += SMOOTHING * (seconds - self.seconds)

    def tokens_per_second(self, held_tokens: int) -> float:
        """Return the rate at which memory comes free while so much is held."""
        return held_tokens / max(0.1, self.seconds)


def patience_seconds(target_seconds: float, gap_seconds: float) -> float:
    """Return how long a caller waits for the first event; the platform's word."""
    return max(2.0, 4.0 * target_seconds, 8.0 * gap_seconds)


def first_asked_at(
    arrived_at: float, wait_seconds: float | None, longest_wait: float | None
) -> float:
    """Return when a caller first asked.

    A caller that returns after a refusal waits for less than one that asks for the first time, by
    the time that has passed since; ``longest_wait`` is the most that callers of the route wait.
    """
    if wait_seconds is None or longest_wait is None:
        return arrived_at
    return arrived_at - max(0.0, longest_wait - wait_seconds)


def decide_wait(
    tokens: int,
    urgent_ahead: int,
    all_ahead: int,
    release_rate: float,
    times: StreamTimes,
    now: float,
    limits: AdmissionLimits,
) -> WaitDecision:
    """Decide about a stream that wants ``tokens`` of memory.

    Parameters
    ----------
    tokens
        Memory wanted by the stream.
    urgent_ahead, all_ahead
        Memory wanted by the streams before it that can be in time, and by all before it.
    release_rate
        Tokens that come free in a second.
    times
        When the stream is of use.
    now
        The time of the decision.
    limits
        What a stream needs after its wait, and the bounds of the answer.
    """
    rate = max(1.0, release_rate)
    urgent_wait = (urgent_ahead + tokens) / rate
    if now + urgent_wait + limits.work_seconds <= times.late_at:
        return WaitDecision(True, urgent_wait)
    wait = (all_ahead + tokens) / rate
    if now + wait + limits.work_seconds <= times.leaves_at:
        return WaitDecision(True, wait)
    back = min(limits.longest_return, max(limits.least_return, wait))
    return WaitDecision(False, back)
