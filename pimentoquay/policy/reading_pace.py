"""How often the list of engines and the configuration are read.

Load pattern: many VMs before a store that prices every call, and bounds on how long after a change
an older list or configuration may be used. One VM reads and the others listen to it, until what
they know is so old that a read of their own still keeps the bound. Each
waits a little more or less, so that most hear of the first read instead of reading.
"""

import zlib
from dataclasses import dataclass

__all__ = ["ReadingPace", "reading_pace"]

READ_SHARE = 0.4
"""The reader's period as a share of the shorter bound, so that one lost read breaks none."""

STALE_SHARE = 0.625
"""The age at which a VM reads by itself, as a share of the shorter bound; the rest is for a read
that is slow."""


STALE_SPREAD = 0.1
"""The most that is added to that share, by VM; time to hear of a read over relays."""


@dataclass(frozen=True)
class ReadingPace:
    """The reader's period, and the age at which others read; in seconds."""

    period: float
    stale_age: float


def reading_pace(drain_seconds: float, config_seconds: float, vm: str) -> ReadingPace:
    """Return the pace that keeps both bounds.

    Parameters
    ----------
    drain_seconds
        How long after its notice a leaving engine may be given work.
    config_seconds
        How long after its acknowledgement a configuration may not be in force.
    vm
        The VM whose pace it is.

    Example
    -------
    >>> reading_pace(2.0, 3.0, "vm-1").period
    0.8
    """
    bound = min(drain_seconds, config_seconds)
    turn = zlib.crc32(vm.encode()) / 2**32
    return ReadingPace(READ_SHARE * bound, (STALE_SHARE + STALE_SPREAD * turn) * bound)
