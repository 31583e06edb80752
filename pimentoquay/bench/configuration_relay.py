"""Traffic and delay of the configuration relay during a burst of changes and a restart of all VMs.

Control processes of one data centre run their membership and configuration parts against a
stand-in log, on an in-memory network under virtual time. The network counts the bytes of each VM,
including heartbeats.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from pimentoquay.bench.configuration_cost import make_changes
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
"""Time between the start of the VMs and the measurement, in seconds."""

POLL_SECONDS = 0.05
TIMEOUT_SECONDS = 60.0
"""Time after which a measurement that has not finished fails, in seconds."""

Cost = TypeVar("Cost")


@dataclass(frozen=True)
class BurstCost:
    """Cost of a burst of changes; rates are means over the burst in bytes per second.

    ``log_bytes`` is the rate of the changes themselves, and ``reader_sent`` what the VM that reads
    the log sent. ``highest_sent`` and ``highest_received`` are the highest rates of any VM.
    ``latest`` is the longest time in seconds from an append until the change was in force at every
    VM.
    """

    vms: int
    log_bytes: float
    reader_sent: float
    highest_sent: float
    highest_received: float
    latest: float


@dataclass(frozen=True)
class RestartCost:
    """Cost of a start of VMs that have no state; sizes in bytes, times in seconds.

    ``whole_bytes`` is the second lowest number of bytes that a VM received, which is about one copy
    of the configuration. ``most_unread`` is the maximum number of bytes in flight from one VM to
    all others, and ``ready_in`` the time until every VM is ready.
    """

    vms: int
    whole_bytes: int
    highest_sent: int
    highest_received: int
    most_unread: int
    ready_in: float


class _DataCentre:
    """Control processes of the VMs of one data centre, with a stand-in log and membership list."""

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
        """Make a VM silent without notice, and exclude it from ``lowest_offset``."""
        self._nodes[name].timers.pause()
        self.network.pause(name)
        del self.parts[name]

    @property
    def lowest_offset(self) -> int:
        """Number of log records that every VM has applied."""
        return min(part.replica.offset for part in self.parts.values())


def measure_burst(vms: int, changes: int, seconds: float) -> BurstCost:
    """Append changes evenly over a number of seconds and return what they cost."""
    return _run_in_virtual_time(_burst(_DataCentre(vms), changes, seconds))


def measure_restart(vms: int, workspaces: int) -> RestartCost:
    """Start VMs with a log that creates a number of workspaces, and return what that costs."""
    return _run_in_virtual_time(_restart(_DataCentre(vms), workspaces))


def measure_lost_parent(vms: int, rank: int) -> float:
    """Return the seconds until a change is in force at all other VMs although one is silent.

    The VM falls silent just before the change. ``rank`` is its position in the order that decides
    which VM reads the log and to which VMs each one relays changes; the VM of rank 0 is the reader.
    """
    return _run_in_virtual_time(_lost_parent(_DataCentre(vms), rank))


def _member(name: str) -> Member:
    live = MemberState.LIVE
    kind = MemberKind.ENTRY_VM
    return Member(name, kind, live, "region", "data-centre", f"{name}:7200", "", False)


def _run_in_virtual_time(run: Coroutine[Any, Any, Cost]) -> Cost:
    import looptime  # Imported here so that the other commands work without this test dependency.

    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(run)
    finally:
        loop.close()


async def _burst(data_centre: _DataCentre, changes: int, seconds: float) -> BurstCost:
    await data_centre.start()
    await asyncio.sleep(SETTLE_SECONDS)
    reader = next(name for name, part in data_centre.parts.items() if part.reader_rank == 0)
    records = make_changes(changes)
    sent_before = dict(data_centre.network.bytes_sent_by_vm)
    received_before = dict(data_centre.network.bytes_received_by_vm)
    appended_at: list[float] = []
    propagation = asyncio.create_task(_measure_propagation(data_centre, appended_at, changes))
    loop = asyncio.get_running_loop()
    started = loop.time()
    for number, data in enumerate(records):
        await asyncio.sleep(started + seconds * number / changes - loop.time())
        appended_at.append(loop.time())
        await data_centre.log.append(STREAM, data)
    latest = await propagation
    elapsed = loop.time() - started
    sent = _rates(data_centre.network.bytes_sent_by_vm, sent_before, elapsed)
    received = _rates(data_centre.network.bytes_received_by_vm, received_before, elapsed)
    await data_centre.close()
    log_bytes = sum(len(data) for data in records) / elapsed
    return BurstCost(
        len(data_centre.names),
        log_bytes,
        sent[reader],
        max(sent.values()),
        max(received.values()),
        latest,
    )


async def _lost_parent(data_centre: _DataCentre, rank: int) -> float:
    await data_centre.start()
    await asyncio.sleep(SETTLE_SECONDS)
    lost = next(name for name, part in data_centre.parts.items() if part.reader_rank == rank)
    data_centre.pause(lost)
    appended_at = [asyncio.get_running_loop().time()]
    await data_centre.log.append(STREAM, make_changes(1)[0])
    latest = await _measure_propagation(data_centre, appended_at, 1)
    await data_centre.close()
    return latest


async def _measure_propagation(
    data_centre: _DataCentre, appended_at: list[float], changes: int
) -> float:
    """Wait until all changes are in force at every VM; return the longest delay in seconds."""
    loop = asyncio.get_running_loop()
    latest, in_force = 0.0, 0
    while in_force < changes:
        await asyncio.sleep(POLL_SECONDS)
        if in_force < (offset := data_centre.lowest_offset):
            latest = max(latest, loop.time() - appended_at[in_force])
            in_force = offset
        if loop.time() - appended_at[in_force - 1 if in_force else 0] > TIMEOUT_SECONDS:
            raise TimeoutError(f"only {in_force} of {changes} changes are in force at every VM")
    return latest


def _rates(after: dict[str, int], before: dict[str, int], seconds: float) -> dict[str, float]:
    """Return the rate of each VM in bytes per second, from two readings of its counter."""
    return {name: (count - before.get(name, 0)) / seconds for name, count in after.items()}


async def _restart(data_centre: _DataCentre, workspaces: int) -> RestartCost:
    for data in make_changes(workspaces):
        await data_centre.log.append(STREAM, data)
    loop = asyncio.get_running_loop()
    started = loop.time()
    await data_centre.start()
    while not all(part.replica.is_ready for part in data_centre.parts.values()):
        if loop.time() - started > TIMEOUT_SECONDS:
            raise TimeoutError("some VMs did not become ready")
        await asyncio.sleep(POLL_SECONDS)
    ready_in = loop.time() - started
    network = data_centre.network
    sent, received = network.bytes_sent_by_vm, network.bytes_received_by_vm
    await data_centre.close()
    full_copy_bytes = sorted(received.values())[1]
    return RestartCost(
        len(data_centre.names),
        full_copy_bytes,
        max(sent.values()),
        max(received.values()),
        max(network.most_unread_by_vm.values()),
        ready_in,
    )
