"""What of the software versions and the origins of streams is kept in the store.

Failure pattern: all VMs end at once during a release, or just after the engines of one version have
left. Those that start know the engines that are listed now only, and callers take up streams of
both versions. What they need is in the store before it is needed: a version is recorded before new
streams begin at it, and the origins of streams follow while a service has several versions.

Load pattern: thousands of new streams a second, and a store that takes a few hundred writes a
second from all VMs together. One VM writes for all, a few batches a second, whatever their number.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from pimentoquay.policy.message_parts import iterate_parts

__all__ = ["OriginBatch", "OriginBatches", "RecordedVersions", "StoredOrigin"]

MAX_BATCH_BYTES = 128 * 1024
"""Maximum size of the streams of a batch, in bytes; the store takes records of 256 KiB.

At a batch in 0.15 s, it is enough for eight times as many streams as the size to design for has.
"""

VERSION_HEAD_BYTES = 24
"""Upper bound of what a version needs in a batch beside its texts and the keys, in bytes."""

ServiceVersion = tuple[str, str]
"""Service and software version."""


class RecordedVersions:
    """Versions of services that the store is known to hold.

    Example
    -------
    >>> recorded = RecordedVersions()
    >>> recorded.add([("llm", "v1")])
    [('llm', 'v1')]
    >>> recorded.may_begin("llm", "v2", {"v1", "v2"})
    False
    """

    def __init__(self) -> None:
        self._recorded: set[ServiceVersion] = set()
        self._removable: set[ServiceVersion] = set()

    def __contains__(self, version: ServiceVersion) -> bool:
        return version in self._recorded

    def add(self, versions: Iterable[ServiceVersion]) -> list[ServiceVersion]:
        """Record that the store holds versions; return those that were not known to be held."""
        new = [each for each in versions if each not in self._recorded]
        self._recorded.update(new)
        self._removable.difference_update(new)
        return new

    def expire(self, served: Collection[ServiceVersion]) -> None:
        """Count versions that no longer serve as ones that any VM may remove from the store."""
        expired = self._recorded.difference(served)
        self._removable |= expired
        self._recorded -= expired

    def remove(self, version: ServiceVersion) -> None:
        """Record that the store holds a version no more."""
        self._recorded.discard(version)
        self._removable.discard(version)

    def clear(self) -> None:
        """Record that the store may have lost everything."""
        self._recorded.clear()
        self._removable.clear()

    def missing(self, served: Iterable[ServiceVersion]) -> list[ServiceVersion]:
        """Return the versions that serve and are to be written."""
        return sorted(set(served) - self._recorded)

    def outdated(self, served: Collection[ServiceVersion]) -> list[ServiceVersion]:
        """Return the versions that no longer serve and are to be removed."""
        return sorted((self._recorded | self._removable).difference(served))

    def may_begin(self, service: str, version: str, usable: Collection[str]) -> bool:
        """Return whether new streams may begin at a version.

        They may at any as long as none of those that can be used is recorded, for example before
        the first write.

        Parameters
        ----------
        service, version
            The version.
        usable
            Versions of the engines of the service that take work.
        """
        if (service, version) in self._recorded:
            return True
        return not any((service, each) in self._recorded for each in usable)


@dataclass(frozen=True)
class StoredOrigin:
    """Key of a stream and the version that began it; ``at`` is when it was learned."""

    service: str
    software: str
    key: bytes
    at: float


@dataclass(frozen=True)
class OriginBatch:
    """Streams to be written together, under one of a fixed number of slots.

    ``is_full`` is whether more streams wait than one record can hold.
    """

    slot: int
    origins: tuple[StoredOrigin, ...]
    is_full: bool = False


class OriginBatches:
    """Streams that one VM has learned of and that may not be in the store yet.

    All VMs keep what they have learned lately, so that another one can go on writing when the
    writer ends. Slots are used in turn, so that the store holds a bounded number of records.

    Example
    -------
    >>> batches = OriginBatches(keep_seconds=5.0)
    >>> batches.add(StoredOrigin("llm", "v1", b"12345678", at=0.0))
    >>> batch = batches.next_batch(slots=10)
    >>> batch.slot, len(batch.origins)
    (0, 1)
    >>> batches.confirm(batch)
    >>> batches.next_batch(slots=10) is None
    True
    """

    def __init__(self, keep_seconds: float) -> None:
        self._keep_seconds = keep_seconds
        self._pending: deque[StoredOrigin] = deque()
        self._next_slot = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, origin: StoredOrigin) -> None:
        """Add a stream that has begun."""
        self._pending.append(origin)

    def next_batch(self, slots: int) -> OriginBatch | None:
        """Return the first streams that are not written yet, or ``None`` if there are none."""
        versions: set[ServiceVersion] = set()

        def size_of(origin: StoredOrigin) -> int:
            version = origin.service, origin.software
            if version in versions:
                return len(origin.key)
            versions.add(version)
            return (
                len(origin.key) + sum(len(each.encode()) for each in version) + VERSION_HEAD_BYTES
            )

        first = next(iterate_parts(self._pending, size_of, MAX_BATCH_BYTES), None)
        if first is None:
            return None
        return OriginBatch(self._next_slot % slots, first, len(first) < len(self._pending))

    def confirm(self, batch: OriginBatch) -> None:
        """Record that a batch has been written."""
        # Some of them may have expired while they were written.
        written = set(batch.origins)
        while self._pending and self._pending[0] in written:
            self._pending.popleft()
        self._next_slot = batch.slot + 1

    def expire(self, now: float) -> None:
        """Drop what another VM has had time to write."""
        while self._pending and now - self._pending[0].at > self._keep_seconds:
            self._pending.popleft()
