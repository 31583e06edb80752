"""Cost of membership to each VM: messages and bytes in steady state and for one change.

Control processes with only the membership part run on an in-memory network under virtual time. The
network counts messages and the bytes of encoded messages, without the framing of the transport.
"""

import asyncio
import dataclasses
from dataclasses import dataclass
from typing import Any

from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import Identity, LoopClock, Node, plugin
from pimentoquay.membership.part import MembershipPart
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.services.ports import Ports
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

__all__ = ["MembershipCost", "measure_membership", "membership_slopes"]

SETTLE_SECONDS = 8.0
"""Time between the start of the VMs and the measurement, in seconds."""

STEADY_SECONDS = 30.0
"""Duration of the measurement in steady state, in seconds."""

CHANGE_SECONDS = 5.0
"""Duration of the measurement of a change, in seconds."""

DATA_CENTRES = 3


@dataclass(frozen=True)
class MembershipCost:
    """Means of what each VM sends; ``steady`` fields are per second.

    ``change_bytes`` are the additional bytes after an engine's state has become ``LEAVING``.
    """

    vms: int
    engines: int
    steady_bytes: float
    steady_messages: float
    change_bytes: float


class _Cluster:
    """Control processes with the membership part, and a stand-in membership list."""

    def __init__(self, vms: int, engines: int, data_centres: int) -> None:
        self.network = MemoryNetwork()
        self._vms = [
            _member(f"vm-{n:04}", MemberKind.ENTRY_VM, n, data_centres) for n in range(vms)
        ]
        self.engines = [
            _member(f"engine-{n:05}", MemberKind.ENGINE, n, data_centres) for n in range(engines)
        ]
        self.list = StandinMembership((*self._vms, *self.engines))
        self._tasks: list[asyncio.Task[None]] = []
        self._peers: list[PeerSet] = []

    async def start(self) -> None:
        for index, member in enumerate(self._vms):
            identity = Identity(member.name, "control", "r", member.data_centre, index)
            node = Node(identity, self.network.transport(identity), LoopClock(0.0))
            peers = PeerSet(node)
            unused: Any = None
            ports = Ports(unused, unused, unused, self.list, unused)
            part = MembershipPart(node, peers, ports, MembershipSection())
            await node.transport.listen(member.address, peers.serve)
            self._peers.append(peers)
            self._tasks.append(asyncio.create_task(node.run((part,))))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peers in self._peers:
            await peers.close()


def _member(name: str, kind: MemberKind, number: int, data_centres: int) -> Member:
    data_centre = f"data-centre-{number % data_centres}"
    pool = "" if kind is MemberKind.ENTRY_VM else f"model-{number % 11}"
    address = f"10.{number // 60000}.{number // 250 % 250}.{number % 250}:7200"
    return Member(name, kind, MemberState.LIVE, "region", data_centre, address, pool, True)


def measure_membership(vms: int, engines: int, data_centres: int = DATA_CENTRES) -> MembershipCost:
    """Run a cluster of VMs, spread over the data centres, and return its membership cost."""
    import looptime  # Imported here so that the other commands work without this test dependency.

    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(_measure(vms, engines, data_centres))
    finally:
        loop.close()


async def _measure(vms: int, engines: int, data_centres: int) -> MembershipCost:
    cluster = _Cluster(vms, engines, data_centres)
    network = cluster.network
    await cluster.start()
    await asyncio.sleep(SETTLE_SECONDS)
    bytes_before, messages_before = network.bytes_sent, network.messages_sent
    await asyncio.sleep(STEADY_SECONDS)
    steady_bytes = (network.bytes_sent - bytes_before) / STEADY_SECONDS / vms
    steady_messages = (network.messages_sent - messages_before) / STEADY_SECONDS / vms
    bytes_before = network.bytes_sent
    leaving = dataclasses.replace(cluster.engines[0], state=MemberState.LEAVING)
    cluster.list.put(leaving)
    await asyncio.sleep(CHANGE_SECONDS)
    bytes_per_vm = (network.bytes_sent - bytes_before) / vms
    await cluster.close()
    change_bytes = bytes_per_vm - steady_bytes * CHANGE_SECONDS
    return MembershipCost(vms, engines, steady_bytes, steady_messages, change_bytes)


@plugin("slope", "membership")
def membership_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure what one more VM and one more engine cost each VM.

    The results are counts under virtual time, so they have no spread and are not repeated.
    """
    few_vms, many_vms = measure_membership(12, 100), measure_membership(36, 100)
    many_engines = measure_membership(12, 1000)
    additional_peers = (many_vms.vms - few_vms.vms) / DATA_CENTRES
    per_peer = (many_vms.steady_bytes - few_vms.steady_bytes) / additional_peers
    per_engine = (many_engines.steady_bytes - few_vms.steady_bytes) / (
        many_engines.engines - few_vms.engines
    )
    return (
        slope_of("membership sent in steady state", "B/s", "peer of the data centre", [per_peer]),
        slope_of("membership sent in steady state", "B/s", "engine", [per_engine]),
        slope_of("membership sent, 1000 engines", "B", "change", [many_engines.change_bytes]),
    )
