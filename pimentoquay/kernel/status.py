"""Status reports of the parts of a process, for operators.

A part that subscribes to ``StatusRequested`` responds by publishing a ``PartStatus`` on the bus.
"""

from dataclasses import dataclass

__all__ = ["PartStatus", "StatusItem", "StatusRequested"]


@dataclass(frozen=True)
class StatusItem:
    """Status of one subject that a part reports on, such as a shard.

    ``state`` is ``ok``, ``waiting`` if the part waits deliberately, or ``stuck`` if an operator has
    to act; ``detail`` gives the reason.
    """

    subject: str
    state: str
    detail: str = ""


@dataclass(frozen=True)
class StatusRequested:
    """Local event: an operator requested the status of all parts of the process."""


@dataclass(frozen=True)
class PartStatus:
    """Local event: status of the part named ``part``, with an item for each subject."""

    part: str
    items: tuple[StatusItem, ...]
