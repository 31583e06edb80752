"""How full an engine can be before the pauses between events of its streams become too long.

Load pattern: engines of different speed whose memory is filled evenly. A slow one, or one that
slows down when it is nearly full, then makes all its streams late while faster ones have room.

Failure pattern: an engine becomes slow by a fault and recovers. Late pauses count for some ten
seconds, so that it is used as before once it keeps the pauses again. One gateway whose path to an
engine is slow may report late pauses too; such an engine is only used after the others.
"""

from dataclasses import dataclass

from pimentoquay.policy.engine_notices import EngineStart

__all__ = ["DecodePauses"]

BINS = 8
"""Number of parts of an engine's usable memory for which pauses are kept."""

MAX_LATE_SHARE = 0.25
"""Share of the time of its streams that an engine may spend in pauses that are too long.

Streams pause at times for a short prompt that the engine reads, or for their path.
"""

PRIOR_SECONDS = 1.0
"""Time without long pauses that is assumed for each part, so that one pause changes nothing."""

HALF_LIFE_SECONDS = 5.0
"""Time in which the weight of earlier pauses falls to a half."""

MAX_REPORT_SECONDS = 20.0
"""Maximum weight of one report, which is more than all streams of an engine take in a second."""

MAX_ELAPSED_SECONDS = 1.0
"""Maximum time of each stream that is added for a report: the time in which gateways add up."""

MAX_STARTS = 8192
"""Maximum number of starts of engines that are kept; 2,800 engines are designed for."""

FORGET_SECONDS = 60.0
"""Time after which pauses have no weight any more."""


@dataclass
class _Part:
    """Time of streams while a part of the memory was in use, and the part in long pauses."""

    seconds: float = 0.0
    late_seconds: float = 0.0
    updated_at: float = 0.0

    def weight(self, now: float) -> float:
        """Return the weight of the times at ``now``, from 0 to 1."""
        return float(0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_SECONDS))

    def add(self, seconds: float, late_seconds: float, now: float) -> None:
        weight = self.weight(now)
        self.seconds = weight * self.seconds + seconds
        self.late_seconds = weight * self.late_seconds + late_seconds
        self.updated_at = now

    def is_late(self, now: float) -> bool:
        weight = self.weight(now)
        return weight * self.late_seconds > MAX_LATE_SHARE * (weight * self.seconds + PRIOR_SECONDS)


@dataclass
class _StreamTime:
    """Time of an engine's streams that is counted, and the part that no report has told yet.

    Only gateways that saw long pauses report, so the time of the other streams is added here.
    """

    counted_at: float = float("-inf")
    untold: float = 0.0

    def count(self, seconds: float, late_seconds: float, streams: int, now: float) -> float:
        """Return the seconds to be added for a report, where a number of streams are known."""
        elapsed = min(MAX_ELAPSED_SECONDS, max(0.0, now - self.counted_at))
        added = max(streams * elapsed, seconds - self.untold, late_seconds)
        self.untold = min(streams * MAX_ELAPSED_SECONDS, self.untold + added - seconds)
        self.counted_at = now
        return added


class DecodePauses:
    """Long pauses of streams by start of an engine and by the share of its memory in use.

    Example
    -------
    >>> pauses, start = DecodePauses(), EngineStart("dec-1", 1)
    >>> pauses.record(start, fill=0.9, seconds=8.0, late_seconds=6.0, now=0.0)
    >>> pauses.keeps(start, 0.5, 0.0), pauses.keeps(start, 0.9, 0.0), pauses.keeps(start, 0.9, 60.0)
    (True, False, True)
    """

    def __init__(self) -> None:
        self._parts_by_start: dict[EngineStart, dict[int, _Part]] = {}
        self._time_by_start: dict[EngineStart, _StreamTime] = {}

    def record(
        self,
        start: EngineStart,
        fill: float,
        seconds: float,
        late_seconds: float,
        now: float,
        streams: int = 0,
    ) -> None:
        """Add the time of streams on an engine, and the part of it in pauses that are too long.

        Times that cannot be right are ignored; they may come from another gateway.

        Parameters
        ----------
        start
            The start of the engine.
        fill
            Share of its usable memory that was in use.
        seconds, late_seconds
            Time of its streams at one gateway, and the part of it in long pauses.
        now
            Current time in seconds.
        streams
            Number of its streams at all gateways, or 0 if it is not known.
        """
        if not 0.0 <= late_seconds <= seconds < float("inf") or seconds == 0.0:
            return
        if start not in self._parts_by_start and len(self._parts_by_start) >= MAX_STARTS:
            self._forget(now)
        parts = self._parts_by_start.setdefault(start, {})
        time = self._time_by_start.setdefault(start, _StreamTime())
        seconds = time.count(seconds, late_seconds, streams, now)
        if seconds == 0.0:
            return
        scale = min(1.0, MAX_REPORT_SECONDS / seconds)
        part = parts.setdefault(_bin_of(fill), _Part())
        part.add(scale * seconds, scale * late_seconds, now)

    def keeps(self, start: EngineStart, fill: float, now: float) -> bool:
        """Return whether an engine keeps its pauses short with a share of its memory in use.

        It does not if they were too long with as much or less in use.
        """
        parts = self._parts_by_start.get(start)
        if not parts:
            return True
        highest = _bin_of(fill)
        return not any(each <= highest and part.is_late(now) for each, part in parts.items())

    def late_engines(self, now: float) -> int:
        """Return the number of engines that are too slow for a part of their memory."""
        return sum(
            any(part.is_late(now) for part in parts.values())
            for parts in self._parts_by_start.values()
        )

    def _forget(self, now: float) -> None:
        """Forget engines without new pauses, or else the one that is known for longest."""
        for start, parts in tuple(self._parts_by_start.items()):
            if all(now - part.updated_at > FORGET_SECONDS for part in parts.values()):
                self._remove(start)
        if len(self._parts_by_start) >= MAX_STARTS:
            self._remove(next(iter(self._parts_by_start)))

    def _remove(self, start: EngineStart) -> None:
        del self._parts_by_start[start]
        del self._time_by_start[start]


def _bin_of(fill: float) -> int:
    return max(0, min(BINS - 1, int(fill * BINS)))
