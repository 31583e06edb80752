"""Messages between the gateways of a deployment (numbers 120 to 139).

Each gateway passes on the operators' configuration and the engines' entries as they lie in the
platform's store, and tells its peers what it holds of the engines' memory. Offsets are those of the
store; ages and times are in seconds, memory in tokens.
"""

from pimentoquay.messages.codec import message

__all__ = [
    "EngineRecord",
    "EngineRuns",
    "EngineTokens",
    "FleetCopy",
    "PeerLoad",
    "PeerLoads",
    "RunSize",
    "StageOrdered",
    "VmAddress",
    "VmLoad",
    "VmWork",
]


@message(120)
class EngineRecord:
    """The newest record of one engine; an empty value stands for a removed one."""

    engine: str
    offset: int
    value: bytes


@message(121)
class VmAddress:
    """Where a VM's gateway listens for its peers, and the VM's data centre.

    Of two addresses of one VM the one with the higher ``offset`` in the store is the newer.
    """

    vm: str
    address: str
    data_centre: str
    offset: int


@message(122)
class FleetCopy:
    """Records of the store; ``configuration`` is empty if the sender knows none newer."""

    configuration_offset: int
    configuration: bytes
    engines: tuple[EngineRecord, ...]
    engines_offset: int
    vms: tuple[VmAddress, ...]


@message(123)
class EngineTokens:
    """Prompts that the sender has at one engine, in tokens."""

    engine: str
    tokens: int


@message(126)
class RunSize:
    """A request in an engine's memory: tokens now, and those still to come."""

    tokens: int
    remaining: int


@message(127)
class EngineRuns:
    """The sender's requests in the memory of one engine."""

    engine: str
    runs: tuple[RunSize, ...]


@message(130)
class VmWork:
    """What the sender's requests have needed of the two stages since it started, in seconds."""

    prefills: int
    prefill_seconds: float
    decodes: int
    decode_seconds: float


@message(124)
class VmLoad:
    """What a gateway holds and what waits there; it also shows that the gateway lives.

    ``waiting_tokens`` is the memory that streams wait for, ``urgent_tokens`` the part of it that is
    for streams which can still begin in time. ``list_age`` is how long ago the sender
    itself has read the store's list of engines.
    """

    list_age: float
    running: tuple[EngineRuns, ...]
    prefilling: tuple[EngineTokens, ...]
    waiting_tokens: int
    urgent_tokens: int
    is_draining: bool
    work: VmWork


@message(128)
class PeerLoad:
    """A gateway's load on its way over relays.

    ``number`` grows with each load of an incarnation. ``load`` is an encoded ``VmLoad``: relays
    pass it on as it is, and who has a newer one does not decode it.
    """

    vm: str
    incarnation: int
    number: int
    load: bytes


@message(129)
class PeerLoads:
    """The newest loads since the last message on the channel, and its heartbeat."""

    loads: tuple[PeerLoad, ...]


@message(125)
class StageOrdered:
    """An engine that was told to change its stage and serves nobody for so many seconds.

    ``fence`` is the order's fencing number, which no other order has.
    """

    engine: str
    seconds: float
    fence: int
