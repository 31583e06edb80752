"""Which version untold streams have: the only one at which any had begun when a second is listed.

Failure pattern: all VMs end just before or just after engines of a second version are listed. As
long as a service has one version, where its streams began is not stored, and the VMs that start
list two, as do the others if one ends. No stream begins at the second one before it is recorded, so
until then all streams that nobody has told of are of the first. It is recorded once the others have
been stored, and, after VMs have ended, once callers have had time to come back.

Load pattern: sound days with one version, on which the statement that it is the only one is written
once.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from pimentoquay.policy.stored_origins import RecordedVersions, ServiceVersion

__all__ = ["DueVersion", "OnlyVersions", "StoredVersion"]

SETTLE_SECONDS = 0.2
"""Time in which all VMs tell the streams that they have begun, once a second version is listed."""

RETURN_SECONDS = 5.0
"""Time in which callers take up their streams after all VMs have ended and are back."""

PEER_RETURN_SECONDS = 2.0
"""Time in which callers take up the streams of one VM that has ended at the others."""

MIN_SHARE = 0.25
"""Share of the reached engines below which those of the only version can't take all new streams."""


@dataclass(frozen=True)
class StoredVersion:
    """Version that the store holds.

    ``only_in_era`` is the era of the store in which it was stated that no other version served, or
    0 if it was not. A store that was restored since may have lost a later version.
    """

    service: str
    software: str
    only_in_era: int = 0


@dataclass(frozen=True)
class DueVersion:
    """Version that is to be written, and whether as the only one of its service."""

    service: str
    software: str
    is_only: bool


class OnlyVersions:
    """Versions which the store states to be the only ones of their services.

    Example
    -------
    >>> only, recorded = OnlyVersions(), RecordedVersions()
    >>> only.learn([StoredVersion("llm", "v1", only_in_era=1)], era=1, now=0.0)
    >>> only.possible_origins("llm", {"v1", "v2"}, recorded, ())
    {'v1'}
    >>> recorded.add([("llm", "v2")])
    [('llm', 'v2')]
    >>> sorted(only.possible_origins("llm", {"v1", "v2"}, recorded, ()))
    ['v1', 'v2']
    """

    def __init__(self) -> None:
        self._only_by_service: dict[str, str] = {}
        self._missing_since: dict[ServiceVersion, float] = {}
        self._return_until: float | None = None

    def learn(self, stored: Iterable[StoredVersion], era: int, now: float) -> None:
        """Learn what the store holds in an era; the first time, earlier VMs may have ended."""
        only = {each.service: each.software for each in stored if each.only_in_era == era}
        self._only_by_service.update(only)
        if self._return_until is None:
            self._return_until = now + RETURN_SECONDS if only else now

    def confirm(self, version: DueVersion) -> None:
        """Record that a version has been written."""
        if version.is_only:
            self._only_by_service[version.service] = version.software

    def clear(self) -> None:
        """Record that the store may have lost everything."""
        self._only_by_service.clear()

    def possible_origins(
        self,
        service: str,
        served: Collection[str],
        recorded: RecordedVersions,
        begun: Collection[str],
    ) -> set[str]:
        """Return the versions at which a stream may have begun that nobody has told of.

        Parameters
        ----------
        service, served
            The service, and its versions that served within the longest life of a stream.
        recorded
            Versions that the store holds.
        begun
            Versions at which any stream is known to have begun.
        """
        if (only := self._only_by_service.get(service)) not in served:
            return set(served)
        return {
            each for each in served if each == only or each in begun or (service, each) in recorded
        }

    def due(
        self,
        served: Collection[ServiceVersion],
        recorded: RecordedVersions,
        share_of: Callable[[str, str], float],
        lost_peer_at: float,
        now: float,
    ) -> list[DueVersion]:
        """Return the versions that are to be written now.

        Parameters
        ----------
        served, recorded
            Versions that served within the longest life of a stream, and those in the store.
        share_of
            Returns the share that take streams of a version, of the engines of a service that are
            reached.
        lost_peer_at
            When the last peer was lost that has not come back.
        now
            Current time in seconds.
        """
        missing = recorded.missing(served)
        self._missing_since = {each: self._missing_since.get(each, now) for each in missing}
        count_by_service: dict[str, int] = {}
        for service, _ in served:
            count_by_service[service] = count_by_service.get(service, 0) + 1
        found = []
        for service, software in sorted(served):
            is_only = count_by_service[service] == 1
            if is_only and self._only_by_service.get(service) != software:
                found.append(DueVersion(service, software, True))
            elif (service, software) in self._missing_since and not self._is_held(
                (service, software), share_of, lost_peer_at, now
            ):
                found.append(DueVersion(service, software, is_only))
        return found

    def _is_held(
        self,
        version: ServiceVersion,
        share_of: Callable[[str, str], float],
        lost_peer_at: float,
        now: float,
    ) -> bool:
        """Return whether untold streams of another version may come that would be refused."""
        only = self._only_by_service.get(version[0])
        if only in (None, version[1]) or share_of(version[0], only) < MIN_SHARE:
            return False
        since = self._missing_since[version]
        # One that is lost later has told most of its streams, and delays the version no longer.
        peer_until = min(lost_peer_at, since) + PEER_RETURN_SECONDS
        return now < max(since + SETTLE_SECONDS, self._return_until or since, peer_until)
