"""Messages between control processes and from control to entry (numbers 40 to 69)."""

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
    """What a member of the platform's membership list is."""

    ENTRY_VM = 0
    ENGINE = 1
    SERVICE = 2


class MemberState(IntEnum):
    """The state of a member on the membership list."""

    LIVE = 0
    LEAVING = 1


@message(40)
class Member:
    """One line of the platform's membership list.

    ``address`` is ``host:port`` with an IP number: the control port of an entry VM, the HTTP
    port of a backend server. ``pool`` is the model or service name of a backend server, and
    ``checks_fencing`` tells whether an engine enforces fencing numbers.
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
    """The membership list as one reader saw it; ``version`` grows with each change."""

    version: int
    members: tuple[Member, ...]


@message(42)
class Heartbeat:
    """What a control process tells its peers of itself every second.

    ``configuration_offset`` is -1 until the VM has a configuration that it may serve by.
    ``list_age`` is how long ago the platform was last known to have given this membership list,
    in tenths of a second; ``list_readable`` is false while the sender fails to read it.
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
    """Ask for everything after an offset of the configuration."""

    after_offset: int


@message(44)
class ConfigurationEntries:
    """What changed in the configuration from log offset ``after_offset`` up to ``offset``.

    Both are counts of folded log records; ``after_offset`` is -1 for the whole configuration,
    which may come in several ``parts``. ``records`` holds encoded ``ConfigurationRecord``
    messages with their versions. ``checkpoint_offset`` is the offset that the newest whole
    checkpoint on the log was folded to, -1 if there is none. ``log_base`` is the offset that
    stands for the first record of the log, which is not 0 once the log has started anew.
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
    """How full a shard is, for other data centres; times in seconds."""

    shard: str
    data_centre: str
    free_slots: int
    queued: int
    queue_seconds: float


@message(46)
class ClusterView:
    """What a control process tells the entry of its VM: members, and entry VMs seen alive.

    ``live_vms`` holds the VMs of every data centre that own shards; leaving and unreachable ones
    are not in it. ``reachable_data_centres`` excludes those behind a partition.
    """

    version: int
    members: tuple[Member, ...]
    live_vms: tuple[str, ...]
    reachable_data_centres: tuple[str, ...]
