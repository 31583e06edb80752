"""Quarantine of prompts whose parts crash the engines that begin to answer them.

Failure pattern: a part of prompts crashes every engine that begins to write an answer to it,
whatever else the request holds. Such requests arrive at all VMs, no two alike, mixed with sound
ones that have their other parts, and each crash also breaks the streams of other requests.
Repeating a broken request elsewhere crashes the next engine.

Evidence is the crash of an engine together with the parts of a request that was there and had not
begun to be answered. All VMs exchange their evidence. What a number of crashes have in common is
quarantined: requests with all of these parts are refused. A part to which an engine begins to write
an answer cannot be the cause, which clears it of the crashes so far. Evidence and clearances are
only ever added, and a clearance outweighs the evidence, so VMs that know the same of both decide
alike, in whatever order they learned it.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from pimentoquay.policy.engine_notices import EngineStart

__all__ = ["Clearance", "CrashReport", "PromptQuarantine", "Quarantine", "find_quarantines"]

MIN_CRASHES = 3
"""Crashes that a combination of parts must have in common to be quarantined.

A sound request that waits at a crashing engine is repeated at the same engine as the request that
crashed it more often than by chance, so two crashes in common do not single out the cause.
"""

RECENT_SUCCESS_SECONDS = 10.0
"""Time for which a part counts as sound after an engine began to answer it.

A part that most requests have is in most crashes as well, and engines that have crashed begin no
answers for some seconds.
"""

MIN_CONCLUSIVE_CRASHES = 2
"""Crashes with no other possible cause that make a quarantine certain.

An engine may crash for another reason while such a request waits there, but hardly twice.
"""

TRIAL_SECONDS = 1.0
"""Time from the last crash to the first trial of a quarantine that is not certain, in seconds."""

CERTAIN_TRIAL_SECONDS = 30.0
"""The same time for a quarantine that is certain; it is doubled with each further crash."""

MAX_TRIED_CRASHES = 5
"""Crashes from which on a quarantine that is certain is not tried again.

One of them without another possible cause makes it certain then.
"""

TRIAL_TURN_SECONDS = 0.5
"""Time in which one VM may begin a trial, in seconds; an answer usually begins within it."""

RETENTION_SECONDS = 86_400.0
"""Time for which a crash is remembered, in seconds; a quarantine ends with its crashes."""

MAX_CRASHES = 1024
"""Maximum number of crashes that are remembered; those without a quarantine are dropped first."""

MAX_REPORTS_PER_CRASH = 32
"""Maximum number of requests that are remembered of one crash."""

MAX_SOUND_PARTS = 4096
"""Maximum number of parts whose last success is remembered."""

Parts = frozenset[str]


@dataclass(frozen=True)
class CrashReport:
    """Parts of a request at whose engine no answer had begun when the engine crashed."""

    engine: EngineStart
    parts: Parts


@dataclass(frozen=True)
class Clearance:
    """A part that did not cause the crash of an engine."""

    engine: EngineStart
    part: str


@dataclass(frozen=True)
class Quarantine:
    """Combination of parts that is not sent to engines, and the engines that crashed under it.

    ``is_certain`` is whether enough of the crashes have no other possible cause.
    """

    parts: Parts
    engines: frozenset[EngineStart]
    is_certain: bool


def find_quarantines(
    parts_by_crash: Mapping[EngineStart, Collection[Parts]],
) -> tuple[Quarantine, ...]:
    """Return what crashes have in common, the combination with the most crashes first.

    Failure pattern: one or more parts that crash engines, among sound requests that waited at the
    same engines. Parts all of whose crashes are explained by other ones are not blamed.

    Parameters
    ----------
    parts_by_crash
        For each crash, the parts of each request that had not begun to be answered there.

    Example
    -------
    >>> reports = {
    ...     EngineStart("dec-1", 1): [frozenset({"all", "bad"}), frozenset({"all", "good"})],
    ...     EngineStart("dec-2", 1): [frozenset({"all", "bad"}), frozenset({"all", "good"})],
    ...     EngineStart("dec-3", 1): [frozenset({"any", "bad"})],
    ... }
    >>> [sorted(each.parts) for each in find_quarantines(reports)]
    [['bad']]
    """
    unexplained = set(parts_by_crash)
    found = []
    while (suspect := _likeliest_part(parts_by_crash, unexplained)) is not None:
        containing = [
            parts for reports in parts_by_crash.values() for parts in reports if suspect in parts
        ]
        common = frozenset.intersection(*containing)
        crashes = frozenset(
            engine
            for engine, reports in parts_by_crash.items()
            if any(common <= parts for parts in reports)
        )
        conclusive = sum(_is_conclusive(parts_by_crash[each], common) for each in crashes)
        is_certain = conclusive >= MIN_CONCLUSIVE_CRASHES or (
            conclusive > 0 and len(crashes) >= MAX_TRIED_CRASHES
        )
        found.append(Quarantine(common, crashes, is_certain))
        unexplained -= crashes
    return tuple(found)


def _likeliest_part(
    parts_by_crash: Mapping[EngineStart, Collection[Parts]], unexplained: Collection[EngineStart]
) -> str | None:
    """Return the part with enough crashes that explains most of the unexplained ones, if any."""
    crashes_by_part: dict[str, list[EngineStart]] = {}
    for engine, reports in parts_by_crash.items():
        for parts in reports:
            for part in parts:
                crashes_by_part.setdefault(part, []).append(engine)

    def rank(part: str) -> tuple[int, int, int, str]:
        reported = crashes_by_part[part]
        crashes = set(reported)
        # Of parts with the same crashes, fewer requests have the more specific one.
        return len(crashes.intersection(unexplained)), len(crashes), -len(reported), part

    candidates = [
        part
        for part, reported in crashes_by_part.items()
        if len(set(reported)) >= MIN_CRASHES and not set(reported).isdisjoint(unexplained)
    ]
    return max(candidates, key=rank, default=None)


def _is_conclusive(reports: Collection[Parts], common: Parts) -> bool:
    """Return whether nothing but a combination can have caused a crash."""
    return all(parts == common for parts in reports)


class PromptQuarantine:
    """Crash reports and clearances that one VM knows, and the quarantines that follow from them.

    ``suspected_parts`` are the parts of requests that were at a crashed engine and that have not
    been cleared of it.

    Example
    -------
    >>> known = PromptQuarantine()
    >>> for number in range(3):
    ...     report = CrashReport(EngineStart(f"dec-{number}", 1), frozenset({"bad"}))
    ...     _ = known.add((report,), (), now=float(number))
    >>> known.quarantine_of(("all", "bad")).parts
    frozenset({'bad'})
    >>> known.quarantine_of(("all",)) is None
    True
    """

    def __init__(self) -> None:
        self.quarantines: tuple[Quarantine, ...] = ()
        self.suspected_parts: Parts = frozenset()
        self._reports_by_crash: dict[EngineStart, set[Parts]] = {}
        self._cleared_by_crash: dict[EngineStart, set[str]] = {}
        self._known_since_by_crash: dict[EngineStart, float] = {}
        self._succeeded_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._last_trial: tuple[Parts, float] | None = None

    @property
    def reports(self) -> tuple[CrashReport, ...]:
        """All reports that are known, as first reported."""
        return tuple(
            CrashReport(engine, parts)
            for engine, reports in self._reports_by_crash.items()
            for parts in reports
        )

    @property
    def clearances(self) -> tuple[Clearance, ...]:
        """All clearances that are known."""
        return tuple(
            Clearance(engine, part)
            for engine, parts in self._cleared_by_crash.items()
            for part in sorted(parts)
        )

    def add(
        self, reports: Iterable[CrashReport], clearances: Iterable[Clearance], now: float
    ) -> tuple[tuple[CrashReport, ...], tuple[Clearance, ...]]:
        """Add evidence; return what of it was new, and clearances by what succeeded here lately."""
        new_clearances = [each for each in clearances if self._add_clearance(each, now)]
        new_reports = [each for each in reports if each.parts and self._add_report(each, now)]
        for report in new_reports:
            for part in sorted(report.parts):
                clearance = Clearance(report.engine, part)
                if self._has_succeeded_lately(part, now) and self._add_clearance(clearance, now):
                    new_clearances.append(clearance)
        if new_reports or new_clearances:
            self._refresh()
        return tuple(new_reports), tuple(new_clearances)

    def record_success(self, parts: Iterable[str], now: float) -> tuple[Clearance, ...]:
        """Record that an engine began to answer a prompt; return the clearances that follow."""
        cleared = []
        for part in parts:
            self._succeeded_at_by_part[part] = now
            self._succeeded_at_by_part.move_to_end(part)
            if part not in self.suspected_parts:
                continue
            for engine, reports in self._reports_by_crash.items():
                clearance = Clearance(engine, part)
                if any(part in each for each in reports) and self._add_clearance(clearance, now):
                    cleared.append(clearance)
        while len(self._succeeded_at_by_part) > MAX_SOUND_PARTS:
            self._succeeded_at_by_part.popitem(last=False)
        if cleared:
            self._refresh()
        return tuple(cleared)

    def quarantine_of(self, parts: Collection[str]) -> Quarantine | None:
        """Return the quarantine that a request with these parts falls under, if there is one."""
        if not self.quarantines:
            return None
        own = frozenset(parts)
        return next((each for each in self.quarantines if each.parts <= own), None)

    def begin_trial(
        self, quarantine: Quarantine, parts: Collection[str], rank: int, vms: int, now: float
    ) -> bool:
        """Return whether this VM may send a request in spite of a quarantine, and record that.

        Failure pattern: sound requests have parts in common with several crashes by chance. As they
        are refused, only a trial can clear them. One VM at a time has a turn, and only requests
        without other suspected parts are tried, so that each trial decides.

        Parameters
        ----------
        quarantine
            The quarantine that the request falls under.
        parts
            All shared parts of the request.
        rank, vms
            Place of this VM in the order of all VMs, from 0, and their number.
        now
            Current time in seconds.
        """
        if quarantine.is_certain and len(quarantine.engines) >= MAX_TRIED_CRASHES:
            return False
        if self.suspected_parts.intersection(parts) - quarantine.parts:
            return False
        turn = (now - self._first_trial_at(quarantine)) // TRIAL_TURN_SECONDS
        tried = quarantine.parts, turn
        if turn < 0 or turn % vms != rank or tried == self._last_trial:
            return False
        self._last_trial = tried
        return True

    def retry_seconds(self, quarantine: Quarantine, now: float) -> float:
        """Return the seconds until a request under a quarantine may be sent at the earliest."""
        if quarantine.is_certain and len(quarantine.engines) >= MAX_TRIED_CRASHES:
            ends_at = self._last_crash_at(quarantine) + RETENTION_SECONDS
        else:
            ends_at = self._first_trial_at(quarantine)
        return max(ends_at - now, TRIAL_SECONDS)

    def _first_trial_at(self, quarantine: Quarantine) -> float:
        pause = TRIAL_SECONDS
        if quarantine.is_certain:
            pause = CERTAIN_TRIAL_SECONDS * 2 ** (len(quarantine.engines) - MIN_CRASHES)
        return self._last_crash_at(quarantine) + pause

    def _last_crash_at(self, quarantine: Quarantine) -> float:
        return max(self._known_since_by_crash[each] for each in quarantine.engines)

    def expire(self, now: float) -> None:
        """Drop crashes that are too old."""
        old = [
            engine
            for engine, since in self._known_since_by_crash.items()
            if now - since > RETENTION_SECONDS
        ]
        for engine in old:
            self._forget(engine)
        if old:
            self._refresh()

    def _has_succeeded_lately(self, part: str, now: float) -> bool:
        succeeded_at = self._succeeded_at_by_part.get(part)
        return succeeded_at is not None and now - succeeded_at <= RECENT_SUCCESS_SECONDS

    def _add_report(self, report: CrashReport, now: float) -> bool:
        known = self._reports_by_crash.setdefault(report.engine, set())
        if report.parts in known or len(known) >= MAX_REPORTS_PER_CRASH:
            return False
        known.add(report.parts)
        self._known_since_by_crash.setdefault(report.engine, now)
        return True

    def _add_clearance(self, clearance: Clearance, now: float) -> bool:
        known = self._cleared_by_crash.setdefault(clearance.engine, set())
        if clearance.part in known:
            return False
        known.add(clearance.part)
        self._known_since_by_crash.setdefault(clearance.engine, now)
        return True

    def _open(self, crash: EngineStart) -> list[Parts]:
        """Return the reports of a crash without the parts that were cleared of it."""
        cleared = self._cleared_by_crash.get(crash, set())
        left = (parts - cleared for parts in self._reports_by_crash.get(crash, ()))
        return [parts for parts in left if parts]

    def _refresh(self) -> None:
        self._limit_crashes()
        open_by_crash = {crash: self._open(crash) for crash in self._reports_by_crash}
        self.suspected_parts = frozenset(
            part for reports in open_by_crash.values() for parts in reports for part in parts
        )
        self.quarantines = find_quarantines(
            {crash: reports for crash, reports in open_by_crash.items() if reports}
        )

    def _limit_crashes(self) -> None:
        surplus = len(self._known_since_by_crash) - MAX_CRASHES
        if surplus <= 0:
            return
        supporting = {engine for each in self.quarantines for engine in each.engines}
        for engine in sorted(
            self._known_since_by_crash,
            key=lambda each: (each in supporting, self._known_since_by_crash[each]),
        )[:surplus]:
            self._forget(engine)

    def _forget(self, engine: EngineStart) -> None:
        for table in (self._known_since_by_crash, self._reports_by_crash, self._cleared_by_crash):
            table.pop(engine, None)
