"""Refusal of requests that crash engines, and the exchange of evidence of them.

A crash is an engine that lost the connection of a request before the end of its answer, and that
refuses new connections, from here and from a peer. What is known is sent to all gateways. The
quarantines are also kept in the store, for gateways that are cut off from their peers, and for all
of them after a restart.
"""

import hashlib
import json
from collections import deque
from collections.abc import Callable, Iterable, Set
from typing import Any

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.notices import NoticeHandler
from pimentoquay.http1 import ServerState
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.input_checks import refuse
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import ClearedFeature, CrashedRequest, CrashEvidence, TrialBegun
from pimentoquay.platform.fields import DecodeError, checked, parse_json, required
from pimentoquay.platform.store import KeyedRecord
from pimentoquay.policy.crash_evidence import (
    Clearance,
    CrashReport,
    Quarantine,
    begun_feature,
    request_feature,
)
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.request_quarantine import RequestQuarantine

__all__ = ["RequestGuard"]

STORED_CRASHES = 8
"""Maximum number of crashes in a stored quarantine; a few are enough for it to be adopted."""

MAX_DIGESTED_BYTES = 64 * 1024
"""Size of a body in bytes up to which an answered request is remembered as sound.

A longer one is recognized only once it is suspected.
"""

MAX_TRIAL_REQUESTS = 16
"""Maximum number of requests that are remembered as sent in spite of a quarantine."""


class RequestGuard:
    """Refuses requests that have crashed engines, because of their prompt or as a whole.

    ``reported_crashes`` counts the crashes that this gateway has seen, ``trials`` the requests that
    it has sent in spite of a quarantine, ``refused`` those that it has refused because of one.

    Parameters
    ----------
    now
        Returns the monotonic time in seconds.
    turn_order
        Returns the place of this VM in the order of all VMs, from 0, and their number.
    publish
        Sends evidence and the beginning of trials to all peers.
    """

    def __init__(
        self,
        now: Callable[[], float],
        turn_order: Callable[[], tuple[int, int]],
        publish: Callable[[CrashEvidence | TrialBegun], None],
    ) -> None:
        self._now = now
        self._turn_order = turn_order
        self._publish = publish
        self._known = RequestQuarantine()
        self._trial_requests: deque[str] = deque(maxlen=MAX_TRIAL_REQUESTS)
        self._stored_keys: set[str] = set()
        self.reported_crashes = 0
        self.trials = 0
        self.refused = 0
        self.handler = NoticeHandler(self._apply, self._snapshot)
        self.trial_handler = NoticeHandler(self._apply_trial, lambda: None)

    @property
    def quarantines(self) -> tuple[Quarantine, ...]:
        """Combinations of features that are in quarantine."""
        return self._known.quarantines

    @property
    def suspected_features(self) -> Set[str]:
        """Features that may have caused a crash, including those in quarantine."""
        return self._known.suspected_features

    def check(self, job: Job) -> None:
        """Raise ``RefusedError`` if a request may not be sent to engines."""
        quarantine = self.quarantine_of(job)
        if quarantine is None or self._begin_trial(job, quarantine):
            return
        self.refused += 1
        seconds = self._known.retry_seconds(quarantine, self._now())
        if quarantine.request is not None:
            code, what = ResultCode.REQUEST_QUARANTINED, quarantine.request
        else:
            code, what = ResultCode.PROMPT_QUARANTINED, _text(quarantine)
        detail = f"{what} crashed {len(quarantine.engines)} engines"
        raise RefusedError(code, detail, seconds)

    def quarantine_of(self, job: Job) -> Quarantine | None:
        """Return the quarantine because of which a request may not be sent, if there is one.

        A request to which an answer has begun has none of the parts that crash engines, but it may
        crash them later in its answer.
        """
        if not self._known.quarantines or job.caller.id in self._trial_requests:
            return None
        found = self._known.quarantine_of(_features(job))
        has_begun = job.reply.started or job.caller.last_event is not None
        return None if found is not None and found.request is None and has_begun else found

    def _begin_trial(self, job: Job, quarantine: Quarantine) -> bool:
        rank, vms = self._turn_order()
        if not self._known.begin_trial(quarantine, _features(job), rank, vms, self._now()):
            return False
        if quarantine.request is not None:
            self._publish(TrialBegun(quarantine.request))
        self._trial_requests.append(job.caller.id)
        self.trials += 1
        logger.bind(request=job.caller.id, parts=_text(quarantine)).info(
            "request tried in spite of a quarantine"
        )
        return True

    async def handle_lost_run(
        self, job: Job, link: EngineLink, has_begun: bool = False
    ) -> ServerState:
        """Learn from a request that lost its connection; return what the engine showed then.

        Parameters
        ----------
        job
            The request.
        link
            The engine.
        has_begun
            Whether a part of the answer had come.
        """
        state = await link.check()
        if state is ServerState.REFUSING:
            start = self._known.start_of_crash(link.entry.start, self._now())
            features = _parts(job) | {request_feature(job.digest)}
            if has_begun:
                features = frozenset((begun_feature(job.digest),))
            if job.caller.id in self._trial_requests:
                self._trial_requests.remove(job.caller.id)
            self.reported_crashes += 1
            logger.bind(
                request=job.caller.id,
                engine=start.id,
                restarts=start.restarts,
                parts=",".join(sorted(features)),
            ).warning("engine crashed under a request")
            self._add((CrashReport(start, features),), ())
        return state

    def record_begun(self, job: Job) -> None:
        """Record that an engine began to answer a prompt."""
        if parts := _parts(job):
            self._record_success(parts)

    def record_answered(self, job: Job) -> None:
        """Record that an engine answered a request to the end."""
        if self._known.suspected_features or len(job.request.body) <= MAX_DIGESTED_BYTES:
            self._record_success((request_feature(job.digest), begun_feature(job.digest)))

    def _record_success(self, features: Iterable[str]) -> None:
        before = self._known.quarantines
        cleared = self._known.record_success(features, self._now())
        if cleared:
            self._publish(_message((), cleared))
            self._log_changes(before)

    def expire(self) -> None:
        """Drop evidence that is too old."""
        before = self._known.quarantines
        self._known.expire(self._now())
        self._log_changes(before)

    def apply_records(self, records: Iterable[KeyedRecord], is_snapshot: bool) -> None:
        """Apply records of quarantines that gateways have stored."""
        if is_snapshot:
            self._stored_keys.clear()
        reports: list[CrashReport] = []
        for record in records:
            self._stored_keys.discard(record.key)
            if record.value is not None:
                self._stored_keys.add(record.key)
                reports += _parse_record(record)
        self._add(reports, ())

    def pending_records(self) -> tuple[tuple[str, bytes], ...]:
        """Return keys and values of records that are to be written to the store.

        Only certain quarantines are kept there: a record does not hold what else was suspected.
        """
        by_key = {_record_key(each.features): each for each in self._known.quarantines}
        missing = [
            (key, _record_value(each))
            for key, each in by_key.items()
            if each.is_certain and key not in self._stored_keys
        ]
        return (*missing, *((key, b"") for key in self._stored_keys - by_key.keys()))

    def _add(self, reports: Iterable[CrashReport], clearances: Iterable[Clearance]) -> None:
        """Add evidence, and send the peers what is new."""
        new = self._learn(reports, clearances)
        if new is not None:
            self._publish(new)

    def _learn(
        self, reports: Iterable[CrashReport], clearances: Iterable[Clearance]
    ) -> CrashEvidence | None:
        """Add evidence; return a message with what is new."""
        before = self._known.quarantines
        new_reports, new_clearances = self._known.add(reports, clearances, self._now())
        self._log_changes(before)
        return _message(new_reports, new_clearances) if new_reports or new_clearances else None

    def _apply_trial(self, message: TrialBegun) -> TrialBegun | None:
        return message if self._known.record_trial(message.request, self._now()) else None

    def _apply(self, message: CrashEvidence) -> CrashEvidence | None:
        reports = [
            CrashReport(_start_of(each), frozenset(each.features)) for each in message.crashed
        ]
        clearances = [Clearance(_start_of(each), each.feature) for each in message.cleared]
        new = self._learn(reports, clearances)
        if new is not None and set(new.cleared) - set(message.cleared):
            # What was cleared here is not known to the source.
            self._publish(CrashEvidence((), new.cleared))
        return new

    def _snapshot(self) -> CrashEvidence | None:
        reports, clearances = self._known.reports, self._known.clearances
        return _message(reports, clearances) if reports or clearances else None

    def _log_changes(self, before: tuple[Quarantine, ...]) -> None:
        old, new = (
            {each.features for each in known} for known in (before, self._known.quarantines)
        )
        for each in self._known.quarantines:
            if each.features not in old:
                logger.bind(
                    parts=_text(each),
                    engines=",".join(sorted(engine.id for engine in each.engines)),
                    certain=each.is_certain,
                ).warning("requests quarantined")
        for features in old - new:
            logger.bind(parts=",".join(sorted(features))).warning(
                "requests released from quarantine"
            )


def _parts(job: Job) -> frozenset[str]:
    return frozenset(job.caller.model.shared_parts) if job.caller.model else frozenset()


def _features(job: Job) -> frozenset[str]:
    """Return the parts of a request's prompt and the digests of the whole request."""
    return _parts(job) | {request_feature(job.digest), begun_feature(job.digest)}


def _start_of(item: CrashedRequest | ClearedFeature) -> EngineStart:
    return EngineStart(item.engine, item.incarnation, item.restarts)


def _text(quarantine: Quarantine) -> str:
    return ",".join(sorted(quarantine.features))


def _message(reports: Iterable[CrashReport], clearances: Iterable[Clearance]) -> CrashEvidence:
    return CrashEvidence(
        tuple(
            CrashedRequest(
                each.engine.id,
                each.engine.incarnation,
                tuple(sorted(each.features)),
                each.engine.restarts,
            )
            for each in reports
        ),
        tuple(
            ClearedFeature(
                each.engine.id, each.engine.incarnation, each.feature, each.engine.restarts
            )
            for each in clearances
        ),
    )


def _record_key(features: frozenset[str]) -> str:
    return hashlib.blake2b(",".join(sorted(features)).encode(), digest_size=16).hexdigest()


def _record_value(quarantine: Quarantine) -> bytes:
    engines = sorted((each.id, each.incarnation, each.restarts) for each in quarantine.engines)
    item = {"parts": sorted(quarantine.features), "engines": engines[:STORED_CRASHES]}
    return json.dumps(item).encode()


def _parse_record(record: KeyedRecord) -> list[CrashReport]:
    """Return the crashes of a stored quarantine, or none if the record is invalid."""
    try:
        item = parse_json(record.value or b"", "quarantine")
        parts = required(item, "parts", list)
        features = frozenset(checked(each, "part", str) for each in parts)
        starts = [_parse_start(row) for row in required(item, "engines", list)]
    except DecodeError as error:
        refuse("quarantine", record.key, error)
        return []
    return [CrashReport(start, features) for start in starts]


def _parse_start(row: Any) -> EngineStart:
    engine, *numbers = checked(row, "engine", list) or [None]
    if not 1 <= len(numbers) <= 2:
        raise DecodeError(f"{len(numbers)} numbers of an engine's start")
    return EngineStart(
        checked(engine, "engine", str), *(checked(each, "start", int) for each in numbers)
    )
