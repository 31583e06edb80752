"""Messages between control processes, and from control to entry processes (40 to 49)."""

from enum import IntEnum

from pimentoquay.messages.codec import message
from pimentoquay.messages.configuration import ChangeOutcome

__all__ = [
    "CatchUpRequest",
    "ClusterView",
    "ConfigurationEntries",
    "Heartbeat",
    "Member",
    "MemberKind",
    "MemberState",
    "MembershipUpdate",
    "ShardSummary",
]


class MemberKind(IntEnum):
    """Kind of a member of the membership list."""

    ENTRY_VM = 0
    ENGINE = 1
    SERVICE = 2


class MemberState(IntEnum):
    """State of a member of the membership list."""

    LIVE = 0
    LEAVING = 1


@message(40)
class Member:
    """One member of the platform's membership list.

    ``address`` is ``host:port`` with an IP address: the control port of an entry VM, the HTTP
    port of a backend server. ``pool`` is the model or service name of a backend server, and
    ``checks_fencing`` is set for an engine that enforces fencing tokens.
    """

    name: str
    kind: MemberKind
    state: MemberState
    region: str
    data_centre: str
    address: str
    pool: str
    checks_fencing: bool


@message(41)
class MembershipUpdate:
    """The whole membership list as one process read it; each change increases ``version``."""

    version: int
    members: tuple[Member, ...]


@message(42)
class Heartbeat:
    """State that a control process sends its peers in each or every other heartbeat period.

    ``configuration_offset`` is -1 until the VM has a configuration that it may use.
    ``list_age`` is the time since the platform is last known to have returned this membership
    list, in tenths of a second; ``list_readable`` is false while the sender fails to read it.
    """

    vm: str
    data_centre: str
    incarnation: int
    leaving: bool
    configuration_offset: int
    membership_version: int
    list_age: int
    list_readable: bool


@message(43)
class CatchUpRequest:
    """Request for every configuration change after a log offset."""

    after_offset: int


@message(44)
class ConfigurationEntries:
    """Changes of the configuration from log offset ``after_offset`` up to ``offset``.

    Both offsets are numbers of applied log records; ``after_offset`` is -1 for the whole
    configuration, which may be split into several ``parts``. ``records`` holds encoded
    ``ConfigurationRecord`` messages with their versions. ``checkpoint_offset`` is the offset up to
    which the newest complete checkpoint on the log was applied, -1 if there is none. ``log_base``
    is the offset assigned to the first record of the log, which is not 0 once the log was reset.
    """

    after_offset: int
    offset: int
    part: int
    parts: int
    checkpoint_offset: int
    log_base: int
    records: tuple[bytes, ...]
    outcomes: tuple[ChangeOutcome, ...]


@message(45)
class ShardSummary:
    """Load of a shard, sent to other data centres; ``queue_seconds`` is the queueing time."""

    shard: str
    data_centre: str
    free_slots: int
    queued: int
    queue_seconds: float


@message(46)
class ClusterView:
    """Members and live entry VMs, sent by a control process to the entry process of its VM.

    ``live_vms`` holds the VMs of every data centre that own shards, except leaving and unreachable
    VMs. ``reachable_data_centres`` excludes data centres behind a network partition.
    """

    version: int
    members: tuple[Member, ...]
    live_vms: tuple[str, ...]
    reachable_data_centres: tuple[str, ...]
