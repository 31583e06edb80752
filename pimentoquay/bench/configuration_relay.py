"""What a burst of changes and a restart of every VM cost the VMs of one data centre.

Control processes with the membership and configuration parts run before the log's stand-in, on a
network in memory under virtual time; the network counts bytes by VM, heartbeats among them.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from pimentoquay.bench.configuration_cost import changes_of
from pimentoquay.configuration.part import ConfigurationPart
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.membership.part import MembershipPart
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.services.ports import Ports
from pimentoquay.standin.log import StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

__all__ = ["BurstCost", "RestartCost", "measure_burst", "measure_lost_parent", "measure_restart"]

STREAM = "configuration"
SETTLE_SECONDS = 10.0
LOOK_SECONDS = 0.05
LONGEST_SECONDS = 60.0

Cost = TypeVar("Cost")


@dataclass(frozen=True)
class BurstCost:
    """One burst of changes; rates are bytes a second over the burst, times in seconds.

    ``log_bytes`` is the rate of the changes themselves. ``latest`` is the longest time from an
    append until the change was in force at every VM.
    """

    vms: int
    log_bytes: float
    reader_sent: float
    highest_sent: float
    highest_received: float
    latest: float


@dataclass(frozen=True)
class RestartCost:
    """A start of VMs without any state; sizes in bytes, times in seconds.

    ``whole_bytes`` is what the VM that received least was sent. ``most_unread`` is the most that
    one VM had under way to all others at once.
    """

    vms: int
    whole_bytes: int
    highest_sent: int
    highest_received: int
    most_unread: int
    ready_in: float


class _DataCentre:
    def __init__(self, vms: int) -> None:
        self.network = MemoryNetwork()
        self.log = StandinLog()
        self.names = tuple(f"vm-{number:02}" for number in range(vms))
        self.parts: dict[str, ConfigurationPart] = {}
        self._list = StandinMembership([_member(name) for name in self.names])
        self._peers: list[PeerSet] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._nodes: dict[str, Node] = {}

    async def start(self) -> None:
        for number, name in enumerate(self.names):
            identity = Identity(name, "control", "region", "data-centre", number)
            node = Node(identity, self.network.transport(identity), LoopClock(0.0))
            peers = PeerSet(node)
            unused: Any = None
            ports = Ports(unused, unused, self.log, self._list, unused)
            membership = MembershipPart(node, peers, ports, MembershipSection())
            part = ConfigurationPart(node, peers, ports, ConfigurationSection())
            await node.transport.listen(f"{name}:7200", peers.serve)
            self.parts[name] = part
            self._nodes[name] = node
            self._peers.append(peers)
            self._tasks.append(asyncio.create_task(node.run((membership, part))))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peers in self._peers:
            await peers.close()

    def pause(self, name: str) -> None:
        """Stop a VM without a word, and leave it out of ``lowest_offset``."""
        self._nodes[name].timers.pause()
        self.network.pause(name)
        del self.parts[name]

    @property
    def lowest_offset(self) -> int:
        return min(part.replica.offset for part in self.parts.values())


def measure_burst(vms: int, changes: int, seconds: float) -> BurstCost:
    """Append changes evenly over some seconds."""
    return _under_virtual_time(_burst(_DataCentre(vms), changes, seconds))


def measure_restart(vms: int, workspaces: int) -> RestartCost:
    """Start VMs while the log holds the creation of some workspaces."""
    return _under_virtual_time(_restart(_DataCentre(vms), workspaces))


def measure_lost_parent(vms: int, rank: int) -> float:
    """Return the longest time in seconds until a change is in force at the other VMs.

    The VM of a rank in the order of readers falls silent just before the change.
    """
    return _under_virtual_time(_lost_parent(_DataCentre(vms), rank))


def _member(name: str) -> Member:
    live = MemberState.LIVE
    kind = MemberKind.ENTRY_VM
    return Member(name, kind, live, "region", "data-centre", f"{name}:7200", "", False)


def _under_virtual_time(run: Coroutine[Any, Any, Cost]) -> Cost:
    import looptime  # A library of tests; the programs themselves do without it.

    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(run)
    finally:
        loop.close()


async def _burst(place: _DataCentre, changes: int, seconds: float) -> BurstCost:
    await place.start()
    await asyncio.sleep(SETTLE_SECONDS)
    reader = next(name for name, part in place.parts.items() if part.reader_rank == 0)
    records = changes_of(changes)
    sent_before = dict(place.network.bytes_sent_by_vm)
    received_before = dict(place.network.bytes_received_by_vm)
    appended_at: list[float] = []
    watch = asyncio.create_task(_watch_latest(place, appended_at, changes))
    loop = asyncio.get_running_loop()
    started = loop.time()
    for number, data in enumerate(records):
        await asyncio.sleep(started + seconds * number / changes - loop.time())
        appended_at.append(loop.time())
        await place.log.append(STREAM, data)
    latest = await watch
    took = loop.time() - started
    sent = _rates(place.network.bytes_sent_by_vm, sent_before, took)
    received = _rates(place.network.bytes_received_by_vm, received_before, took)
    await place.close()
    log_bytes = sum(len(data) for data in records) / took
    return BurstCost(
        len(place.names),
        log_bytes,
        sent[reader],
        max(sent.values()),
        max(received.values()),
        latest,
    )


async def _lost_parent(place: _DataCentre, rank: int) -> float:
    await place.start()
    await asyncio.sleep(SETTLE_SECONDS)
    lost = next(name for name, part in place.parts.items() if part.reader_rank == rank)
    place.pause(lost)
    appended_at = [asyncio.get_running_loop().time()]
    await place.log.append(STREAM, changes_of(1)[0])
    latest = await _watch_latest(place, appended_at, 1)
    await place.close()
    return latest


async def _watch_latest(place: _DataCentre, appended_at: list[float], changes: int) -> float:
    loop = asyncio.get_running_loop()
    latest, in_force = 0.0, 0
    while in_force < changes:
        await asyncio.sleep(LOOK_SECONDS)
        if in_force < (offset := place.lowest_offset):
            latest = max(latest, loop.time() - appended_at[in_force])
            in_force = offset
        if loop.time() - appended_at[in_force - 1 if in_force else 0] > LONGEST_SECONDS:
            raise TimeoutError(f"{in_force} of {changes} changes are in force everywhere")
    return latest


def _rates(after: dict[str, int], before: dict[str, int], seconds: float) -> dict[str, float]:
    return {name: (count - before.get(name, 0)) / seconds for name, count in after.items()}


async def _restart(place: _DataCentre, workspaces: int) -> RestartCost:
    for data in changes_of(workspaces):
        await place.log.append(STREAM, data)
    loop = asyncio.get_running_loop()
    started = loop.time()
    await place.start()
    while not all(part.replica.is_ready for part in place.parts.values()):
        if loop.time() - started > LONGEST_SECONDS:
            raise TimeoutError("some VMs are not ready")
        await asyncio.sleep(LOOK_SECONDS)
    ready_in = loop.time() - started
    network = place.network
    sent, received = network.bytes_sent_by_vm, network.bytes_received_by_vm
    await place.close()
    whole = sorted(received.values())[1]
    return RestartCost(
        len(place.names),
        whole,
        max(sent.values()),
        max(received.values()),
        max(network.most_unread_by_vm.values()),
        ready_in,
    )
