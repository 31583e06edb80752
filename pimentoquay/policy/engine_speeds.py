"""Speed of each start of an engine, learnt from the prefills that it has done.

Load pattern: engines of different speed in one service, for example two of relative speed 0.7 and
one of 1.7. With equal queues in tokens, a prompt waits 2.4 times as long at a slow engine as at a
fast one, and in bursts the queues of the slow engines decide how late streams begin.

Failure pattern: an engine becomes slower, for example by a fault of its machine, and recovers
later. An engine answers prefills in no time, or a suspended gateway measures seconds too many. What
one engine's measurements can change is bounded, and speeds that have not been measured for a while
return to the median, so that an engine that was slow is tried again.

A prefill that had to wait in the engine's queue shows less than one that began at once: the engine
read at least its tokens, and at most its tokens and those before it, in the measured time. An
estimate between these two bounds is left as it is. Queues that were not known lengthen the times of
some prefills but not of all, so the second shortest of the newest times is used.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median_low

from pimentoquay.policy.engine_notices import EngineStart

__all__ = ["EngineSpeeds", "PrefillSample", "ServiceSpeeds", "SpeedChange"]

INITIAL_TOKENS_PER_SECOND = 50_000.0
"""Assumed speed of a prefill before the first one, slightly below the nominal 55 tokens per ms."""

MAX_FASTER, MAX_SLOWER = 3.0, 8.0
"""Factors above and below the median speed to which the speed of an engine is limited.

Known engines differ by a factor of 2.4. An engine that seems a thousand times as fast then gets at
most three times the prompts of another one.
"""

SIMILAR_SPEED = 1.2
"""Factor around the median within which an engine counts as equally fast.

The transfer of a prompt and of its response changes the measured time by some percent. Engines of
equal speed are then chosen by their queues alone.
"""

PRIOR_SAMPLES = 0.5
"""Weight of the median in the estimate of one engine, as a number of prefills."""

INTERVAL_SECONDS = 0.5
"""Time of which only the fastest prefill is used, so that the newest are not all of one burst."""

MAX_SAMPLES = 8
"""Number of the newest intervals that are used, so that the estimate follows changes of an engine.

After one, seven intervals with slower prefills or two with faster ones decide.
"""

MAX_SAMPLE_AGE_SECONDS = 20.0
"""Time after which a prefill is no longer used once there is a newer one."""

CHANGE_FACTOR = 1.5
"""Factor by which an engine's estimate differs from the one reported last if it has changed."""

UNKNOWN_QUEUE_FACTOR = 1.1
"""Factor by which a prefill may slow the estimate if it is unknown what was before it in the queue.

The time in the queue would else be taken for work of the engine while all queues are long.
"""

HALF_LIFE_SECONDS = 10.0
"""Time in which the weight of earlier prefills falls to a half.

An engine that was measured as slow is tried again after some 30 s.
"""

RETENTION_SECONDS = 600.0
"""Time for which the speed of an engine without prefills is kept, in seconds."""

MAX_STARTS = 8192
"""Maximum number of starts of engines that are kept; 2,800 engines are designed for."""

MIN_SAMPLE_TOKENS = 500
"""Shortest prompt that is taken for a measurement, in tokens.

The time of shorter ones is mostly that of the request and its response.
"""

MAX_SAMPLE_TOKENS = 10_000_000
"""Longest prompt that is taken for a measurement, in tokens."""

MAX_SAMPLE_SECONDS = 60.0
"""Longest prefill that is taken for a measurement, in seconds; callers leave long before."""


@dataclass(frozen=True)
class PrefillSample:
    """A prefill: its tokens, its duration in seconds and the tokens before it in the queue.

    ``ahead`` is ``None`` if it is unknown what was before it.
    """

    tokens: int
    seconds: float
    ahead: int | None = 0

    @property
    def is_valid(self) -> bool:
        """Whether the sample can be that of a prefill; it may come from another gateway."""
        is_possible = (
            MIN_SAMPLE_TOKENS <= self.tokens <= MAX_SAMPLE_TOKENS and (self.ahead or 0) >= 0
        )
        return is_possible and 0.0 < self.seconds <= MAX_SAMPLE_SECONDS


@dataclass(frozen=True)
class SpeedChange:
    """An engine that has become slower or faster, with speeds in tokens per second."""

    engine: EngineStart
    before: float
    now: float

    @property
    def is_slower(self) -> bool:
        """Whether it has become slower."""
        return self.now < self.before


@dataclass
class _Measured:
    """Fastest prefill of each of the newest intervals, at one start of an engine.

    ``samples`` are pairs of the time at which the interval began, in seconds, and the seconds per
    token. ``sampled_at`` is the time of the newest prefill, and ``exact_at`` of the newest whose
    queue was known. ``seconds_per_token`` is the estimate, ``reported`` the one from which a change
    is reported.
    """

    samples: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    seconds_per_token: float = 0.0
    reported: float = 0.0
    sampled_at: float = 0.0
    exact_at: float = float("-inf")

    def weight(self, now: float) -> float:
        """Return the number of prefills that the estimate still counts for."""
        age = max(0.0, now - self.sampled_at)
        return len(self.samples) * 0.5 ** (age / HALF_LIFE_SECONDS)

    def add(self, seconds_per_token: float, now: float) -> None:
        """Add a prefill."""
        while self.samples and now - self.samples[0][0] > MAX_SAMPLE_AGE_SECONDS:
            self.samples.popleft()
        if self.samples and now - self.samples[-1][0] < INTERVAL_SECONDS:
            began_at, fastest = self.samples.pop()
            self.samples.append((began_at, min(fastest, seconds_per_token)))
        else:
            self.samples.append((now, seconds_per_token))
        self.sampled_at = now
        times = sorted(each for _, each in self.samples)
        self.seconds_per_token = times[1] if len(times) > 3 else times[0]


class EngineSpeeds:
    """Estimated speeds of prefills of one service, by start of an engine.

    ``changes`` counts the engines that have become slower or faster.

    Example
    -------
    >>> speeds, start = EngineSpeeds(), EngineStart("pre-1", 1)
    >>> speeds.tokens_per_second(start, 0.0)
    50000.0
    >>> for second in range(8):
    ...     _ = speeds.record(start, PrefillSample(5000, 0.05), float(second))
    >>> round(speeds.tokens_per_second(start, 8.0))
    100000
    """

    def __init__(self) -> None:
        self.changes = 0
        self._measured_by_start: dict[EngineStart, _Measured] = {}
        self._median = INITIAL_TOKENS_PER_SECOND

    @property
    def median(self) -> float:
        """Median speed of the engines that have been measured, in tokens per second."""
        return self._median

    @property
    def starts(self) -> tuple[EngineStart, ...]:
        """Starts of engines that have been measured."""
        return tuple(self._measured_by_start)

    def factor(self, start: EngineStart, now: float) -> float:
        """Return the speed of an engine relative to the median; 1.0 if it is similar or unknown."""
        measured = self._measured_by_start.get(start)
        if measured is None:
            return 1.0
        own = 1.0 / (measured.seconds_per_token * self._median)
        own = min(max(own, 1.0 / MAX_SLOWER), MAX_FASTER)
        weight = measured.weight(now)
        # Times are averaged, as it is the time in a queue that decides.
        factor = (weight + PRIOR_SAMPLES) / (weight / own + PRIOR_SAMPLES)
        return 1.0 if 1.0 / SIMILAR_SPEED < factor < SIMILAR_SPEED else factor

    def confidence(self, start: EngineStart, now: float) -> float:
        """Return the confidence in the speed of an engine, from 0 to almost 1."""
        measured = self._measured_by_start.get(start)
        weight = measured.weight(now) if measured is not None else 0.0
        return weight / (weight + PRIOR_SAMPLES)

    def tokens_per_second(self, start: EngineStart, now: float) -> float:
        """Return the estimated speed of an engine."""
        return self._median * self.factor(start, now)

    def seconds(self, start: EngineStart, tokens: int, now: float) -> float:
        """Return the time that an engine needs for a number of tokens, without its queue."""
        return tokens / self.tokens_per_second(start, now)

    def record(self, start: EngineStart, sample: PrefillSample, now: float) -> SpeedChange | None:
        """Add a prefill; return a change of the engine's speed if it shows one.

        Invalid samples are ignored.
        """
        if not sample.is_valid:
            return None
        known = self._measured_by_start.get(start)
        estimate = self._estimate(start)
        measured = self._seconds_per_token(sample, estimate)
        if sample.ahead is None:
            measured = sample.seconds / sample.tokens
            if known is not None and measured > estimate:
                if now - known.exact_at < MAX_SAMPLE_AGE_SECONDS:
                    return None
                measured = min(measured, UNKNOWN_QUEUE_FACTOR * estimate)
        elif sample.ahead and measured == estimate:
            return None
        if known is None:
            known = self._measured_by_start[start] = _Measured()
        known.add(measured, now)
        if sample.ahead is not None:
            known.exact_at = now
        self._limit_size()
        self._update_median()
        return self._find_change(known, start)

    def effective(self, start: EngineStart, sample: PrefillSample) -> PrefillSample | None:
        """Return a sample that shows the same without a queue, or ``None`` if it shows nothing.

        It is sent to gateways that don't know the queue.
        """
        if not sample.is_valid or not sample.ahead:
            return sample if sample.is_valid else None
        estimate = self._estimate(start)
        measured = self._seconds_per_token(sample, estimate)
        if measured == estimate:
            return None
        return PrefillSample(max(1, round(sample.seconds / measured)), sample.seconds, 0)

    def _estimate(self, start: EngineStart) -> float:
        known = self._measured_by_start.get(start)
        return known.seconds_per_token if known is not None else 1.0 / self._median

    @staticmethod
    def _seconds_per_token(sample: PrefillSample, estimate: float) -> float:
        shortest = sample.seconds / (sample.tokens + (sample.ahead or 0))
        longest = sample.seconds / sample.tokens
        return min(max(estimate, shortest), longest)

    def expire(self, now: float) -> None:
        """Forget engines that have not been measured for ``RETENTION_SECONDS``."""
        for start, known in tuple(self._measured_by_start.items()):
            if now - known.sampled_at > RETENTION_SECONDS:
                del self._measured_by_start[start]
        self._update_median()

    def _find_change(self, known: _Measured, start: EngineStart) -> SpeedChange | None:
        before, present = known.reported, known.seconds_per_token
        if not before:
            known.reported = present
        if not before or max(before / present, present / before) < CHANGE_FACTOR:
            return None
        known.reported = present
        self.changes += 1
        return SpeedChange(start, 1.0 / before, 1.0 / present)

    def _update_median(self) -> None:
        speeds = [1.0 / each.seconds_per_token for each in self._measured_by_start.values()]
        if speeds:
            self._median = median_low(speeds)

    def _limit_size(self) -> None:
        if len(self._measured_by_start) > MAX_STARTS:
            oldest = min(self._measured_by_start.items(), key=lambda item: item[1].sampled_at)
            del self._measured_by_start[oldest[0]]


class ServiceSpeeds:
    """Speeds of the engines of each service, as services may run models of different size."""

    def __init__(self) -> None:
        self._speeds_by_service: dict[str, EngineSpeeds] = {}

    def of(self, service: str) -> EngineSpeeds:
        """Return the speeds of the engines of a service."""
        return self._speeds_by_service.setdefault(service, EngineSpeeds())

    @property
    def changes(self) -> int:
        """Number of times that an engine has become slower or faster."""
        return sum(each.changes for each in self._speeds_by_service.values())

    @property
    def known_engines(self) -> int:
        """Number of starts of engines whose speed has been measured."""
        return sum(len(each.starts) for each in self._speeds_by_service.values())

    def expire(self, now: float) -> None:
        """Forget engines that have not been measured for a long time."""
        for speeds in self._speeds_by_service.values():
            speeds.expire(now)
