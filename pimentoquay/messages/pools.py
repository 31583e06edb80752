"""Messages between gateways and the coordinators of pools of engines (numbers 140 to 149, 162).

They are sent through relays, inside ``Routed``. Memory is in tokens, times are in seconds and
relative to the moment of sending.
"""

from enum import IntEnum

from pimentoquay.messages.codec import message
from pimentoquay.messages.fleet import EngineRuns, EngineTokens, VmWork

__all__ = [
    "Bundle",
    "ChannelAlive",
    "PlaceCancelled",
    "PlaceClass",
    "PlaceOutcome",
    "PlaceReply",
    "PlaceRequest",
    "PoolKey",
    "PoolReport",
    "PoolSummary",
    "RelayAlive",
    "Routed",
]

MAX_PRIORITY = 9
"""Lowest priority of a stream, as engines know ten urgencies; greater numbers count as this one."""

MAX_WORKSPACE_LENGTH = 256
"""Maximum length of the name of a workspace in a message, in characters."""


class PlaceOutcome(IntEnum):
    """Outcome of a request to place a stream; it waits if it is ``QUEUED``."""

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    NOT_COORDINATOR = 3


@message(140)
class Routed:
    """An encoded message to a VM, which a relay forwards unless it is itself the target.

    ``hops`` is the number of times that it has been forwarded.
    """

    source: str
    target: str
    hops: int
    payload: bytes


@message(141)
class PoolKey:
    """Service and data centre of a pool's engines, and its number among their pools."""

    service: str
    data_centre: str
    index: int


@message(142)
class PlaceRequest:
    """Request to place a stream in a pool; it is repeated with the same ``key`` while it waits.

    ``tokens`` and ``remaining`` are the stream's memory at its start and its expected growth,
    ``need`` is the sum by which it counts while it waits and ``prompt`` its part to be prefilled.
    ``waited`` is the time since the request arrived, ``late_in`` the time until its first event is
    late, and ``leaves_in`` until its caller leaves. ``full_engine`` is an engine that was granted
    and had no memory, or empty. ``software`` is the software version of the engines that may run
    the stream, or empty if any may.
    """

    key: str
    pool: PoolKey
    tokens: int
    remaining: int
    need: int
    prompt: int
    may_prefill_on_decode_engine: bool
    waited: float
    late_in: float
    leaves_in: float
    full_engine: str
    software: str = ""


@message(143)
class PlaceReply:
    """Reply to ``PlaceRequest``.

    ``engine`` and ``prefill_engine`` are those to be used if the outcome is GRANTED; an empty
    ``prefill_engine`` leaves that choice to the gateway. ``grant`` is the grant's number.
    ``seconds`` is the time to retry after if it is REFUSED. ``is_exact`` is false while the
    coordinator may not yet know all streams of the pool.
    """

    key: str
    pool: PoolKey
    outcome: PlaceOutcome
    engine: str
    prefill_engine: str
    grant: int
    seconds: float
    is_exact: bool


@message(144)
class PlaceCancelled:
    """A stream that no longer waits to be placed, as its caller has left."""

    key: str
    pool: PoolKey


@message(145)
class PoolReport:
    """Streams and prompts of the sender in a pool; it also shows that the sender is alive.

    ``number`` increases with each report of an incarnation, ``last_grant`` is the highest grant
    that is contained. ``finished`` and ``finished_seconds`` are the number of streams that have
    ended since the start and their total duration, ``tokens_per_second`` the rate at which answers
    grow, and ``work`` the engine time that requests of the sender have needed in both stages.
    """

    pool: PoolKey
    incarnation: int
    number: int
    last_grant: int
    running: tuple[EngineRuns, ...]
    prefilling: tuple[EngineTokens, ...]
    finished: int
    finished_seconds: float
    tokens_per_second: float
    work: VmWork


@message(146)
class PoolSummary:
    """State of a pool, sent by its coordinator to all gateways several times a second.

    ``capacity``, ``free``, ``largest_free`` and ``waiting`` are as in ``policy.pools.PoolState``,
    ``expected`` is the expected final size of all streams, and ``work`` the sum over the reports.
    """

    pool: PoolKey
    vm: str
    incarnation: int
    number: int
    capacity: int
    free: int
    largest_free: int
    waiting: int
    expected: int
    work: VmWork


@message(147)
class RelayAlive:
    """Heartbeat of a relay, which the other relays forward to their VMs.

    ``list_age`` is the time since the relay itself last read the list of engines from the store.
    ``is_cut_off`` says that it reaches some engines only through others.
    """

    vm: str
    incarnation: int
    number: int
    list_age: float
    is_draining: bool
    is_cut_off: bool = False


@message(148)
class ChannelAlive:
    """Heartbeat of one channel, from a VM that is no relay."""


@message(149)
class Bundle:
    """Encoded ``RelayAlive`` and ``PoolSummary`` messages that a relay sends or forwards together.

    It also serves as the heartbeat of its channel.
    """

    items: tuple[bytes, ...]


@message(162)
class PlaceClass:
    """Priority and workspace of a stream, sent before each ``PlaceRequest`` with the same ``key``.

    It is sent only if one of them is set. Builds that don't know it place the stream without them.
    ``ValueError`` is raised for a value out of range.
    """

    key: str
    pool: PoolKey
    priority: int
    workspace: str

    def __post_init__(self) -> None:
        if not 0 <= self.priority <= MAX_PRIORITY:
            raise ValueError(f"priority {self.priority} is out of range")
        if len(self.workspace) > MAX_WORKSPACE_LENGTH:
            raise ValueError(f"a workspace name of {len(self.workspace)} characters")
