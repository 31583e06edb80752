"""Shares of the memory and descriptors of a process, from the limits that its settings state.

The load is a crowd of connections that need more than the machine has. The failure is a process
that runs out of memory, or of descriptors for its own connections to engines, peers and the store.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["OwnMemory", "ProcessLimits", "process_limits"]

KB = 1024
MB = 1024 * 1024

DEFAULT_MEMORY_BYTES = 2048 * MB
DEFAULT_DESCRIPTORS = 65_536
"""Limits of a process whose settings state none; no caller inside the limits reaches them."""

OWN_BYTES = 40 * MB
"""Least memory that a process needs at rest; 34 MB were measured with 5 engines and one gateway."""

USABLE_SHARE = 0.75
"""Part of the memory beyond that of the process at rest that may be held for others. The rest is
for parsers, tasks and partly used pages of the allocator, which are not counted."""

MIN_BUDGET_BYTES = 16 * MB
"""Least budget; with less, the largest body of 4 MiB would find no room beside small requests."""

RESERVED_FILES = 200
"""Number of descriptors that are kept for files."""

CALLER_SHARE = 3 / 8
TUNNEL_SHARE = 1 / 8
UNOPENED_SHARE = 1 / 16
"""Parts of the descriptors for callers, tunnels (two each) and connections without a tunnel yet.

The rest, 5 in 16, is for connections to engines, peers and the store."""

BYTES_PER_CALLER = 64 * KB
"""Memory that a connection may need beyond its own bytes: what engines send ahead of a slow reader,
and parts of answers. It limits the number of connections on machines with little memory."""

MIN_SYSTEM_BYTES, MAX_SYSTEM_BYTES = 64 * KB, 256 * KB
"""Bounds of the system's buffer of a connection.

Less slows a sound caller down: 64 KB hold a window of some 32 KB, 3 MB a second at 10 ms."""

MIN_ANSWER_BYTES, MAX_ANSWER_BYTES = 8 * KB, 64 * KB
"""Bounds of the unsent bytes of an answer; the upper one is that of the event loop."""

BUFFER_SHARE = 0.25
"""Part of the budget for the system's buffers of all callers, if the bounds allow."""

MIN_CHANNEL_BYTES, MAX_CHANNEL_BYTES = 6 * MB, 16 * MB
"""Bounds of what may be unsent to one peer; one message has up to 4 MB."""

OWN_SAMPLES = 30
"""Number of samples over which the least is taken, as bytes freed late seem to be the process's."""


@dataclass(frozen=True)
class ProcessLimits:
    """Limits in bytes and numbers of connections.

    ``budget_bytes`` is held for callers, ``system_bytes`` is the system's buffer of each direction
    of a connection, or 0 to leave it to the system, and ``answer_bytes`` the unsent bytes at which
    the writer of an answer waits.
    ``unopened_tunnels`` counts connections that have not asked for a tunnel, and ``channel_bytes``
    is the size of what is unsent to a peer above which its channel is closed.
    """

    memory_bytes: int
    budget_bytes: int
    callers: int
    tunnels: int
    unopened_tunnels: int
    system_bytes: int
    answer_bytes: int
    channel_bytes: int


def process_limits(memory_bytes: int, max_descriptors: int) -> ProcessLimits:
    """Return the limits of a process by those of its settings, which are 0 if not stated.

    Without stated memory, buffers are not made smaller; the default number of callers would.
    """
    has_memory = memory_bytes > 0
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    sockets = max(64, (max_descriptors or DEFAULT_DESCRIPTORS) - RESERVED_FILES)
    budget = budget_bytes(memory_bytes, OWN_BYTES)
    callers = max(16, min(int(sockets * CALLER_SHARE), budget // BYTES_PER_CALLER))
    share = int(BUFFER_SHARE * budget / callers)
    return ProcessLimits(
        memory_bytes=memory_bytes,
        budget_bytes=budget,
        callers=callers,
        tunnels=max(4, int(min(sockets * TUNNEL_SHARE, budget / (4 * BYTES_PER_CALLER)))),
        unopened_tunnels=max(4, int(sockets * UNOPENED_SHARE)),
        system_bytes=max(MIN_SYSTEM_BYTES, min(MAX_SYSTEM_BYTES, share)) if has_memory else 0,
        answer_bytes=(
            max(MIN_ANSWER_BYTES, min(MAX_ANSWER_BYTES, share)) if has_memory else MAX_ANSWER_BYTES
        ),
        channel_bytes=max(MIN_CHANNEL_BYTES, min(MAX_CHANNEL_BYTES, budget // 8)),
    )


def budget_bytes(memory_bytes: int, own_bytes: int) -> int:
    """Return what may be held for others by a process that needs ``own_bytes`` itself."""
    return max(MIN_BUDGET_BYTES, int(USABLE_SHARE * (memory_bytes - max(OWN_BYTES, own_bytes))))


class OwnMemory:
    """Estimate of what the process needs itself, which grows with the size of the fleet.

    It is the least of what the last samples showed beyond the bytes held for others.
    """

    def __init__(self) -> None:
        self._samples: deque[int] = deque(maxlen=OWN_SAMPLES)

    def add(self, resident_bytes: int, held_bytes: int) -> None:
        """Add a sample of the memory of the process and of what it holds for others."""
        self._samples.append(max(0, resident_bytes - held_bytes))

    @property
    def estimate(self) -> int:
        """Number of bytes that the process needs itself, or 0 without samples."""
        return min(self._samples, default=0)
