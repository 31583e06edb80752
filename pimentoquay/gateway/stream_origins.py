"""Where streams began: what this gateway knows, tells all others, and answers about it.

While the engines of a service have one software version, nothing is told. As soon as a second one
is listed, each gateway tells all others which streams began at which version through it, and goes
on to do so for as long as a stream of another version may come back.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Container, Iterable, Mapping
from typing import Any, NoReturn

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.notices import NoticeHandler
from pimentoquay.gateway.stream_keys import batch_message, key_of, keys_by_version, streams_message
from pimentoquay.kernel import RefusedError, ResultCode, TimerService
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.streams import ListedVersion, StreamsBegun, VersionsListed
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.only_versions import DueVersion, OnlyVersions, StoredVersion
from pimentoquay.policy.stored_origins import (
    OriginBatches,
    RecordedVersions,
    StoredOrigin,
)
from pimentoquay.policy.stream_origins import ServiceVersions, StreamOrigins, stream_key
from pimentoquay.policy.unlisted_starts import UnlistedStarts
from pimentoquay.policy.version_choice import reached_share
from pimentoquay.policy.version_doubt import Doubt, Verdict, judge

__all__ = ["OriginExchange"]

TELL_SECONDS = 0.02
"""Time for which streams are collected before they are told to all gateways."""

EXPIRY_SECONDS = 10.0
"""Interval at which streams and versions are dropped that are older than any stream can be."""

LOAD_SECONDS = 0.5
"""Time after which a caller is told to come back to a gateway that may have missed something."""

OBSERVE_SECONDS = 1.0
"""Age of what is known of the listed versions above which they are looked at again."""

HANDOVER_SECONDS = 5.0
"""Time within which another gateway writes in place of one that has ended."""

LIFE_MARGIN_SECONDS = 2.0
"""Time by which the lists of two gateways may differ, and by which a request may be late."""

DEFAULT_LIFE_SECONDS = 60.0
"""Longest life of a stream while no route is known, in seconds."""


class OriginExchange:
    """Knows at which software version the streams of all gateways began.

    ``recorded`` holds the versions that the store holds, ``batches`` the streams that it may not
    hold yet. ``refused`` counts the resumptions that were refused as nobody knows where their
    stream began, ``resumed_by_origin`` all by how that was known. ``find_doubt`` returns why this
    gateway may be out of step, given whether it has loaded, ``lost_peer_at`` when the last peer was
    lost that is still missing, and ``read_store`` reads what this gateway may have missed and
    returns whether that succeeded. ``unreachable`` holds the ids of engines that are out of reach.

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
        self._known = StreamOrigins()
        self._own = StreamOrigins()
        self._unlisted = UnlistedStarts()
        self._untold: dict[tuple[str, str], list[bytes]] = {}
        self._versions_by_service: dict[str, ServiceVersions] = {}
        self._mixed: frozenset[str] = frozenset()
        self._is_loaded = False
        self._observed_at = float("-inf")
        self._only = OnlyVersions()
        self.recorded = RecordedVersions()
        self.batches = OriginBatches(HANDOVER_SECONDS)
        self.refused = 0
        self.resumed_by_origin: Counter[str] = Counter()
        self.find_doubt: Callable[[bool], Doubt | None] = lambda is_loaded: None
        self.lost_peer_at: Callable[[], float] = lambda: float("-inf")
        self.unreachable: Container[str] = ()
        self.read_store: Callable[[], Awaitable[bool]]
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

    async def software_of(self, job: Job) -> str:
        """Return the version at which the stream began that a caller takes up.

        While this gateway may be out of step with the others, the store is read first.

        Raises
        ------
        RefusedError
            If it is not known and more than one version may have begun it.
        """
        arrived_at, list_age = self._timers.now(), self._fleet.list_age
        doubt: Doubt | None = None
        has_read: bool | None = None
        if (found := self._told_origin(job)) is None:
            self.observe()
            doubt = self.find_doubt(self._is_loaded)
            if judge(self._possible(job), doubt, has_read) is Verdict.READ:
                has_read = await self.read_store()
                found = self._told_origin(job)
        verdict, how = judge(self._possible(job), doubt, has_read), "unknown"
        if found is not None and self._unlisted.is_awaited(found[0]):
            found, how, verdict = None, "awaited", Verdict.COME_BACK
        elif found is None and verdict is Verdict.ONLY_VERSION:
            found = next(iter(self._possible(job)), ""), "only version"
        software, how = found or ("", how)
        origin = how if doubt is None else f"{how}, {doubt.value}"
        self.resumed_by_origin[origin] += 1
        logger.bind(
            request=job.caller.id,
            resumes=job.caller.resumes,
            software=software,
            origin=origin,
            list_age=f"{list_age:.3f}",
            store_read="" if has_read is None else "read" if has_read else "failed",
            waited=f"{self._timers.now() - arrived_at:.3f}",
        ).info("stream taken up" if found else "stream not taken up")
        if found is None:
            self._refuse(job, verdict)
        return software

    def version_now(self, software: str) -> str:
        """Return the version at which a stream goes on that began at a version."""
        return self._unlisted.version_of(software)

    def _told_origin(self, job: Job) -> tuple[str, str] | None:
        """Return the version at which a stream began, and how it is known, if it is."""
        key = stream_key(job.caller.resumes)
        for how, origins in (("own", self._own), ("told", self._known)):
            if job.caller.resumes and (found := origins.software_of(job.service, key)) is not None:
                return self._unlisted.version_of(found), how
        return None

    def _possible(self, job: Job) -> set[str]:
        """Return the versions at which a stream may have begun that nobody has told of."""
        since = self._timers.now() - self.life_seconds
        served = self._versions_of(job.service).served_since(since)
        names = self._own.begun(job.service, since) | self._known.begun(job.service, since)
        begun = {self._unlisted.version_of(each) for each in names}
        return self._only.possible_origins(job.service, served, self.recorded, begun)

    def _refuse(self, job: Job, verdict: Verdict) -> NoReturn:
        self.refused += 1
        detail = f"nobody knows where {job.caller.resumes or 'its stream'} began"
        # Others may know it, as this gateway will when it is in step again.
        seconds = LOAD_SECONDS if verdict is Verdict.COME_BACK else 0.0
        raise RefusedError(ResultCode.STREAM_ORIGIN_UNKNOWN, detail, seconds)

    def record_begun(self, job: Job, software: str) -> None:
        """Record that an engine of a software version has begun a stream, or has gone on with it.

        An engine whose entry is not read yet has the version that nobody states.
        """
        key = key_of(job)
        version = job.service, software
        self._learn_starts((software,))
        self._own.learn(*version, (key,), self._timers.now())
        if self._is_told(version):
            self._tell_soon(version, key)
            self._store_later({version: [key]})

    def load(
        self, versions: Collection[StoredVersion], batches: Iterable[StreamsBegun], era: int
    ) -> None:
        """Learn what earlier gateways have stored, as it was read in an era of the store.

        A version that the store holds counts as listed until now, since nothing tells when it was,
        unless this gateway knows it.
        """
        now = self._timers.now()
        for each in versions:
            known = self._versions_of(each.service)
            if each.software not in known.served_since(now - self.life_seconds):
                known.learn(each.software, now)
            self.recorded.add(((each.service, each.software),))
        self._only.learn(versions, era, now)
        for batch in batches:
            for version, keys in keys_by_version(batch).items():
                self._known.learn(*version, keys, now)
                self._unlisted.learn(version[1], now)
        self._is_loaded = True
        self.observe()
        logger.bind(versions=len(self.served_versions()), streams=len(self._known)).info(
            "versions and origins of streams loaded"
        )

    def served_versions(self) -> list[tuple[str, str]]:
        """Return the versions that have served within the longest life of a stream."""
        if self._timers.now() - self._observed_at >= OBSERVE_SECONDS:
            self.observe()
        since = self._timers.now() - self.life_seconds
        return [
            (service, software)
            for service, versions in self._versions_by_service.items()
            for software in versions.served_since(since)
        ]

    def store_again(self) -> None:
        """Store everything anew, as the store was restored from an older copy."""
        self.recorded.clear()
        self._only.clear()
        for origins in (self._own, self._known):
            found = origins.keys_by_version()
            self._store_later({each: keys for each, keys in found.items() if self._is_told(each)})

    def versions_due(self) -> list[DueVersion]:
        """Return the versions that are to be stored now."""
        served, now = self.served_versions(), self._timers.now()
        lost_peer_at = self.lost_peer_at()
        return self._only.due(served, self.recorded, self._decode_share, lost_peer_at, now)

    def _decode_share(self, service: str, software: str) -> float:
        return reached_share(self._fleet.accepting_engines(service), software, self.unreachable)

    def record_stored(self, due: DueVersion) -> None:
        """Record that the store holds a version; tell the peers unless it expired meanwhile."""
        version = due.service, due.software
        self.recorded.add((version,))
        self._only.confirm(due)
        if version in self.served_versions():
            self._publish(VersionsListed((self._listed(*version),)))

    def closed_versions(self, service: str, engines: Iterable[EngineEntry]) -> frozenset[str]:
        """Return the versions of engines at which no new stream may begin.

        One may once gateways that start would know of the version.
        """
        listed = {each.software_version for each in engines}
        return frozenset(
            each for each in listed if not self.recorded.may_begin(service, each, listed)
        )

    message_of = staticmethod(batch_message)

    def observe(self) -> None:
        """Record which versions are listed; tell the own streams of services that are mixed now."""
        now = self._observed_at = self._timers.now()
        # Another gateway may have removed those that are back only now.
        self.recorded.expire(
            {
                (service, software)
                for service, versions in self._versions_by_service.items()
                for software in versions.served_until_now(now - self.life_seconds)
            }
        )
        listed: dict[str, set[str]] = {}
        for engine in self._fleet.engines():
            listed.setdefault(engine.service, set()).add(engine.software_version)
        for service in listed.keys() | self._versions_by_service.keys():
            self._versions_of(service).observe(listed.get(service, set()), now)
        self._unlisted.observe(self._fleet.engines())
        self._update_mixed()

    def _learn_starts(self, versions: Iterable[str]) -> None:
        if any([self._unlisted.learn(each, self._timers.now()) for each in versions]):
            self._unlisted.observe(self._fleet.engines())

    def _versions_of(self, service: str) -> ServiceVersions:
        return self._versions_by_service.setdefault(service, ServiceVersions())

    @property
    def life_seconds(self) -> float:
        """Longest time for which a stream may be taken up after its beginning."""
        configuration = self._fleet.configuration
        routes = configuration.routes if configuration is not None else ()
        longest = max((each.timeout_seconds for each in routes), default=DEFAULT_LIFE_SECONDS)
        return longest + LIFE_MARGIN_SECONDS

    def _update_mixed(self) -> None:
        since = self._timers.now() - self.life_seconds
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
            self._publish(streams_message(own))
            self._store_later(own)

    def _is_told(self, version: tuple[str, str]) -> bool:
        return version[0] in self._mixed or self._unlisted.is_awaited(version[1])

    def _store_later(self, keys_of: Mapping[tuple[str, str], Iterable[bytes]]) -> None:
        now = self._timers.now()
        for (service, software), keys in keys_of.items():
            for key in keys:
                self.batches.add(StoredOrigin(service, software, key, now))

    def _tell_soon(self, version: tuple[str, str], key: bytes) -> None:
        if not self._untold:
            self._timers.after(TELL_SECONDS, self._tell)
        self._untold.setdefault(version, []).append(key)

    def _tell(self) -> None:
        untold, self._untold = self._untold, {}
        self._publish(streams_message(untold))

    def _expire(self) -> None:
        self.observe()
        self.batches.expire(self._timers.now())
        now, life = self._timers.now(), self.life_seconds
        self._unlisted.expire(now - life)
        for origins in (self._own, self._known):
            origins.expire(now - life)
        for versions in self._versions_by_service.values():
            versions.expire(now - life)

    def _apply(self, message: StreamsBegun) -> StreamsBegun | None:
        now = self._timers.now()
        new_by_version = {}
        for version, keys in keys_by_version(message).items():
            if new := self._known.learn(*version, keys, now):
                new_by_version[version] = new
        self._learn_starts(software for _, software in new_by_version)
        self._store_later(new_by_version)
        return streams_message(new_by_version) if new_by_version else None

    def _snapshot(self) -> StreamsBegun | None:
        found: dict[tuple[str, str], list[bytes]] = {}
        for origins in (self._own, self._known):
            for version, keys in origins.keys_by_version().items():
                if self._is_told(version):
                    found.setdefault(version, []).extend(keys)
        return streams_message(found) if found else None

    def _apply_versions(self, message: VersionsListed) -> VersionsListed | None:
        self._is_loaded = self._is_loaded or message.is_complete
        now = self._timers.now()
        for each in message.versions:
            self._versions_of(each.service).learn(each.software, now - each.age)
        recorded = {
            (each.service, each.software): each for each in message.versions if each.is_recorded
        }
        new = self.recorded.add(recorded)
        self._update_mixed()
        return VersionsListed(tuple(recorded[version] for version in new)) if new else None

    def _versions_snapshot(self) -> VersionsListed | None:
        self.observe()
        found = tuple(self._listed(*version) for version in self.served_versions())
        return VersionsListed(found, is_complete=self._is_loaded) if found else None

    def _listed(self, service: str, software: str) -> ListedVersion:
        at = self._versions_of(service).listed_at_by_version[software]
        is_recorded = (service, software) in self.recorded
        return ListedVersion(service, software, self._timers.now() - at, is_recorded)
