"""Polling intervals for the engine list and the configuration.

Load pattern: many VMs that share a store with a price per call, and bounds on the time for which an
outdated list or configuration may be used after a change. One VM, the reader, polls the store and
sends the result to the others. Another VM reads the store itself only when its copy is so old that
the bounds would otherwise be exceeded. That age differs slightly between VMs, so that most of them
receive the result of the first such read instead of reading as well.
"""

import zlib
from dataclasses import dataclass

__all__ = ["PollTiming", "poll_timing"]

READ_PERIOD_SHARE = 0.4
"""The reader's polling interval as a share of the shorter bound.

After one failed read, the next one is still within the bound.
"""

STALE_AGE_SHARE = 0.625
"""Age of a copy at which a VM reads the store itself, as a share of the shorter bound.

The rest of the bound is left for a slow read.
"""

STALE_AGE_JITTER_SHARE = 0.1
"""Maximum addition to ``STALE_AGE_SHARE``, which differs between VMs.

It leaves time to receive the result of another VM's read over relays.
"""


@dataclass(frozen=True)
class PollTiming:
    """Polling interval of the reader, and age of a copy at which other VMs read; in seconds.

    A copy reaches ``longest_age`` only if none of them can read the store.
    """

    period: float
    stale_age: float
    longest_age: float


def poll_timing(drain_seconds: float, config_seconds: float, vm: str) -> PollTiming:
    """Return the polling intervals of a VM that keep both bounds.

    Load pattern: many VMs that share a store with a price per call.

    Parameters
    ----------
    drain_seconds
        Maximum time in seconds for which an engine may be given work after its drain notice.
    config_seconds
        Maximum time in seconds from the acknowledgement of a configuration until it is in force.
    vm
        Name of the VM.

    Example
    -------
    >>> poll_timing(2.0, 3.0, "vm-1").period
    0.8
    """
    bound = min(drain_seconds, config_seconds)
    jitter = zlib.crc32(vm.encode()) / 2**32
    stale_age = (STALE_AGE_SHARE + STALE_AGE_JITTER_SHARE * jitter) * bound
    return PollTiming(READ_PERIOD_SHARE * bound, stale_age, bound)
