"""Urgency by which engines admit and preempt the streams of several priorities.

Load pattern: engines whose memory runs out while streams of several priorities run. An engine then
preempts the newest of the least urgent.

An engine is told the urgency when a stream is sent to it. A stream that has begun at another engine
is more urgent than all that have not, since what it got would be lost with it, whatever the
priorities. Among those that have begun, and among the others, the priorities decide.
"""

from collections.abc import Iterable

from pimentoquay.policy.fleet import RepeatRule, Route
from pimentoquay.policy.service_order import clamp_priority
from pimentoquay.policy.workspaces import Workspace

__all__ = ["stream_priorities", "urgency_of"]

NEW_URGENCY = 5
"""Urgency of new streams of the highest priority: what engines assume if none is stated, as for the
streams of gateways that don't state any."""

LEVELS = 5
"""Number of urgencies of new streams, and of those that have begun; engines know ten."""


def stream_priorities(
    routes: Iterable[Route], workspaces: Iterable[Workspace] = ()
) -> tuple[int, ...]:
    """Return the priorities that streams of a configuration can have, the highest first."""
    priorities = {clamp_priority(each.rank) for each in routes if each.repeat is RepeatRule.STREAM}
    priorities.update(
        clamp_priority(each.priority) for each in workspaces if each.priority is not None
    )
    return tuple(sorted(priorities))


def urgency_of(priority: int, priorities: tuple[int, ...], has_begun: bool) -> int | None:
    """Return the urgency of a stream, 0 to 9 with 0 first; ``None`` states none.

    Parameters
    ----------
    priority
        Priority of the stream.
    priorities
        Those that streams can have. If it is one only, no urgency is stated.
    has_begun
        Whether its caller has received events.

    Example
    -------
    >>> urgency_of(2, (0, 2), False), urgency_of(2, (0, 2), True), urgency_of(2, (2,), False)
    (6, 1, None)
    """
    if len(priorities) < 2:
        return None
    level = min(LEVELS - 1, sum(each < clamp_priority(priority) for each in priorities))
    return level if has_begun else NEW_URGENCY + level
