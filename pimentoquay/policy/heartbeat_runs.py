"""Runs of heartbeats under one id, which tell a live engine from another writer's entries.

Failure pattern: a heartbeat names the start of its engine and its number, and both are chosen by
who writes it. An entry of another writer that names a later start, or a higher number, would make
all later heartbeats of the engine seem old. Late and repeated heartbeats, on the other hand, are
old indeed, and must not bring back what they say.

Heartbeats that differ in their numbers only, which rise by small steps, are a run. A heartbeat that
is newer than all that is in force is taken at once, as an engine may start again at any time. One
that is older is taken once its run has gone on twice: a late heartbeat is within a run that is
known, or comes alone, while an engine that lives goes on.
"""

from dataclasses import dataclass, field

from pimentoquay.policy.fleet import EngineEntry

__all__ = ["HeartbeatRuns"]

CONFIRMING_HEARTBEATS = 2
"""Heartbeats by which a run that seems older than that in force shows that its engine lives."""

MAX_STEP = 2
"""Largest step between the numbers of two heartbeats of a run; one heartbeat may be missing."""

MAX_RUNS = 8
"""Maximum number of runs with a single heartbeat, and of those that have gone on, that are kept of
an id; the run heard least lately is dropped first."""


@dataclass(eq=False)
class _Run:
    """Heartbeats ``first`` to ``last`` that say the same, which is ``content``.

    ``order`` counts the runs in the order in which they began. ``has_gone_on`` is whether it has
    more than one heartbeat, ``waiting`` holds the source of each since it was last in force.
    """

    content: tuple[object, ...]
    incarnation: int
    first: int
    last: int
    order: int = 0
    has_gone_on: bool = False
    waiting: list[object] = field(default_factory=list)


class HeartbeatRuns:
    """Runs of heartbeats under one id, of which one is in force.

    ``confirming`` is the source of the first heartbeat by which the start in force was confirmed,
    or None if it was taken at once.

    Parameters
    ----------
    entry
        The first heartbeat.

    Example
    -------
    >>> def heartbeat(incarnation, sequence):
    ...     return EngineEntry(
    ...         "e", "desk", "", "", False, 6, incarnation=incarnation, sequence=sequence
    ...     )
    >>> runs = HeartbeatRuns(heartbeat(1000, 7))
    >>> runs.accepts(heartbeat(2000, 1))
    True
    >>> [runs.accepts(heartbeat(1000, number)) for number in (7, 8, 9)]
    [False, False, True]
    """

    def __init__(self, entry: EngineEntry) -> None:
        self._current = _run_from(entry)
        self._runs = [self._current]
        self._begun = 1
        self.confirming: object = None

    def accepts(
        self,
        entry: EngineEntry,
        takes_equal: bool = False,
        is_better: bool = False,
        is_worse: bool = False,
        source: object = None,
    ) -> bool:
        """Record a heartbeat; return whether it is in force now.

        Parameters
        ----------
        entry
            The heartbeat.
        takes_equal
            Whether a heartbeat with the start and the number of that in force is taken.
        is_better, is_worse
            Whether the heartbeat can be used and that in force cannot, or the other way round. The
            one is taken however old it seems, the other only if its run goes on.
        source
            What ``confirming`` is to hold of it.
        """
        beat = entry.incarnation, entry.sequence
        current_beat = self._current.incarnation, self._current.last
        is_newer = beat > current_beat or (takes_equal and beat == current_beat)
        run = self._run_of(entry)
        if run is not None and entry.sequence <= run.last:
            return run is self._current and is_newer
        if run is None:
            run = _run_from(entry, self._begun)
            self._begun += 1
        else:
            run.last, run.has_gone_on = entry.sequence, True
            self._runs.remove(run)
        self._runs.append(run)
        self._drop_oldest(run.has_gone_on)
        if run is self._current or is_better or (is_newer and not is_worse):
            self._take(run, None)
            return True
        run.waiting.append(source)
        if len(run.waiting) < CONFIRMING_HEARTBEATS:
            return False
        self._take(run, run.waiting[0])
        return True

    def _run_of(self, entry: EngineEntry) -> _Run | None:
        """Return the run that has a heartbeat already, or else one that goes on with it."""
        content, number = _content(entry), entry.sequence
        for step in (0, MAX_STEP):
            for run in reversed(self._runs):
                if run.first <= number <= run.last + step and run.content == content:
                    return run
        return None

    def _take(self, run: _Run, confirming: object) -> None:
        incarnation = run.incarnation
        if confirming is not None or incarnation != self._current.incarnation:
            self.confirming = confirming
        self._current = run
        for other in self._runs:
            # Only an engine that lives goes on after the entry of a later start. All others have
            # to go on with none of the run in force between.
            if other.incarnation >= incarnation or other.order >= run.order:
                other.waiting.clear()

    def _drop_oldest(self, has_gone_on: bool) -> None:
        others = [each for each in self._runs if each is not self._current]
        alike = [each for each in others if each.has_gone_on == has_gone_on]
        if len(alike) > MAX_RUNS:
            self._runs.remove(alike[0])


def _run_from(entry: EngineEntry, order: int = 0) -> _Run:
    number = entry.sequence
    return _Run(_content(entry), entry.incarnation, number, number, order)


def _content(entry: EngineEntry) -> tuple[object, ...]:
    """Return all that an entry says but its number, in less time than a copy takes."""
    return (
        entry.incarnation,
        entry.address,
        entry.service,
        entry.is_draining,
        entry.stage,
        entry.software,
        entry.data_centre,
        entry.slots,
    )
