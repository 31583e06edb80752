"""Local events of the membership part."""

from dataclasses import dataclass

__all__ = ["ConfigurationReached", "DrainFinished", "DrainRequested"]


@dataclass(frozen=True)
class DrainRequested:
    """Ask this VM to leave: it takes no new shards and stays up until its entry has finished."""


@dataclass(frozen=True)
class DrainFinished:
    """Tell that this VM leaves and its entry process has gone; the control process may end."""


@dataclass(frozen=True)
class ConfigurationReached:
    """Tell which offset of the configuration's log this VM serves by, for its heartbeats."""

    offset: int
