"""Local events of the membership part."""

from dataclasses import dataclass

__all__ = ["ConfigurationReached", "DrainFinished", "DrainRequested"]


@dataclass(frozen=True)
class DrainRequested:
    """Request to drain this VM: it owns no new shards and runs until its entry process ends."""


@dataclass(frozen=True)
class DrainFinished:
    """Notice that the entry process has ended after a drain, so this process may end too."""


@dataclass(frozen=True)
class ConfigurationReached:
    """Configuration offset that is now in force on this VM, reported in its heartbeats."""

    offset: int
