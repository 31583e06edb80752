"""Software versions of engines that took streams before their entry was read.

Failure pattern: an engine ends and is back under its id at another software version. It takes new
streams at once, and its entry is read a second later, or much later while the store is away. The
entry before it names the wrong version for these streams, and no other VM sees that.

Such a stream counts as one of a version that nobody states, which is named for that start of the
engine. Each VM that learns of the stream puts the name of the real version in its place when it
reads the entry of that start.
"""

from collections import OrderedDict
from collections.abc import Iterable

from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.fleet import EngineEntry, start_of_version

__all__ = ["UnlistedStarts"]

MAX_STARTS = 4096
"""Maximum number of starts that are remembered; the oldest are dropped first."""


class UnlistedStarts:
    """Starts of engines at which streams began, and whose version was not known then.

    Example
    -------
    >>> from pimentoquay.policy.fleet import unstated_version
    >>> starts, name = UnlistedStarts(), unstated_version(EngineStart("dec-1", 2000))
    >>> starts.learn(name, now=0.0)
    True
    >>> starts.version_of(name) == name, starts.is_awaited(name)
    (True, True)
    >>> entry = EngineEntry("dec-1", "llm", "", "", False, 1, incarnation=2000, software="v2")
    >>> starts.observe([entry])
    >>> starts.version_of(name), starts.is_awaited(name)
    ('v2', False)
    """

    def __init__(self) -> None:
        self._version_by_name: OrderedDict[str, str] = OrderedDict()
        self._awaited: OrderedDict[str, tuple[EngineStart, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._awaited)

    def learn(self, software: str, now: float) -> bool:
        """Record a version at which a stream began; return whether an entry has to tell it now."""
        if software in self._version_by_name or software in self._awaited:
            return False
        if (start := start_of_version(software)) is None:
            return False
        self._awaited[software] = start, now
        if len(self._awaited) > MAX_STARTS:
            self._awaited.popitem(last=False)
        return True

    def observe(self, entries: Iterable[EngineEntry]) -> None:
        """Learn the versions of starts from the entries, and which of them have ended."""
        if not self._awaited:
            return
        ids = {start.id for start, _ in self._awaited.values()}
        entry_by_id = {each.id: each for each in entries if each.id in ids}
        for name, (start, _) in tuple(self._awaited.items()):
            entry = entry_by_id.get(start.id)
            if entry is None or entry.incarnation < start.incarnation:
                continue
            del self._awaited[name]
            if entry.incarnation == start.incarnation:
                self._version_by_name[name] = entry.software_version
        while len(self._version_by_name) > MAX_STARTS:
            self._version_by_name.popitem(last=False)

    def version_of(self, software: str) -> str:
        """Return the version that a name stands for, or the name itself if that is not known."""
        return self._version_by_name.get(software, software)

    def is_awaited(self, software: str) -> bool:
        """Return whether an entry may still come that tells which version a name stands for."""
        return software in self._awaited

    def expire(self, before: float) -> None:
        """Drop starts that were learned of before a time and whose entry has not come."""
        while self._awaited:
            name, (_, learned_at) = next(iter(self._awaited.items()))
            if learned_at >= before:
                return
            del self._awaited[name]
