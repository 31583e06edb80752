"""Local events of the membership part."""

from dataclasses import dataclass

__all__ = ["DrainFinished", "DrainRequested"]


@dataclass(frozen=True)
class DrainRequested:
    """Ask this VM to leave: it takes no new shards and stays up until its entry has finished."""


@dataclass(frozen=True)
class DrainFinished:
    """Tell that this VM leaves and its entry process has gone; the control process may end."""
