"""What parts tell of themselves when an operator asks.

A part that subscribes to ``StatusWanted`` answers by publishing a ``PartStatus`` on the bus.
"""

from dataclasses import dataclass

__all__ = ["PartStatus", "StatusItem", "StatusWanted"]


@dataclass(frozen=True)
class StatusItem:
    """One thing that a part reports.

    ``state`` is ``ok``, ``waiting`` where the part waits on purpose, or ``stuck`` where it needs
    an operator; ``detail`` says why.
    """

    subject: str
    state: str
    detail: str = ""


@dataclass(frozen=True)
class StatusWanted:
    """A local event: an operator asks for the state of every part."""


@dataclass(frozen=True)
class PartStatus:
    """A local event: the state of one part."""

    part: str
    items: tuple[StatusItem, ...]
