"""Whether a stream that finds no memory waits for it or is sent away, and until when.

Load pattern: bursts of twice the rate that the decode engines' memory allows, a few seconds long.
A stream that waits longer than its target earns a fraction, and so do those behind it; one that is
sent away at once, with the time when there will be room, costs nobody anything. The estimate of
the wait is the memory that is wanted ahead of a stream over the rate at which memory comes free.
"""

from dataclasses import dataclass

__all__ = ["AdmissionLimits", "ReleaseRate", "WaitDecision", "decide_wait"]

SMOOTHING = 0.1
"""The weight of the newest stream in the averages."""


@dataclass(frozen=True)
class AdmissionLimits:
    """Times in seconds.

    ``work_seconds`` is what a stream needs from its reservation to its first event.
    ``least_return`` and ``longest_return`` bound the time after which a caller is told to return.
    """

    work_seconds: float = 0.2
    least_return: float = 0.1
    longest_return: float = 3.0


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


def decide_wait(
    tokens: int,
    tokens_ahead: int,
    release_rate: float,
    seconds_left: float,
    limits: AdmissionLimits,
) -> WaitDecision:
    """Decide about a stream of ``tokens`` behind others that wait for ``tokens_ahead``.

    Parameters
    ----------
    tokens, tokens_ahead
        Memory wanted by the stream and by those before it, in tokens.
    release_rate
        Tokens that come free in a second.
    seconds_left
        The time until its first event is late.
    limits
        What a stream needs after its wait, and the bounds of the answer.
    """
    wait = (tokens_ahead + tokens) / max(1.0, release_rate)
    if wait <= seconds_left - limits.work_seconds:
        return WaitDecision(True, wait)
    back = min(limits.longest_return, max(limits.least_return, wait))
    return WaitDecision(False, back)
