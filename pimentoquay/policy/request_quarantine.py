"""Quarantine of requests that crash the engines which run them.

Failure pattern: a part of prompts crashes every engine that begins to write an answer to it,
whatever else the request holds. Such requests arrive at all VMs, no two alike, mixed with sound
ones that have their other parts. Or one request crashes every engine that runs it and comes again,
at any VM. Each crash also breaks the other requests of the engine, and repeating a broken request
elsewhere crashes the next one.

Evidence is the crash of an engine together with the features of a request that was there: the parts
of its prompt, and its digest. All VMs exchange their evidence. What a number of crashes have in
common is quarantined: requests with all of these features are refused. A part to which an engine
begins to write an answer, or a request that an engine answers, cannot be the cause, which clears it
of the crashes so far. Evidence and clearances are only ever added, and a clearance outweighs the
evidence, so VMs that know the same of both decide alike, in whatever order they learned it.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import replace

from pimentoquay.policy.crash_evidence import (
    MAX_TRIED_CRASHES,
    MIN_CRASHES,
    MIN_REQUEST_CRASHES,
    Clearance,
    CrashReport,
    Features,
    Quarantine,
    find_quarantines,
    is_request,
)
from pimentoquay.policy.engine_notices import EngineStart

__all__ = ["RequestQuarantine"]

RECENT_SUCCESS_SECONDS = 10.0
"""Time for which a feature counts as sound after an engine has shown that it is.

A part that most requests have is in most crashes as well, and engines that have crashed begin no
answers for some seconds.
"""

TRIAL_SECONDS = 1.0
"""Time from the last crash to the first trial of a quarantine that is not certain, in seconds."""

CERTAIN_TRIAL_SECONDS = 30.0
"""The same time for a quarantine that is certain; it is doubled with each further crash."""

REQUEST_TRIAL_SECONDS = 30.0
"""The same time for a request that comes again; it is doubled with each further crash.

Crashed engines are usually back by then, so that a trial does not end the last one.
"""

TRIAL_TURN_SECONDS = 0.5
"""Time in which one VM may begin a trial, in seconds; an answer usually begins within it."""

TRIAL_PAUSE_SECONDS = 2.0
"""Time between two trials of a request that comes again, in seconds."""

RETENTION_SECONDS = 86_400.0
"""Time for which a crash is remembered, in seconds; a quarantine ends with its crashes."""

MAX_CRASHES = 256
"""Maximum number of crashes that are remembered; those without a quarantine are dropped first."""

SAME_CRASH_SECONDS = 0.5
"""Time within which the reports of one start of an engine are of the same crash, in seconds.

VMs notice a crash within milliseconds, and an engine needs longer to start again.
"""

MAX_REPORTS_PER_CRASH = 128
"""Maximum number of requests that are remembered of one crash."""

MAX_SOUND_FEATURES = 4096
"""Maximum number of features whose last success is remembered."""


class RequestQuarantine:
    """Crash reports and clearances that one VM knows, and the quarantines that follow from them.

    ``suspected_features`` are those of requests that were at a crashed engine and that have not
    been cleared of it.

    Example
    -------
    >>> known = RequestQuarantine()
    >>> for number in range(3):
    ...     report = CrashReport(EngineStart(f"dec-{number}", 1), frozenset({"bad"}))
    ...     _ = known.add((report,), (), now=float(number))
    >>> known.quarantine_of(("all", "bad")).features
    frozenset({'bad'})
    >>> known.quarantine_of(("all",)) is None
    True
    """

    def __init__(self) -> None:
        self.quarantines: tuple[Quarantine, ...] = ()
        self.suspected_features: set[str] = set()
        self._reports_by_crash: dict[EngineStart, set[Features]] = {}
        self._cleared_by_crash: dict[EngineStart, set[str]] = {}
        self._known_since_by_crash: dict[EngineStart, float] = {}
        self._succeeded_at_by_feature: OrderedDict[str, float] = OrderedDict()
        self._crashes_by_feature: dict[str, set[EngineStart]] = {}
        self._last_trial: tuple[Features, float] | None = None
        self._tried_at_by_request: dict[str, float] = {}

    @property
    def reports(self) -> tuple[CrashReport, ...]:
        """All reports that are known, as first reported."""
        return tuple(
            CrashReport(engine, features)
            for engine, reports in self._reports_by_crash.items()
            for features in reports
        )

    @property
    def clearances(self) -> tuple[Clearance, ...]:
        """All clearances that are known."""
        return tuple(
            Clearance(engine, feature)
            for engine, features in self._cleared_by_crash.items()
            for feature in sorted(features)
        )

    def start_of_crash(self, listed: EngineStart, now: float) -> EngineStart:
        """Return the start of an engine that has crashed now.

        An engine that crashes a second time under one entry has started again in between.
        """
        start = listed
        while now - self._known_since_by_crash.get(start, now) > SAME_CRASH_SECONDS:
            start = replace(start, restarts=start.restarts + 1)
        return start

    def add(
        self, reports: Iterable[CrashReport], clearances: Iterable[Clearance], now: float
    ) -> tuple[tuple[CrashReport, ...], tuple[Clearance, ...]]:
        """Add evidence; return what of it was new, and clearances by what succeeded here lately."""
        new_clearances = [each for each in clearances if self._add_clearance(each, now)]
        new_reports = [each for each in reports if each.features and self._add_report(each, now)]
        for report in new_reports:
            for feature in sorted(report.features):
                clearance = Clearance(report.engine, feature)
                if self._has_succeeded_lately(feature, now) and self._add_clearance(clearance, now):
                    new_clearances.append(clearance)
        if new_clearances or any(map(self._may_change_quarantines, new_reports)):
            self._refresh()
        else:
            for report in new_reports:
                cleared = self._cleared_by_crash.get(report.engine, set())
                self.suspected_features |= report.features - cleared
        return tuple(new_reports), tuple(new_clearances)

    def record_success(self, features: Iterable[str], now: float) -> tuple[Clearance, ...]:
        """Record that engines are sound under features; return the clearances that follow."""
        cleared = []
        for feature in features:
            self._succeeded_at_by_feature[feature] = now
            self._succeeded_at_by_feature.move_to_end(feature)
            if feature not in self.suspected_features:
                continue
            for engine in self._crashes_by_feature.get(feature, ()):
                clearance = Clearance(engine, feature)
                if self._add_clearance(clearance, now):
                    cleared.append(clearance)
        while len(self._succeeded_at_by_feature) > MAX_SOUND_FEATURES:
            self._succeeded_at_by_feature.popitem(last=False)
        if cleared:
            self._refresh()
        return tuple(cleared)

    def quarantine_of(self, features: Collection[str]) -> Quarantine | None:
        """Return the quarantine that a request with these features falls under, if there is one."""
        if not self.quarantines:
            return None
        own = frozenset(features)
        return next((each for each in self.quarantines if each.features <= own), None)

    def begin_trial(
        self, quarantine: Quarantine, features: Collection[str], rank: int, vms: int, now: float
    ) -> bool:
        """Return whether this VM may send a request in spite of a quarantine, and record that.

        Failure pattern: sound requests have features in common with several crashes by chance. As
        they are refused, only a trial can clear them. Only requests without other suspected
        parts are tried, so that each trial decides. Parts of prompts are tried by one VM at a
        time. A request that comes again reaches any VM, so the first one tries it and tells the
        others.

        Parameters
        ----------
        quarantine
            The quarantine that the request falls under.
        features
            All features of the request.
        rank, vms
            Place of this VM in the order of all VMs, from 0, and their number.
        now
            Current time in seconds.
        """
        if quarantine.is_certain and len(quarantine.engines) >= MAX_TRIED_CRASHES:
            return False
        others = self.suspected_features.intersection(features) - quarantine.features
        if not all(map(is_request, others)):
            return False
        since = now - self._first_trial_at(quarantine)
        if since < 0:
            return False
        if quarantine.request is not None:
            return self.record_trial(quarantine.request, now)
        turn = since // TRIAL_TURN_SECONDS
        tried = quarantine.features, turn
        if turn % vms != rank or tried == self._last_trial:
            return False
        self._last_trial = tried
        return True

    def record_trial(self, request: str, now: float) -> bool:
        """Record the trial of a request; return whether it was not tried lately."""
        tried_at = self._tried_at_by_request.get(request)
        if tried_at is not None and now - tried_at < TRIAL_PAUSE_SECONDS:
            return False
        self._tried_at_by_request = {
            each: at
            for each, at in self._tried_at_by_request.items()
            if now - at < TRIAL_PAUSE_SECONDS
        }
        self._tried_at_by_request[request] = now
        return True

    def retry_seconds(self, quarantine: Quarantine, now: float) -> float:
        """Return the seconds until a request under a quarantine may be sent at the earliest."""
        if quarantine.is_certain and len(quarantine.engines) >= MAX_TRIED_CRASHES:
            ends_at = self._last_crash_at(quarantine) + RETENTION_SECONDS
        else:
            ends_at = self._first_trial_at(quarantine)
        return max(ends_at - now, TRIAL_SECONDS)

    def _first_trial_at(self, quarantine: Quarantine) -> float:
        crashes = len(quarantine.engines)
        pause = TRIAL_SECONDS
        if quarantine.request is not None:
            pause = REQUEST_TRIAL_SECONDS * 2 ** (crashes - MIN_REQUEST_CRASHES)
        elif quarantine.is_certain:
            pause = CERTAIN_TRIAL_SECONDS * 2 ** (crashes - MIN_CRASHES)
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

    def _has_succeeded_lately(self, feature: str, now: float) -> bool:
        succeeded_at = self._succeeded_at_by_feature.get(feature)
        return succeeded_at is not None and now - succeeded_at <= RECENT_SUCCESS_SECONDS

    def _add_report(self, report: CrashReport, now: float) -> bool:
        known = self._reports_by_crash.setdefault(report.engine, set())
        if report.features in known or len(known) >= MAX_REPORTS_PER_CRASH:
            return False
        known.add(report.features)
        for feature in report.features:
            self._crashes_by_feature.setdefault(feature, set()).add(report.engine)
        self._known_since_by_crash.setdefault(report.engine, now)
        return True

    def _add_clearance(self, clearance: Clearance, now: float) -> bool:
        known = self._cleared_by_crash.setdefault(clearance.engine, set())
        if clearance.feature in known:
            return False
        known.add(clearance.feature)
        self._known_since_by_crash.setdefault(clearance.engine, now)
        return True

    def _may_change_quarantines(self, report: CrashReport) -> bool:
        """Return whether a new report may be one of several crashes with a feature in common."""
        if any(report.engine in each.engines for each in self.quarantines):
            return True
        is_repeated = any(len(self._crashes_by_feature[feature]) > 1 for feature in report.features)
        return is_repeated or len(self._known_since_by_crash) > MAX_CRASHES

    def _open(self, crash: EngineStart) -> list[Features]:
        """Return the reports of a crash without the features that were cleared of it."""
        cleared = self._cleared_by_crash.get(crash, set())
        left = (features - cleared for features in self._reports_by_crash.get(crash, ()))
        return [features for features in left if features]

    def _refresh(self) -> None:
        self._limit_crashes()
        open_by_crash = {crash: self._open(crash) for crash in self._reports_by_crash}
        self.suspected_features = set(
            feature
            for reports in open_by_crash.values()
            for features in reports
            for feature in features
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
        for feature in {
            feature for features in self._reports_by_crash.get(engine, ()) for feature in features
        }:
            crashes = self._crashes_by_feature[feature]
            crashes.discard(engine)
            if not crashes:
                del self._crashes_by_feature[feature]
        for table in (self._known_since_by_crash, self._reports_by_crash, self._cleared_by_crash):
            table.pop(engine, None)
