"""Messages between the gateways of a deployment (numbers 120 to 139).

Each gateway relays the operators' configuration and the engine records from the platform's store
unchanged, and sends its peers the engine memory that its own requests use. Positions are those of
``policy.store_position``; ages and times are in seconds, memory is in tokens.
"""

from pimentoquay.messages.codec import message

__all__ = [
    "ClearedFeature",
    "CrashedRequest",
    "EngineLimit",
    "EngineRecord",
    "EngineRuns",
    "EngineTokens",
    "EnginesLeaving",
    "FleetCopy",
    "LeavingEngine",
    "LimitsNamed",
    "PeerLoad",
    "PeerLoads",
    "CrashEvidence",
    "RunSize",
    "StageOrdered",
    "TrialBegun",
    "VmAddress",
    "VmLoad",
    "VmNews",
    "VmWork",
]


@message(120)
class EngineRecord:
    """Newest record of one engine in the store; an empty ``value`` marks a removed engine."""

    engine: str
    position: int
    value: bytes


@message(121)
class VmAddress:
    """Addresses at which a VM's gateway listens for its peers, and the VM's data centre.

    ``tunnel_address`` is the one for tunnels to engines, or empty. Of two addresses of one VM, the
    one with the higher ``position`` in the store is newer.
    """

    vm: str
    address: str
    data_centre: str
    position: int
    tunnel_address: str = ""


@message(122)
class FleetCopy:
    """Copy of records of the store; ``configuration`` is empty if the copy does not contain it."""

    configuration_position: int
    configuration: bytes
    engines: tuple[EngineRecord, ...]
    engines_position: int
    vms: tuple[VmAddress, ...]


@message(123)
class EngineTokens:
    """Number of prompt tokens that the sender has at one engine for prefill."""

    engine: str
    tokens: int


@message(126)
class RunSize:
    """A request in an engine's memory: its current tokens and those still to be generated."""

    tokens: int
    remaining: int


@message(127)
class EngineRuns:
    """Requests of the sender in the memory of one engine."""

    engine: str
    runs: tuple[RunSize, ...]


@message(130)
class VmWork:
    """Numbers and total durations of the sender's prefills and decodes since it started."""

    prefills: int
    prefill_seconds: float
    decodes: int
    decode_seconds: float


@message(124)
class VmLoad:
    """Running and waiting requests of a gateway; it also shows that the gateway is alive.

    ``waiting_tokens`` is the memory that streams wait for, ``urgent_tokens`` the part of it for
    streams that can still start in time. ``list_age`` is the time since the sender itself last
    read the list of engines from the store. ``is_cut_off`` says that it reaches some engines only
    through others.
    """

    list_age: float
    running: tuple[EngineRuns, ...]
    prefilling: tuple[EngineTokens, ...]
    waiting_tokens: int
    urgent_tokens: int
    is_draining: bool
    work: VmWork
    is_cut_off: bool = False


@message(128)
class PeerLoad:
    """Load of a gateway, forwarded by other gateways.

    ``number`` increases with each load of an incarnation. ``load`` is an encoded ``VmLoad``, which
    is forwarded unchanged; a receiver that already has a newer one does not decode it.
    """

    vm: str
    incarnation: int
    number: int
    load: bytes


@message(129)
class PeerLoads:
    """Newest loads since the previous message on the channel; also serves as its heartbeat."""

    loads: tuple[PeerLoad, ...]


@message(125)
class StageOrdered:
    """An engine that was ordered to change its stage and serves no requests for ``seconds``.

    ``fence`` is the fencing token of the order, which is unique to it.
    """

    engine: str
    seconds: float
    fence: int


@message(131)
class LeavingEngine:
    """One start of an engine that has announced that it leaves."""

    engine: str
    incarnation: int


@message(132)
class EnginesLeaving:
    """Engines that have announced in a response that they leave."""

    engines: tuple[LeavingEngine, ...]


@message(133)
class CrashedRequest:
    """Features of a request at an engine when it crashed: parts of its prompt, and its digest.

    ``restarts`` counts the starts of the engine that its entry did not show yet.
    """

    engine: str
    incarnation: int
    features: tuple[str, ...]
    restarts: int = 0


@message(134)
class ClearedFeature:
    """Feature of requests that did not cause the crash of an engine."""

    engine: str
    incarnation: int
    feature: str
    restarts: int = 0


@message(135)
class CrashEvidence:
    """Evidence of requests that crash engines, sent to all gateways."""

    crashed: tuple[CrashedRequest, ...]
    cleared: tuple[ClearedFeature, ...]


@message(136)
class EngineLimit:
    """Requests a second that a start of an engine takes from all VMs, as of ``age`` seconds ago.

    ``limit`` is negative if the engine names no limit any more.
    """

    engine: str
    incarnation: int
    limit: float
    age: float


@message(137)
class LimitsNamed:
    """Limits that engines have named in their responses, sent to all gateways."""

    limits: tuple[EngineLimit, ...]


@message(138)
class TrialBegun:
    """A request in quarantine that the sender tries; ``request`` is the feature of its digest."""

    request: str


@message(139)
class VmNews:
    """VMs that the sender hears, and VMs whose records in the store are void up to their positions.

    It is sent inside ``Routed``, as builds that don't know its number close a channel on which they
    receive it otherwise. A relay names what it hears to the reader of the store, and the reader the
    VMs that are gone to all.
    """

    heard: tuple[str, ...]
    gone: tuple[VmAddress, ...]
