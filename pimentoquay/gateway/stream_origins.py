"""Where streams began: what this gateway knows, tells all others, and answers about it.

While the engines of a service have one software version, nothing is told. As soon as a second one
is listed, each gateway tells all others which streams began at which version through it, and goes
on to do so for as long as a stream of another version may come back.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.notices import NoticeHandler
from pimentoquay.kernel import RefusedError, ResultCode, TimerService
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.streams import (
    ListedVersion,
    StreamsBegun,
    VersionsListed,
    VersionStreams,
)
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.stream_origins import (
    KEY_BYTES,
    ServiceVersions,
    StreamOrigins,
    stream_key,
)

__all__ = ["OriginExchange"]

TELL_SECONDS = 0.02
"""Time for which streams are collected before they are told to all gateways."""

EXPIRY_SECONDS = 10.0
"""Interval at which streams and versions are dropped that are older than any stream can be."""

SETTLE_SECONDS = 1.5
"""Time after the start within which peers tell what they know, if there are any."""

LIFE_MARGIN_SECONDS = 2.0
"""Time by which the lists of two gateways may differ, and by which a request may be late."""

DEFAULT_LIFE_SECONDS = 60.0
"""Longest life of a stream while no route is known, in seconds."""


class OriginExchange:
    """Knows at which software version the streams of all gateways began.

    ``refused`` counts the resumptions that were refused as nobody knows where their stream began,
    ``resumed_by_origin`` the others by how that was known.

    Parameters
    ----------
    timers, fleet
        The timer service, and the list of engines.
    publish
        Sends a message to all peers.
    """

    def __init__(self, timers: TimerService, fleet: Fleet, publish: Callable[[Any], None]) -> None:
        self._timers = timers
        self._fleet = fleet
        self._publish = publish
        self._started_at = timers.now()
        self._known = StreamOrigins()
        self._own = StreamOrigins()
        self._untold: dict[tuple[str, str], list[bytes]] = {}
        self._versions_by_service: dict[str, ServiceVersions] = {}
        self._mixed: frozenset[str] = frozenset()
        self._is_told = False
        self.refused = 0
        self.resumed_by_origin: Counter[str] = Counter()
        self.handler = NoticeHandler(self._apply, self._snapshot)
        self.versions_handler = NoticeHandler(self._apply_versions, self._versions_snapshot)
        fleet.on_engines_changed.append(self.observe)

    def start(self) -> None:
        """Begin to drop old entries."""
        self._timers.every(EXPIRY_SECONDS, self._expire)

    @property
    def mixed_services(self) -> frozenset[str]:
        """Services of which several software versions have served lately."""
        return self._mixed

    @property
    def known_streams(self) -> int:
        """Number of streams of which the origin is known here."""
        return len(self._known) + len(self._own)

    def software_of(self, job: Job) -> str:
        """Return the version at which the stream began that a caller takes up.

        Raises
        ------
        RefusedError
            If it is not known and more than one version may have begun it.
        """
        software, how = self._find(job)
        self.resumed_by_origin[how] += 1
        logger.bind(
            request=job.caller.id,
            resumes=job.caller.resumes,
            software=software,
            origin=how,
            list_age=f"{self._fleet.list_age:.3f}",
        ).info("stream taken up")
        return software

    def _find(self, job: Job) -> tuple[str, str]:
        """Return the version at which a stream began, and how it is known."""
        key = stream_key(job.caller.resumes)
        for how, origins in (("own", self._own), ("told", self._known)):
            if job.caller.resumes and (found := origins.software_of(job.service, key)) is not None:
                return found, how
        self.observe()
        now = self._timers.now()
        has_settled = self._is_told or now - self._started_at >= SETTLE_SECONDS
        served = self._versions_of(job.service).served_since(now - self._life_seconds())
        if has_settled and len(served) <= 1:
            return next(iter(served), ""), "only version"
        self.refused += 1
        detail = f"nobody knows where {job.caller.resumes or 'its stream'} began"
        # A gateway that has just started is still told what the others know.
        raise RefusedError(
            ResultCode.STREAM_ORIGIN_UNKNOWN, detail, 0.0 if has_settled else SETTLE_SECONDS
        )

    def record_begun(self, job: Job, engine: EngineEntry) -> None:
        """Record that an engine has written the first event of a stream, or has gone on with it."""
        key = _key_of(job)
        version = job.service, engine.software_version
        self._own.learn(*version, (key,), self._timers.now())
        if job.service in self._mixed:
            self._tell_soon(version, key)

    def observe(self) -> None:
        """Record which versions are listed; tell the own streams of services that are mixed now."""
        now = self._timers.now()
        listed: dict[str, set[str]] = {}
        for engine in self._fleet.engines():
            listed.setdefault(engine.service, set()).add(engine.software_version)
        for service in listed.keys() | self._versions_by_service.keys():
            self._versions_of(service).observe(listed.get(service, set()), now)
        self._update_mixed()

    def _versions_of(self, service: str) -> ServiceVersions:
        return self._versions_by_service.setdefault(service, ServiceVersions())

    def _life_seconds(self) -> float:
        configuration = self._fleet.configuration
        routes = configuration.routes if configuration is not None else ()
        longest = max((each.timeout_seconds for each in routes), default=DEFAULT_LIFE_SECONDS)
        return longest + LIFE_MARGIN_SECONDS

    def _update_mixed(self) -> None:
        since = self._timers.now() - self._life_seconds()
        mixed = frozenset(
            service
            for service, versions in self._versions_by_service.items()
            if len(versions.served_since(since)) > 1
        )
        added, self._mixed = mixed - self._mixed, mixed
        if not added:
            return
        logger.bind(services=",".join(sorted(added))).info("several software versions serve")
        own = {
            version: keys
            for version, keys in self._own.keys_by_version().items()
            if version[0] in added
        }
        if own:
            self._publish(_message(own))

    def _tell_soon(self, version: tuple[str, str], key: bytes) -> None:
        if not self._untold:
            self._timers.after(TELL_SECONDS, self._tell)
        self._untold.setdefault(version, []).append(key)

    def _tell(self) -> None:
        untold, self._untold = self._untold, {}
        self._publish(_message(untold))

    def _expire(self) -> None:
        self.observe()
        now, life = self._timers.now(), self._life_seconds()
        for origins in (self._own, self._known):
            origins.expire(now - life)
        for versions in self._versions_by_service.values():
            versions.expire(now - life)

    def _apply(self, message: StreamsBegun) -> StreamsBegun | None:
        now = self._timers.now()
        new_by_version = {}
        for each in message.versions:
            starts = range(0, len(each.keys) - KEY_BYTES + 1, KEY_BYTES)
            keys = [each.keys[start : start + KEY_BYTES] for start in starts]
            if new := self._known.learn(each.service, each.software, keys, now):
                new_by_version[each.service, each.software] = new
        return _message(new_by_version) if new_by_version else None

    def _snapshot(self) -> StreamsBegun | None:
        found: dict[tuple[str, str], list[bytes]] = {}
        for origins in (self._own, self._known):
            for version, keys in origins.keys_by_version().items():
                if version[0] in self._mixed:
                    found.setdefault(version, []).extend(keys)
        return _message(found) if found else None

    def _apply_versions(self, message: VersionsListed) -> None:
        self._is_told = True
        now = self._timers.now()
        for each in message.versions:
            self._versions_of(each.service).learn(each.software, now - each.age)
        self._update_mixed()

    def _versions_snapshot(self) -> VersionsListed | None:
        self.observe()
        now = self._timers.now()
        found = tuple(
            ListedVersion(service, software, now - at)
            for service, versions in self._versions_by_service.items()
            for software, at in versions.listed_at_by_version.items()
        )
        return VersionsListed(found) if found else None


def _key_of(job: Job) -> bytes:
    """Return the key of the stream that a request begins or takes up."""
    is_resumed = job.caller.last_event is not None and job.caller.resumes
    return stream_key(job.caller.resumes if is_resumed else job.caller.id)


def _message(keys_by_version: Mapping[tuple[str, str], list[bytes]]) -> StreamsBegun:
    return StreamsBegun(
        tuple(
            VersionStreams(service, software, b"".join(keys))
            for (service, software), keys in keys_by_version.items()
        )
    )
