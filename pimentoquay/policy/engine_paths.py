"""Which engines a VM reaches by connections of its own, and what failed connections show.

Failure pattern: the links between some VMs and some engines, or all of them, are cut for seconds,
while the VMs reach each other. Connections then hang, are reset or refused, as they are when an
engine has ended, is overloaded or falls silent for a moment. What tells these apart is whether
another VM reaches the engine at the same time.

Failure pattern: a cut that comes and goes every second or two. A path is used again only after it
has worked for a time, which grows with each relapse.

Failure pattern: a cut that ends for some VMs and begins for those that they used meanwhile. A path
that works by its last probe is used before that time is over if there is no other way.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["PathLimits", "PathTable", "Reach", "Verdict", "judge"]


class Reach(Enum):
    """What an attempt to connect to an engine showed.

    ``UNKNOWN`` is that of a peer which could not be asked, or does not reach any engine itself.
    """

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"
    UNKNOWN = "unknown"


class Verdict(Enum):
    """What attempts to connect from several VMs show together."""

    REACHED = "reached"
    CUT = "the path of this VM is cut"
    ENDED = "the engine has ended"
    UNKNOWN = "unknown"


def judge(direct: Reach, peers: Collection[Reach], other_engine: Reach = Reach.UNKNOWN) -> Verdict:
    """Return what a VM's own attempt and those of its peers show about an engine.

    Failure pattern: engines that end, and VMs whose connections are refused by a cut, also several
    at a time and beside VMs that end. A refusal is evidence of an engine's end only if most peers
    see it too. If there is no peer to ask, it is as long as this VM reaches another engine.

    Parameters
    ----------
    direct
        Result of this VM's own attempt; unknown if its path is cut, so that none was made.
    peers
        Results of the attempts of other VMs.
    other_engine
        Result of an attempt of this VM to connect to another engine.

    Example
    -------
    >>> judge(Reach.REFUSED, [Reach.OPEN, Reach.REFUSED])
    <Verdict.CUT: 'the path of this VM is cut'>
    >>> judge(Reach.REFUSED, [Reach.REFUSED, Reach.REFUSED, Reach.UNKNOWN])
    <Verdict.ENDED: 'the engine has ended'>
    """
    if direct is Reach.OPEN:
        return Verdict.REACHED
    if Reach.OPEN in peers:
        return Verdict.CUT
    if direct is Reach.SILENT:
        return Verdict.UNKNOWN
    if peers:
        refused = sum(reach is Reach.REFUSED for reach in peers)
        return Verdict.ENDED if 2 * refused > len(peers) else Verdict.UNKNOWN
    has_refused = direct is Reach.REFUSED
    return Verdict.ENDED if has_refused and other_engine is Reach.OPEN else Verdict.UNKNOWN


@dataclass(frozen=True)
class PathLimits:
    """Times of the return to a path, in seconds.

    A cut path is probed every ``probe_seconds``, and used again once all probes of
    ``return_seconds`` have succeeded. That time doubles with each cut within ``relapse_seconds`` of
    the return from the one before, up to ``longest_return_seconds``.
    """

    probe_seconds: float = 0.5
    return_seconds: float = 1.5
    longest_return_seconds: float = 12.0
    relapse_seconds: float = 30.0


@dataclass
class _CutPath:
    since: float
    return_seconds: float
    probed_at: float
    works_since: float | None = None


class PathTable:
    """Cut paths from one VM to engines; engines that are not in it are reached directly.

    Example
    -------
    >>> table = PathTable(PathLimits(return_seconds=1.0))
    >>> table.record_cut("e", now=0.0), table.is_cut("e")
    (True, True)
    >>> table.record_probe("e", True, now=0.5), table.record_probe("e", True, now=1.5)
    (False, True)
    """

    def __init__(self, limits: PathLimits) -> None:
        self._limits = limits
        self._path_by_engine: dict[str, _CutPath] = {}
        self._returned_by_engine: dict[str, tuple[float, float]] = {}

    @property
    def cut_engines(self) -> Collection[str]:
        """Engines whose path is cut."""
        return self._path_by_engine.keys()

    def is_cut(self, engine: str) -> bool:
        """Return whether the path to an engine is cut."""
        return engine in self._path_by_engine

    def has_no_way(self, engine: str) -> bool:
        """Return whether the path to an engine is cut and did not work when last probed."""
        path = self._path_by_engine.get(engine)
        return path is not None and path.works_since is None

    def record_cut(self, engine: str, now: float) -> bool:
        """Record that only peers reach an engine; return whether its path was not cut before."""
        path = self._path_by_engine.get(engine)
        if path is not None:
            path.works_since = None
            return False
        limits = self._limits
        wait = limits.return_seconds
        returned_at, last_wait = self._returned_by_engine.get(engine, (float("-inf"), 0.0))
        if now - returned_at < limits.relapse_seconds:
            wait = min(limits.longest_return_seconds, last_wait * 2)
        self._path_by_engine[engine] = _CutPath(now, wait, now)
        return True

    def due_probes(self, now: float, most: int) -> tuple[str, ...]:
        """Return cut paths to be probed now, those probed longest ago first, and count them so."""
        due = [
            (path.probed_at, engine)
            for engine, path in self._path_by_engine.items()
            if now - path.probed_at >= self._limits.probe_seconds
        ]
        chosen = tuple(engine for _, engine in sorted(due)[:most])
        for engine in chosen:
            self._path_by_engine[engine].probed_at = now
        return chosen

    def record_probe(self, engine: str, has_worked: bool, now: float) -> bool:
        """Record a probe of a cut path; return whether the path is used again from now on."""
        path = self._path_by_engine.get(engine)
        if path is None:
            return False
        if not has_worked:
            path.works_since = None
            return False
        if path.works_since is None:
            path.works_since = now
        if now - path.works_since < path.return_seconds:
            return False
        del self._path_by_engine[engine]
        self._returned_by_engine[engine] = now, path.return_seconds
        return True

    def forget_others(self, listed: Iterable[str]) -> None:
        """Forget the engines that are no longer listed."""
        kept = set(listed)
        for by_engine in (self._path_by_engine, self._returned_by_engine):
            for engine in by_engine.keys() - kept:
                del by_engine[engine]  # type: ignore[attr-defined]
