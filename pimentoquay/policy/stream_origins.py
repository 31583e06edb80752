"""Software versions at which streams began, and which versions served lately.

Failure pattern: engines of several software versions serve side by side, and a stream breaks, or
its VM ends. Its caller takes it up at any VM, and it may go on only at the version that began it.
While one version serves, no stream has to be remembered elsewhere: all began there. A version may
appear or end at any time, so what served within the longest life of a stream counts.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = [
    "MAX_ORIGINS",
    "ServiceVersions",
    "StreamOrigin",
    "StreamOrigins",
    "stream_key",
]

KEY_BYTES = 8
"""Length of the key of a stream, in bytes."""

MAX_ORIGINS = 65_536
"""Maximum number of streams whose origin is remembered; the oldest are dropped first."""


def stream_key(request_id: str) -> bytes:
    """Return the key of the stream whose first event a request brought.

    Example
    -------
    >>> len(stream_key("9c41d07be2a35f68"))
    8
    """
    return hashlib.blake2b(request_id.encode(), digest_size=KEY_BYTES).digest()


@dataclass(frozen=True)
class StreamOrigin:
    """Service and software version at which a stream began; ``at`` is when it was last heard of."""

    service: str
    software: str
    at: float


class StreamOrigins:
    """Origins of streams that one VM knows.

    Example
    -------
    >>> origins = StreamOrigins()
    >>> origins.learn("llm", "v1", [b"12345678"], now=0.0)
    [b'12345678']
    >>> origins.software_of("llm", b"12345678")
    'v1'
    """

    def __init__(self) -> None:
        self._origin_by_key: OrderedDict[bytes, StreamOrigin] = OrderedDict()
        self._begun_at_by_version: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._origin_by_key)

    def learn(self, service: str, software: str, keys: Iterable[bytes], now: float) -> list[bytes]:
        """Record streams that began at a version; return the keys that were not known."""
        new = []
        for key in keys:
            if key not in self._origin_by_key:
                new.append(key)
            self._origin_by_key[key] = StreamOrigin(service, software, now)
            self._origin_by_key.move_to_end(key)
            self._begun_at_by_version[service, software] = now
        while len(self._origin_by_key) > MAX_ORIGINS:
            self._origin_by_key.popitem(last=False)
        return new

    def software_of(self, service: str, key: bytes) -> str | None:
        """Return the version at which a stream began, or ``None`` if it is not known."""
        origin = self._origin_by_key.get(key)
        return origin.software if origin is not None and origin.service == service else None

    def begun(self, service: str, since: float) -> set[str]:
        """Return the versions of a service of which any stream was heard of from a time on."""
        return {
            software
            for (each, software), at in self._begun_at_by_version.items()
            if each == service and at >= since
        }

    def expire(self, before: float) -> None:
        """Drop streams that were last heard of before a time."""
        for version, at in tuple(self._begun_at_by_version.items()):
            if at < before:
                del self._begun_at_by_version[version]
        while self._origin_by_key:
            key, origin = next(iter(self._origin_by_key.items()))
            if origin.at >= before:
                return
            del self._origin_by_key[key]

    def keys_by_version(self) -> dict[tuple[str, str], list[bytes]]:
        """Return the keys of all streams by service and version."""
        found: dict[tuple[str, str], list[bytes]] = {}
        for key, origin in self._origin_by_key.items():
            found.setdefault((origin.service, origin.software), []).append(key)
        return found


@dataclass
class ServiceVersions:
    """Software versions of the engines of one service, as one VM has seen them listed.

    ``listed_at_by_version`` holds when each version was listed last.
    """

    listed_at_by_version: dict[str, float] = field(default_factory=dict)
    _listed: frozenset[str] = frozenset()

    def observe(self, listed: Iterable[str], now: float) -> None:
        """Record the versions that are listed now; those listed until now were, until now."""
        before, self._listed = self._listed, frozenset(listed)
        for version in before | self._listed:
            self.listed_at_by_version[version] = now

    def learn(self, version: str, listed_at: float) -> None:
        """Record when another VM has last seen a version listed."""
        known = self.listed_at_by_version.get(version, listed_at)
        self.listed_at_by_version[version] = max(known, listed_at)

    def served_since(self, since: float) -> set[str]:
        """Return the versions that have been listed at any time from ``since`` on."""
        return {version for version, at in self.listed_at_by_version.items() if at >= since}

    def expire(self, before: float) -> None:
        """Drop versions that were last listed before a time."""
        for version, at in tuple(self.listed_at_by_version.items()):
            if at < before:
                del self.listed_at_by_version[version]
