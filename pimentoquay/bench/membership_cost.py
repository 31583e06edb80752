"""What membership costs each VM: messages and bytes in steady state and for one change.

Control processes with only the membership part run on a network in memory under virtual time; the
network counts. Bytes are those of encoded messages, without the framing of the transport.
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
STEADY_SECONDS = 30.0
CHANGE_SECONDS = 5.0
DATA_CENTRES = 3


@dataclass(frozen=True)
class MembershipCost:
    """Means over all VMs; a change is one engine that starts to leave."""

    vms: int
    engines: int
    steady_bytes: float
    steady_messages: float
    change_bytes: float


class _Cluster:
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
    """Run a cluster of ``vms`` VMs, spread over some data centres, and count."""
    import looptime  # A library of tests; the programs themselves do without it.

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
    spent = (network.bytes_sent - bytes_before) / vms
    await cluster.close()
    change_bytes = spent - steady_bytes * CHANGE_SECONDS
    return MembershipCost(vms, engines, steady_bytes, steady_messages, change_bytes)


@plugin("slope", "membership")
def membership_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure what one more VM and one more engine cost each VM; counts, so without spread."""
    small, large = measure_membership(12, 100), measure_membership(36, 100)
    many = measure_membership(12, 1000)
    more_peers = (large.vms - small.vms) / DATA_CENTRES
    per_peer = (large.steady_bytes - small.steady_bytes) / more_peers
    per_engine = (many.steady_bytes - small.steady_bytes) / (many.engines - small.engines)
    return (
        slope_of("membership sent in steady state", "B/s", "peer of the data centre", [per_peer]),
        slope_of("membership sent in steady state", "B/s", "engine", [per_engine]),
        slope_of("membership sent, 1000 engines", "B", "change", [many.change_bytes]),
    )
